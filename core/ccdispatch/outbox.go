package ccdispatch

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccwire"
)

// addTask puts a task into the message that goes to the agent next.
func (d *Dispatcher) addTask(now time.Time, a *agent, j *job, t ccwire.DispatchTask) {
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

func (d *Dispatcher) send(now time.Time, a *agent) {
	if a.outbox == nil {
		return
	}
	message := a.outbox
	a.outbox = nil
	clear(a.boxJob)
	a.seq++
	message.Seq, message.Echo, message.Version = a.seq, a.echo, d.settings.Version
	if message.WantSlots == 0 {
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
