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

// flush sends what can be sent, so that no task waits while a usable slot is
// known to be free.
func (d *Dispatcher) flush(now time.Time) {
	if d.open {
		for _, name := range slices.Sorted(maps.Keys(d.services)) {
			d.place(now, d.services[name])
		}
	}
	for _, a := range d.ordered {
		d.declineOffer(a)
		d.send(now, a)
	}
}

func (d *Dispatcher) place(now time.Time, s *service) {
	if s.queue.Len() == 0 {
		s.rate.busy = false
		return
	}
	d.view(now, s)
	s.policy.Rank(s.view)
	for s.queue.Len() > 0 {
		i := s.policy.Pick(s.view, s.queue.Len())
		if i == ccplacement.None {
			break
		}
		item, _ := s.queue.Pop()
		if !d.assign(now, s, s.ranked[i], item.Job, item.Index) {
			continue
		}
		s.view[i].Free--
		s.view[i].InFlight++
	}
	if s.queue.Len() > 0 {
		fastest := s.fastestFirst()
		d.placeAhead(now, s, fastest)
		d.want(s, fastest)
	}
}

// view lists the agents of the service that may be given work, with the slots
// that may be used.
func (d *Dispatcher) view(now time.Time, s *service) {
	s.ranked, s.view = s.ranked[:0], s.view[:0]
	for _, a := range d.ordered {
		if d.services[a.service] != s || !d.usable(now, a) {
			continue
		}
		s.ranked = append(s.ranked, a)
		weight, ok := s.guards.Weights[a.domain]
		if !ok {
			weight = 1
		}
		s.view = append(s.view, ccplacement.Candidate{
			Free:     d.freeSlots(now, a),
			InFlight: len(a.out),
			Typical:  a.speed.Typical(),
			Near:     s.guards.PreferNear && a.domain == d.cfg.Domain,
			Weight:   weight,
		})
	}
}

func (d *Dispatcher) usable(now time.Time, a *agent) bool {
	domain := d.settings.Domains[a.domain]
	if d.OutsideSubset(a.ref.ID) {
		return false
	}
	return a.up && !a.leaving && !a.silent(now) && !domain.Out &&
		a.version <= d.settings.Version && !now.Before(a.heldTill)
}

// freeSlots is what the agent reported, less what the guards hold back: an
// ejected target's slots, and part of them while its domain ramps up.
func (d *Dispatcher) freeSlots(now time.Time, a *agent) int {
	allowed := a.health.Allowed(now, a.slots)
	if since, ok := d.domainIn[a.domain]; ok {
		ramp := d.settings.Domains[a.domain].RampUp.Std()
		if elapsed := now.Sub(since); elapsed < ramp {
			share := float64(elapsed) / float64(ramp)
			allowed = min(allowed, 1+int(math.Floor(share*float64(a.slots))))
		}
	}
	return min(a.free, allowed-len(a.out))
}

// assign puts a task into the agent's outbox. It returns false when the task is
// no longer wanted.
func (d *Dispatcher) assign(now time.Time, s *service, a *agent, id ccjob.ID, index int) bool {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return false
	}
	t := &j.tasks[index]
	if t.attempt == 0 {
		s.budget = min(s.budget+s.guards.RetryBudget, maxBudget)
	} else {
		d.counts.TasksResent++
	}
	t.state, t.agent = taskSent, a.ref
	t.attempt++
	j.waiting--
	j.sent++
	a.free--
	a.out[outKey{id, index}] = struct{}{}
	d.counts.TasksSent++
	d.addTask(now, a, j, ccwire.DispatchTask{Index: index, Attempt: t.attempt, Payload: j.spec.Payloads[index]})
	return true
}
