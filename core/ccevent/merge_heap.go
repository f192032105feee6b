package ccevent

import (
	"cmp"
	"time"
)

// readyHead is a lane's next event that is ready, with its time on the common
// clock.
type readyHead struct {
	lane   int
	when   time.Time
	forced bool // Its cause was ignored to break a cycle.
}

func compareHeads(a, b readyHead) int {
	return cmp.Or(a.when.Compare(b.when), cmp.Compare(a.lane, b.lane))
}

// readyHeap is a min-heap ordered by time.
type readyHeap []readyHead

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return compareHeads(h[i], h[j]) < 0 }
func (h readyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	head, _ := x.(readyHead)
	*h = append(*h, head)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	old := *h
	head := old[len(old)-1]
	*h = old[:len(old)-1]
	return head
}

// waiter is a lane whose next event has a cause that is not placed yet.
type waiter struct {
	lane int
	need int // How many events of the cause's lane must be placed first.
}

// waitHeap is a min-heap ordered by need.
type waitHeap []waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].need, h[j].need), cmp.Compare(h[i].lane, h[j].lane)) < 0
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w, _ := x.(waiter)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
