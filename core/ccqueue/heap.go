package ccqueue

import "camphorcroft/core/ccjob"

// minShare keeps a team's virtual time finite.
const minShare = 1e-6

// team holds the waiting tasks of one team.
type team struct {
	name        string
	share       float64
	virtualTime float64 // Grows by 1/share with each popped task.
	arrival     uint64
	length      int
	jobs        map[ccjob.ID]*job
	jobHeap     itemHeap[*job]
	heapIndex   int
}

// job holds the indexes of the waiting tasks of one job.
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

// heapItem is an element of an itemHeap.
type heapItem interface {
	priority() float64 // The lowest is served first.
	tieBreak() uint64  // Arrival order, which decides between equal priorities.
	setHeapIndex(i int)
}

// itemHeap implements heap.Interface with the item to serve next at the front.
// Items know their index, for heap.Fix and heap.Remove.
type itemHeap[T heapItem] []T

// Less orders by priority, then by arrival.
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].priority() != h[j].priority() {
		return h[i].priority() < h[j].priority()
	}
	return h[i].tieBreak() < h[j].tieBreak()
}

// Swap exchanges two items and updates their heap indexes.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setHeapIndex(i)
	h[j].setHeapIndex(j)
}

// Pop removes the last item, as heap.Interface requires.
func (h *itemHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
