package ccqueue

import "camphorcroft/core/ccjob"

// minShare keeps a team's turns finite.
const minShare = 1e-6

// team is one team's waiting tasks.
type team struct {
	name   string
	share  float64
	turn   float64 // Grows by 1/share with each task taken.
	came   uint64
	length int
	jobs   map[ccjob.ID]*job
	order  turnHeap[*job]
	place  int
}

// job is one job's waiting tasks.
type job struct {
	id      ccjob.ID
	team    *team
	came    uint64
	indexes []int
	place   int
}

func (t *team) at() float64    { return t.turn }
func (t *team) since() uint64  { return t.came }
func (j *job) since() uint64   { return j.came }
func (t *team) setPlace(i int) { t.place = i }
func (j *job) at() float64     { return float64(len(j.indexes)) }
func (j *job) setPlace(i int)  { j.place = i }
func (h turnHeap[T]) Len() int { return len(h) }
func (h *turnHeap[T]) Push(x any) {
	item, ok := x.(T)
	if !ok {
		return
	}
	item.setPlace(len(*h))
	*h = append(*h, item)
}

// turner is what a turnHeap orders.
type turner interface {
	at() float64
	since() uint64 // Decides between equals: who came first.
	setPlace(i int)
}

// turnHeap keeps whoever has the next turn at the front.
type turnHeap[T turner] []T

// Less orders by turn.
func (h turnHeap[T]) Less(i, j int) bool {
	if h[i].at() != h[j].at() {
		return h[i].at() < h[j].at()
	}
	return h[i].since() < h[j].since()
}

// Swap exchanges two and tells them their places.
func (h turnHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setPlace(i)
	h[j].setPlace(j)
}

// Pop takes the last, as container/heap asks.
func (h *turnHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
