package ccdispatch

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccwire"
)

// addToOutbox adds a task to the agent's next dispatch.
func (d *Dispatcher) addToOutbox(now time.Time, a *agent, j *job, t ccwire.DispatchTask) {
	message := a.openOutbox()
	position, ok := a.outboxJobs[j.spec.ID]
	if !ok {
		position = len(message.Jobs)
		a.outboxJobs[j.spec.ID] = position
		message.Jobs = append(message.Jobs, ccwire.DispatchJob{
			ID:       j.spec.ID,
			Claim:    j.claim,
			Service:  j.spec.Service,
			BudgetMS: j.due.Sub(now).Milliseconds(),
		})
	}
	message.Jobs[position].Tasks = append(message.Jobs[position].Tasks, t)
}

// openOutbox returns the agent's next dispatch, which it creates if there is
// none.
func (a *agent) openOutbox() *ccwire.Dispatch {
	if a.outbox == nil {
		a.outbox = &ccwire.Dispatch{Agent: a.ref, Session: a.session}
	}
	return a.outbox
}

// sendOutbox sends the agent's next dispatch, if there is one.
func (d *Dispatcher) sendOutbox(now time.Time, a *agent) {
	if a.outbox == nil {
		return
	}
	message := a.outbox
	a.outbox = nil
	clear(a.outboxJobs)
	a.seq++
	message.Seq, message.Echo, message.Version = a.seq, a.clock, d.settings.Version
	if message.WantSlots == 0 {
		a.lastWant = 0
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
		d.counts.EmptyDispatches++
	} else {
		a.unacked = append(a.unacked, unackedDispatch{seq: a.seq, tasks: tasks})
	}
	d.addAction(&SendDispatch{Agent: a.ref.ID, Message: *message})
}

// eventIndex returns the task index for an event about the tasks: that of a
// single task, or ccevent.NoIndex.
func eventIndex(tasks []ccwire.DispatchTask) int {
	if len(tasks) == 1 {
		return tasks[0].Index
	}
	return ccevent.NoIndex
}
