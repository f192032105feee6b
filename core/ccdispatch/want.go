package ccdispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// aheadLimit is how often a target must free a slot for a task to be sent to
	// it while it has none.
	aheadLimit = 20 * time.Millisecond
	// aheadQueue is the longest queue from which tasks are sent ahead.
	aheadQueue = 4
	// aheadGap is how long after such a task the next one is sent.
	aheadGap = 20 * time.Millisecond
	// minWanted is at least how many agents are asked for a slot.
	minWanted = 3
	// wantShare is how many waiting tasks there are for each agent that is asked.
	wantShare = 4
)

// placeAhead sends to targets with no free slot that end tasks so fast that the
// agent will hold a task until the next slot. A send that succeeds costs nothing
// beyond the task's own two messages, where a want costs two more. With a long
// queue the offers ride on reports that go out anyway, so nothing is sent ahead:
// a task that is held when its agent crashes is lost, although it never started.
func (d *Dispatcher) placeAhead(now time.Time, s *service, fastest []*agent) {
	if s.queue.Len() > aheadQueue {
		return
	}
	for _, a := range fastest {
		if s.queue.Len() == 0 {
			return
		}
		if a.free != 0 || now.Before(a.aheadAfter) || a.speed.Mean() <= 0 ||
			a.speed.Mean() > aheadLimit*time.Duration(a.slots) || a.health.Allowed(now, a.slots) < a.slots {
			continue
		}
		item, _ := s.queue.Pop()
		if d.assign(now, s, a, item.Job, item.Index) {
			a.aheadAfter = now.Add(aheadGap)
		}
	}
}

// fastestFirst sorts the agents of the last view, the fastest first. The view's
// candidates no longer go with them afterwards.
func (s *service) fastestFirst() []*agent {
	slices.SortStableFunc(s.ranked, func(a, b *agent) int { return cmp.Compare(a.speed.Typical(), b.speed.Typical()) })
	return s.ranked
}

// want tells agents without a free slot that tasks wait, so that they offer the
// next slot. Each is told once until it offers; a message that goes out anyway
// tells it anew, since each dispatch replaces the want of the one before.
//
// The fastest are told first, and no more of them than are likely to be needed:
// each offer that comes too late costs two messages.
func (d *Dispatcher) want(s *service, fastest []*agent) {
	tell := max(minWanted, (s.queue.Len()+wantShare-1)/wantShare)
	each := (s.queue.Len() + tell - 1) / tell
	for _, a := range fastest {
		if tell == 0 {
			return
		}
		if a.free > 0 {
			continue
		}
		tell--
		if a.wanted > 0 && a.outbox == nil {
			continue
		}
		a.wanted = min(each, a.slots)
		a.open().WantSlots = a.wanted
	}
}

// declineOffer gives back slots that are held for this entry when it has no use
// for them, so that another entry gets them at once.
func (d *Dispatcher) declineOffer(a *agent) {
	if !a.offered || !a.up {
		return
	}
	a.offered = false
	if a.outbox == nil {
		a.wanted = 0
		a.open()
	}
}
