package ccdispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccplacement"
	"camphorcroft/core/ccwire"
)

// flush places waiting tasks and sends all outboxes, so that no task waits
// while a usable slot is known to be free.
func (d *Dispatcher) flush(now time.Time) {
	if d.sendAllowed {
		for _, name := range slices.Sorted(maps.Keys(d.services)) {
			d.placeTasks(now, d.services[name])
		}
	}
	for _, a := range d.sortedAgents {
		d.declineOffer(a)
		d.sendOutbox(now, a)
	}
}

// placeTasks assigns waiting tasks of a service to agents with free slots. If
// tasks are left over, it prefetches some and requests slots for the others.
func (d *Dispatcher) placeTasks(now time.Time, s *service) {
	if s.queue.Len() == 0 {
		s.completionRate.backlogged = false
		return
	}
	d.collectCandidates(now, s)
	s.policy.Rank(s.candidates)
	for s.queue.Len() > 0 {
		i := s.policy.Pick(s.candidates, s.queue.Len())
		if i == ccplacement.None {
			break
		}
		item, _ := s.queue.Pop()
		if !d.assign(now, s, s.candidateAgents[i], item.Job, item.Index) {
			continue
		}
		s.candidates[i].FreeSlots--
		s.candidates[i].InFlight++
	}
	if s.queue.Len() > 0 {
		fastest := s.fastestFirst()
		d.prefetch(now, s, fastest)
		d.requestSlots(s, fastest)
	}
}

// collectCandidates lists the usable agents of the service with the number of
// slots that may be used.
func (d *Dispatcher) collectCandidates(now time.Time, s *service) {
	s.candidateAgents, s.candidates = s.candidateAgents[:0], s.candidates[:0]
	for _, a := range d.sortedAgents {
		if d.services[a.service] != s || !d.usable(now, a) {
			continue
		}
		s.candidateAgents = append(s.candidateAgents, a)
		weight, ok := s.settings.Weights[a.domain]
		if !ok {
			weight = 1
		}
		s.candidates = append(s.candidates, ccplacement.Candidate{
			FreeSlots:      d.freeSlots(now, a),
			InFlight:       len(a.inFlight),
			TypicalRunTime: a.speed.TypicalRunTime(),
			Near:           s.settings.PreferNear && a.domain == d.cfg.Domain,
			Weight:         weight,
		})
	}
}

// usable reports whether the agent may get tasks.
func (d *Dispatcher) usable(now time.Time, a *agent) bool {
	domain := d.settings.Domains[a.domain]
	if d.OutsideSubset(a.ref.ID) {
		return false
	}
	return a.up && !a.leaving && !a.silent(now) && !domain.Out &&
		a.version <= d.settings.Version && !now.Before(a.backoffUntil)
}

// freeSlots returns the number of reported free slots that may be used. It is
// limited for ejected targets, and while a domain that was put back into
// service ramps up.
func (d *Dispatcher) freeSlots(now time.Time, a *agent) int {
	allowed := a.health.AllowedSlots(now, a.slots)
	if since, ok := d.domainInSince[a.domain]; ok {
		ramp := d.settings.Domains[a.domain].RampUp.Std()
		if elapsed := now.Sub(since); elapsed < ramp {
			share := float64(elapsed) / float64(ramp)
			allowed = min(allowed, 1+int(math.Floor(share*float64(a.slots))))
		}
	}
	return min(a.free, allowed-len(a.inFlight))
}

// assign puts a task into the agent's outbox. It returns false if the job of
// the task is unknown or has ended.
func (d *Dispatcher) assign(now time.Time, s *service, a *agent, id ccjob.ID, index int) bool {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return false
	}
	t := &j.tasks[index]
	if t.attempt == 0 {
		s.retryBudget = min(s.retryBudget+s.settings.RetryBudget, maxRetryBudget)
	} else {
		d.counts.TasksResent++
	}
	t.state, t.agent = taskSent, a.ref
	t.attempt++
	j.waiting--
	j.sent++
	a.free--
	a.inFlight[taskKey{id, index}] = struct{}{}
	d.counts.TasksSent++
	d.addToOutbox(now, a, j, ccwire.DispatchTask{Index: index, Attempt: t.attempt, Payload: j.spec.Payloads[index]})
	return true
}
