package ccevent

import (
	"cmp"
	"container/heap"
	"time"

	"camphorcroft/core/ccnode"
)

// MaxMerged is the greatest number of events in one time line. Above it the
// oldest of each process are left out and counted as dropped.
const MaxMerged = 1 << 20

// Part says that some of a process's events were left out on purpose, so that
// gaps in their numbers tell nothing, and how many it has dropped.
type Part struct {
	Node    ccnode.Ref
	Dropped uint64
}

// Merge puts the events of many processes into one time line. The same event
// may be given more than once. The result depends on the set of events alone,
// not on their order. The work grows as n log n with the number of events.
func Merge(events []Event, parts ...Part) Timeline {
	lanes := cutLanes(events, MaxMerged)
	for _, l := range lanes {
		l.setPart(parts)
	}
	causes := newCauses(lanes)
	setOffsets(lanes, causes)
	m := &merger{lanes: lanes, causes: causes, waiting: make([][]int, len(lanes))}
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
	waiting [][]int // By the lane waited for: the lanes that wait.
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
			timeline.Broken++
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
	waiting := m.waiting[head.lane]
	m.waiting[head.lane] = nil
	for _, i := range waiting {
		m.admit(i)
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
			m.waiting[cause] = append(m.waiting[cause], index)
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
	best, bestCause := readyHead{lane: none}, 0
	for cause, waiting := range m.waiting {
		for _, index := range waiting {
			l := m.lanes[index]
			head := readyHead{lane: index, when: later(m.now, l.events[l.next].At.Add(l.offset)), forced: true}
			if best.lane == none || compareHeads(head, best) < 0 {
				best, bestCause = head, cause
			}
		}
	}
	if best.lane == none {
		return false
	}
	kept := m.waiting[bestCause][:0]
	for _, index := range m.waiting[bestCause] {
		if index != best.lane {
			kept = append(kept, index)
		}
	}
	m.waiting[bestCause] = kept
	heap.Push(&m.ready, best)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readyHead is the next event of a lane, with its time on the common clock.
type readyHead struct {
	lane   int
	when   time.Time
	forced bool // Its cause could not be kept.
}

func compareHeads(a, b readyHead) int {
	return cmp.Or(a.when.Compare(b.when), cmp.Compare(a.lane, b.lane))
}

// readyHeap is a heap with the earliest event on top.
type readyHeap []readyHead

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return compareHeads(h[i], h[j]) < 0 }
func (h readyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by the heap package.
func (h *readyHeap) Push(x any) {
	head, _ := x.(readyHead)
	*h = append(*h, head)
}

// Pop is called by the heap package.
func (h *readyHeap) Pop() any {
	old := *h
	head := old[len(old)-1]
	*h = old[:len(old)-1]
	return head
}
