package ccdispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPrefetchSlotTime is the longest mean interval at which a target frees
	// slots for tasks to be prefetched to it.
	maxPrefetchSlotTime = 20 * time.Millisecond
	// maxPrefetchQueue is the longest queue from which tasks are prefetched.
	maxPrefetchQueue = 4
	// prefetchInterval is the minimum time between two tasks prefetched to an
	// agent.
	prefetchInterval = 20 * time.Millisecond
	// minSlotRequests is the minimum number of agents that are asked for a
	// slot.
	minSlotRequests = 3
	// tasksPerSlotRequest is the number of waiting tasks per agent that is
	// asked for a slot.
	tasksPerSlotRequest = 4
)

// prefetch sends tasks to targets that have no free slot but complete tasks so
// fast that the agent will hold a task until the next slot is free. A
// successful prefetch costs only the task's own two messages, while a slot
// request costs two more. With a long queue, offers are carried by reports that
// are sent anyway, so nothing is prefetched: a task that an agent holds when it
// crashes is lost, although it never started.
func (d *Dispatcher) prefetch(now time.Time, s *service, fastest []*agent) {
	if s.queue.Len() > maxPrefetchQueue {
		return
	}
	for _, a := range fastest {
		if s.queue.Len() == 0 {
			return
		}
		if a.free != 0 || now.Before(a.prefetchAfter) || a.speed.MeanRunTime() <= 0 ||
			a.speed.MeanRunTime() > maxPrefetchSlotTime*time.Duration(a.slots) || a.health.AllowedSlots(now, a.slots) < a.slots {
			continue
		}
		item, _ := s.queue.Pop()
		if d.assign(now, s, a, item.Job, item.Index) {
			a.prefetchAfter = now.Add(prefetchInterval)
		}
	}
}

// fastestFirst sorts the candidate agents by run time, fastest first.
// Afterwards their indexes no longer match those of the candidates.
func (s *service) fastestFirst() []*agent {
	slices.SortStableFunc(s.candidateAgents, func(a, b *agent) int { return cmp.Compare(a.speed.TypicalRunTime(), b.speed.TypicalRunTime()) })
	return s.candidateAgents
}

// requestSlots asks agents without a free slot to offer the next one, since
// tasks are waiting. Each agent is asked once until it offers. If a dispatch to
// the agent is pending anyway, the request is repeated in it, because each
// dispatch replaces the WantSlots of the previous one.
//
// The fastest agents are asked first, and no more of them than are likely to be
// needed: each offer that comes too late costs two messages.
func (d *Dispatcher) requestSlots(s *service, fastest []*agent) {
	requests := max(minSlotRequests, (s.queue.Len()+tasksPerSlotRequest-1)/tasksPerSlotRequest)
	slotsEach := (s.queue.Len() + requests - 1) / requests
	for _, a := range fastest {
		if requests == 0 {
			return
		}
		if a.free > 0 {
			continue
		}
		requests--
		if a.lastWant > 0 && a.outbox == nil {
			continue
		}
		a.lastWant = min(slotsEach, a.slots)
		a.openOutbox().WantSlots = a.lastWant
	}
}

// declineOffer releases slots that an agent holds for this entry but that it
// has no tasks for, so that another entry can use them immediately.
func (d *Dispatcher) declineOffer(a *agent) {
	if !a.hasOffer || !a.up {
		return
	}
	a.hasOffer = false
	if a.outbox == nil {
		a.lastWant = 0
		a.openOutbox()
	}
}
