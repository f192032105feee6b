package ccevent

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccnode"
)

// MaxMerged is the greatest number of events in one time line. Above it the
// oldest of each process are left out and counted as dropped.
const MaxMerged = 1 << 20

// PartialLane says that some of a process's events were left out on purpose, so that
// gaps in their numbers tell nothing, and how many it has dropped.
type PartialLane struct {
	Node    ccnode.Ref
	Dropped uint64
}

// Merge puts the events of many processes into one time line. The same event
// may be given more than once. The result depends on the set of events alone,
// not on their order. The work grows as n log n with the number of events.
func Merge(events []Event, parts ...PartialLane) Timeline {
	lanes := cutLanes(events, MaxMerged)
	for _, l := range lanes {
		l.setPart(parts)
	}
	causes := newCauses(lanes)
	setOffsets(lanes, causes)
	m := &merger{lanes: lanes, causes: causes, waiting: make([]waitHeap, len(lanes))}
	timeline := m.run()
	timeline.Lanes = describeLanes(lanes, causes, timeline.Steps)
	return timeline
}

// merger places one event after the other. At any time each lane has one event
// that is next; it is in ready, or in the waiting list of its cause's lane.
type merger struct {
	lanes   []*lane
	causes  *causes
	ready   readyHeap
	waiting []waitHeap // By the lane waited for.
	now     time.Time
}

func (m *merger) run() Timeline {
	var timeline Timeline
	for i := range m.lanes {
		m.admit(i)
	}
	for {
		if len(m.ready) == 0 && !m.breakCircle() {
			return timeline
		} else if len(m.ready) > 0 && m.ready[0].forced {
			timeline.BrokenCauses++
		}
		timeline.Steps = append(timeline.Steps, m.place())
	}
}

// place takes the earliest event that is ready.
func (m *merger) place() Step {
	head, _ := heap.Pop(&m.ready).(readyHead)
	l := m.lanes[head.lane]
	step := Step{Event: l.events[l.next], When: head.when, Dropped: l.missingBefore(l.next)}
	m.now = head.when
	l.last = head.when
	l.next++
	m.admit(head.lane)
	for waiting := &m.waiting[head.lane]; len(*waiting) > 0 && (*waiting)[0].need <= l.next; {
		waiter, _ := heap.Pop(waiting).(waiter)
		m.admit(waiter.lane)
	}
	return step
}

// admit makes a lane's next event ready, or lets it wait for its cause.
func (m *merger) admit(index int) {
	l := m.lanes[index]
	if l.next == len(l.events) {
		return
	}
	event := &l.events[l.next]
	when := later(l.last, event.At.Add(l.offset))
	if cause, before := m.causes.of(index, event); cause != none {
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

// breakCircle makes the earliest of all waiting events ready. It reports false
// if none waits.
func (m *merger) breakCircle() bool {
	best, cause, place := readyHead{lane: none}, none, none
	for i, waiting := range m.waiting {
		for j, w := range waiting {
			l := m.lanes[w.lane]
			head := readyHead{lane: w.lane, when: later(m.now, l.events[l.next].At.Add(l.offset)), forced: true}
			if best.lane == none || compareHeads(head, best) < 0 {
				best, cause, place = head, i, j
			}
		}
	}
	if best.lane == none {
		return false
	}
	heap.Remove(&m.waiting[cause], place)
	heap.Push(&m.ready, best)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
