package ccqueue

import "camphorcroft/core/ccjob"

// minShare keeps a team's turns finite.
const minShare = 1e-6

// team is one team's waiting tasks.
type team struct {
	name        string
	share       float64
	virtualTime float64 // Grows by 1/share with each task taken.
	arrival     uint64
	length      int
	jobs        map[ccjob.ID]*job
	jobHeap     itemHeap[*job]
	heapIndex   int
}

// job is one job's waiting tasks.
type job struct {
	id        ccjob.ID
	team      *team
	arrival   uint64
	indexes   []int
	heapIndex int
}

func (t *team) priority() float64  { return t.virtualTime }
func (t *team) tieBreak() uint64   { return t.arrival }
func (j *job) tieBreak() uint64    { return j.arrival }
func (t *team) setHeapIndex(i int) { t.heapIndex = i }
func (j *job) priority() float64   { return float64(len(j.indexes)) }
func (j *job) setHeapIndex(i int)  { j.heapIndex = i }
func (h itemHeap[T]) Len() int     { return len(h) }
func (h *itemHeap[T]) Push(x any) {
	item, ok := x.(T)
	if !ok {
		return
	}
	item.setHeapIndex(len(*h))
	*h = append(*h, item)
}

// heapItem is what a turnHeap orders.
type heapItem interface {
	priority() float64
	tieBreak() uint64 // Decides between equals: who came first.
	setHeapIndex(i int)
}

// itemHeap keeps whoever has the next turn at the front.
type itemHeap[T heapItem] []T

// Less orders by turn.
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].priority() != h[j].priority() {
		return h[i].priority() < h[j].priority()
	}
	return h[i].tieBreak() < h[j].tieBreak()
}

// Swap exchanges two and tells them their places.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setHeapIndex(i)
	h[j].setHeapIndex(j)
}

// Pop takes the last, as container/heap asks.
func (h *itemHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
