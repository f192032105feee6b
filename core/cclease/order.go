package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Ordered takes an entry's orders from its current session.
func (t *Table) Ordered(now time.Time, entry ccnode.ID, orders ccwire.Orders) {
	o := t.owners[entry]
	if o == nil || !o.connected {
		return
	}
	if heard := t.cfg.Now.Add(time.Duration(orders.EchoMS) * time.Millisecond); heard.After(o.heard) {
		o.heard = heard
	}
	if orders.CapacityIntervalMS > 0 {
		o.roomInterval = time.Duration(orders.CapacityIntervalMS) * time.Millisecond
	}
	t.takePlan(now, o, orders)
	for _, task := range orders.Stops {
		if r := t.runs[task]; r != nil && r.owner == entry && r.stopFrom.IsZero() {
			t.stop(now, r)
		}
	}
	for _, order := range orders.Starts {
		t.start(now, o, order)
	}
	o.handled = orders.Sequence
	t.look(now)
	t.reportDue(now)
}

func (t *Table) takePlan(now time.Time, o *owner, orders ccwire.Orders) {
	o.revision = max(o.revision, orders.PlanRevision)
	if !orders.Plan.Newer(t.plan) {
		return
	}
	t.plan = orders.Plan
	o.revision = max(o.revision, orders.Plan.Revision)
	t.out.Changes = append(t.out.Changes, Change{What: "Plan received.", Entry: o.ref.ID, Count: int(t.plan.Revision)})
	t.planSince = now
	t.reportDue(now)
}

// start checks an order, and calls the worker or says at once why not.
func (t *Table) start(now time.Time, o *owner, order ccwire.StartOrder) {
	if age := now.Sub(o.heard); age > OwnerSilence {
		t.refuse(now, o.ref.ID, order, ccwire.RunRefused, "echo is old")
		return
	}
	if reason := t.closedReason(now); reason != "" {
		t.refuse(now, o.ref.ID, order, ccwire.RunRefused, reason)
		return
	}
	if r := t.runs[order.Task]; r != nil {
		// Another owner's run of the same task: it ends first.
		if r.stopFrom.IsZero() && r.owner != o.ref.ID {
			t.stop(now, r)
		}
		t.refuse(now, o.ref.ID, order, ccwire.RunRefused, "an earlier run is not over")
		return
	}
	if !order.Need.Fits(t.Free()) {
		t.refuse(now, o.ref.ID, order, ccwire.RunNoCapacity, "no room in the agent's ledger")
		return
	}
	t.begin(now, o, order)
}

// refuse gives an order back to its entry.
func (t *Table) refuse(now time.Time, entry ccnode.ID, order ccwire.StartOrder, end ccwire.RunOutcome, reason string) {
	t.out.Changes = append(t.out.Changes, Change{What: "Order refused.", Entry: entry, Task: order.Task, Reason: reason, End: end})
	t.ended(now, entry, ccwire.RunResult{Task: order.Task, Attempt: order.Attempt, Outcome: end, Reason: reason}, true)
}

// begin takes the room that an order needs and calls the worker.
func (t *Table) begin(now time.Time, o *owner, order ccwire.StartOrder) {
	r := &run{
		task: order.Task, number: t.numbers[order.Task].number + 1, attempt: order.Attempt,
		owner: o.ref.ID, need: order.Need, payload: order.Payload, started: now,
		expected: time.Duration(order.EstimateMS) * time.Millisecond,
	}
	t.add(r)
	t.callStart(now, r)
}

// add enters a run, which takes its room until it is finished.
func (t *Table) add(r *run) {
	t.runs[r.task] = r
	t.order = append(t.order, r)
	t.used = t.used.Plus(r.need)
}

func (t *Table) callStart(now time.Time, r *run) {
	r.phase = phaseStarting
	t.numbers[r.task] = numberUsed{number: r.number, at: now}
	t.out.Starts = append(t.out.Starts, StartCall{
		Worker: t.worker.ID, Task: r.task, Run: r.number, Payload: r.payload, Token: t.token, Until: t.extend(now),
	})
}

// extend returns the end of a lease that starts now, on the worker's clock, and
// notes when it is over at the latest on the agent's.
func (t *Table) extend(now time.Time) time.Duration {
	end := now.Add(leaseAtMost)
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return t.clock + now.Sub(t.clockAt) + LeaseTime
}

// stop asks the worker to end a run.
func (t *Table) stop(now time.Time, r *run) {
	if r.stopFrom.IsZero() {
		r.stopFrom = now
	}
	r.stopDue = time.Time{}
	if r.phase == phaseStarting {
		// The answer to the start decides first; a stop sent now could overtake it.
		return
	}
	r.phase = phaseStopping
	t.out.Stops = append(t.out.Stops, StopCall{Worker: t.worker.ID, Task: r.task, Run: r.number, Token: t.token})
}

// repeatStops sends again the stops that had no answer.
func (t *Table) repeatStops(now time.Time) {
	for _, r := range t.order {
		if r.phase == phaseStopping && !r.stopDue.IsZero() && !now.Before(r.stopDue) {
			t.stop(now, r)
		}
	}
}

// stopOverdue reports whether a stop has been without its answer for too long.
func (t *Table) stopOverdue(now time.Time) bool {
	for _, r := range t.order {
		if r.phase != phaseStopped && !r.stopFrom.IsZero() && now.Sub(r.stopFrom) > StopGrace {
			return true
		}
	}
	return false
}
