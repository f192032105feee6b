package ccdispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccplacement"
	"camphorcroft/core/ccwire"
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
		d.placeAhead(now, s)
		d.want(s)
	}
}

// placeAhead sends to targets with no free slot that end tasks so fast that the
// agent will hold a task until the next slot. A send that succeeds costs nothing
// beyond the task's own two messages, where a want costs two more. With a long
// queue the offers ride on reports that go out anyway, so nothing is sent ahead:
// a task that is held when its agent crashes is lost, although it never started.
func (d *Dispatcher) placeAhead(now time.Time, s *service) {
	if s.queue.Len() > aheadQueue {
		return
	}
	for _, a := range s.byspeed() {
		if s.queue.Len() == 0 {
			return
		}
		if a.free != 0 || now.Before(a.aheadAfter) || a.speed.Mean() <= 0 ||
			a.speed.Mean()/time.Duration(a.slots) > aheadLimit || a.health.Allowed(now, a.slots) < a.slots {
			continue
		}
		item, _ := s.queue.Pop()
		if d.assign(now, s, a, item.Job, item.Index) {
			a.aheadAfter = now.Add(aheadGap)
		}
	}
}

// byspeed returns the agents of the last view, the fastest first.
func (s *service) byspeed() []*agent {
	slices.SortStableFunc(s.ranked, func(a, b *agent) int { return cmp.Compare(a.speed.Typical(), b.speed.Typical()) })
	return s.ranked
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
	if d.Guest(a.ref.ID) {
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
	d.box(now, a, j, ccwire.DispatchTask{Index: index, Attempt: t.attempt, Payload: j.spec.Payloads[index]})
	return true
}

func (d *Dispatcher) box(now time.Time, a *agent, j *job, t ccwire.DispatchTask) {
	message := a.open()
	place, ok := a.boxJob[j.spec.ID]
	if !ok {
		place = len(message.Jobs)
		a.boxJob[j.spec.ID] = place
		message.Jobs = append(message.Jobs, ccwire.DispatchJob{
			ID:       j.spec.ID,
			Claim:    j.claim,
			Service:  j.spec.Service,
			BudgetMS: j.due.Sub(now).Milliseconds(),
		})
	}
	message.Jobs[place].Tasks = append(message.Jobs[place].Tasks, t)
}

// open returns the message that goes to the agent next.
func (a *agent) open() *ccwire.Dispatch {
	if a.outbox == nil {
		a.outbox = &ccwire.Dispatch{Agent: a.ref, Session: a.session}
	}
	return a.outbox
}

// want tells agents without a free slot that tasks wait, so that they offer the
// next slot. Each is told once until it offers; a message that goes out anyway
// tells it anew, since each dispatch replaces the want of the one before.
//
// The fastest are told first, and no more of them than are likely to be needed:
// each offer that comes too late costs two messages.
func (d *Dispatcher) want(s *service) {
	tell := max(minWanted, (s.queue.Len()+wantShare-1)/wantShare)
	each := (s.queue.Len() + tell - 1) / tell
	for _, a := range s.byspeed() {
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
		a.open().Want = a.wanted
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

func (d *Dispatcher) send(now time.Time, a *agent) {
	if a.outbox == nil {
		return
	}
	message := a.outbox
	a.outbox = nil
	clear(a.boxJob)
	a.seq++
	message.Seq, message.Echo, message.Version = a.seq, a.echo, d.settings.Version
	if message.Want == 0 {
		a.wanted = 0
	}
	tasks := 0
	for i := range message.Jobs {
		part := &message.Jobs[i]
		tasks += len(part.Tasks)
		d.record(now, ccevent.Event{
			Kind: ccevent.KindSent, Job: part.ID, Index: eventIndex(part.Tasks), Count: len(part.Tasks),
			Claim: part.Claim, Peer: a.ref.ID, Domain: a.domain,
		})
	}
	d.counts.Dispatches++
	if tasks == 0 {
		d.counts.EmptyDispatch++
	} else {
		a.unseen = append(a.unseen, sentBatch{seq: a.seq, tasks: tasks})
	}
	d.act(&SendDispatch{Agent: a.ref.ID, Message: *message})
}

// eventIndex is the task of an event that covers just one.
func eventIndex(tasks []ccwire.DispatchTask) int {
	if len(tasks) == 1 {
		return tasks[0].Index
	}
	return ccevent.NoIndex
}
