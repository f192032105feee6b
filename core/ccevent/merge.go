package ccevent

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccnode"
)

// MaxMerged is the maximum number of events in one timeline. Beyond it, the oldest
// events of each process are omitted and counted as dropped.
const MaxMerged = 1 << 20

// PartialLane declares that some events of a process were omitted on purpose.
// Gaps in its sequence numbers then don't indicate dropped events, so Dropped
// gives their number.
type PartialLane struct {
	Node    ccnode.Ref
	Dropped uint64
}

// Merge combines the events of many processes into one timeline. Duplicate events
// are allowed. The result depends only on the set of events, not on their order.
// Merging n events takes O(n log n) time.
func Merge(events []Event, parts ...PartialLane) Timeline {
	lanes := splitLanes(events, MaxMerged)
	for _, l := range lanes {
		l.markPartial(parts)
	}
	causes := newCauseIndex(lanes)
	setOffsets(lanes, causes)
	m := &merger{lanes: lanes, causes: causes, waiting: make([]waitHeap, len(lanes))}
	timeline := m.run()
	timeline.Lanes = describeLanes(lanes, causes, timeline.Steps)
	return timeline
}

// merger places the events one by one. Each unfinished lane has exactly one next
// event, which is either in ready or in the waiting heap of its cause's lane.
type merger struct {
	lanes   []*lane
	causes  *causeIndex
	ready   readyHeap
	waiting []waitHeap // Indexed by the lane of the cause.
	now     time.Time
}

func (m *merger) run() Timeline {
	var timeline Timeline
	for i := range m.lanes {
		m.enqueueNext(i)
	}
	for {
		if len(m.ready) == 0 && !m.breakCycle() {
			return timeline
		} else if len(m.ready) > 0 && m.ready[0].forced {
			timeline.BrokenCauses++
		}
		timeline.Steps = append(timeline.Steps, m.placeNext())
	}
}

// placeNext removes the earliest ready event and returns it as a step.
func (m *merger) placeNext() Step {
	head, _ := heap.Pop(&m.ready).(readyHead)
	l := m.lanes[head.lane]
	step := Step{Event: l.events[l.next], When: head.when, Dropped: l.missingBefore(l.next)}
	m.now = head.when
	l.last = head.when
	l.next++
	m.enqueueNext(head.lane)
	for waiting := &m.waiting[head.lane]; len(*waiting) > 0 && (*waiting)[0].need <= l.next; {
		waiter, _ := heap.Pop(waiting).(waiter)
		m.enqueueNext(waiter.lane)
	}
	return step
}

// enqueueNext adds a lane's next event to the ready heap, or to the waiting heap
// of its cause's lane if the cause is not placed yet.
func (m *merger) enqueueNext(index int) {
	l := m.lanes[index]
	if l.next == len(l.events) {
		return
	}
	event := &l.events[l.next]
	when := later(l.last, event.At.Add(l.offset))
	if cause, before := m.causes.lookup(index, event); cause != none {
		if m.lanes[cause].next < before {
			heap.Push(&m.waiting[cause], waiter{lane: index, need: before})
			return
		}
		if before == m.lanes[cause].next {
			when = later(when, m.lanes[cause].last)
		}
	}
	heap.Push(&m.ready, readyHead{lane: index, when: when})
}

// breakCycle makes the earliest waiting event ready although its cause is not
// placed. It returns false if no event is waiting.
func (m *merger) breakCycle() bool {
	best, cause, position := readyHead{lane: none}, none, none
	for i, waiting := range m.waiting {
		for j, w := range waiting {
			l := m.lanes[w.lane]
			head := readyHead{lane: w.lane, when: later(m.now, l.events[l.next].At.Add(l.offset)), forced: true}
			if best.lane == none || compareHeads(head, best) < 0 {
				best, cause, position = head, i, j
			}
		}
	}
	if best.lane == none {
		return false
	}
	heap.Remove(&m.waiting[cause], position)
	heap.Push(&m.ready, best)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
