package cclab

import (
	"container/heap"
	"time"
)

// clock runs functions at simulated times. Those due at the same time run in the order in
// which they were scheduled.
type clock struct {
	now    time.Time
	seq    int
	events eventHeap
}

type clockEvent struct {
	at  time.Time
	seq int
	run func()
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, clockEvent{at: c.now.Add(d), seq: c.seq, run: run})
}

// runUntil runs the events up to the given time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(clockEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []clockEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(clockEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
