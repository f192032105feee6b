package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// OrdersReceived processes orders that an entry sent in its current session.
func (m *Manager) OrdersReceived(now time.Time, entry ccnode.ID, orders ccwire.Orders) {
	o := m.owners[entry]
	if o == nil || !o.connected {
		return
	}
	o.lastMessage = now
	if heard := m.cfg.StartTime.Add(time.Duration(orders.EchoMS) * time.Millisecond); heard.After(o.lastHeard) {
		o.lastHeard = heard
	}
	if orders.CapacityIntervalMS > 0 {
		o.capacityInterval = time.Duration(orders.CapacityIntervalMS) * time.Millisecond
	}
	m.updatePlan(now, o, orders)
	m.updateDomain(now, entry, orders.Domain)
	for _, stop := range orders.Stops {
		if r := m.runs[stop.Task]; r != nil && r.owner == o.ref && r.order == stop.Order && r.stopRequestedAt.IsZero() {
			m.stopRun(now, r)
		}
	}
	for _, order := range orders.Starts {
		if order.Order <= o.lastOrder {
			m.actions.Changes = append(m.actions.Changes, Change{Message: "Repeated order ignored.", Entry: entry, Order: order.Order})
			continue
		}
		o.lastOrder = order.Order
		m.handleStart(now, o, order)
	}
	m.setDemand(now, o, orders.Demand)
	m.setSummary(now, o, orders)
	o.handledSequence = orders.Sequence
	m.poll(now)
	m.sendDueReports(now)
}

func (m *Manager) updatePlan(now time.Time, o *owner, orders ccwire.Orders) {
	if orders.WantPlan && m.plan != nil && m.plan.Revision > orders.PlanRevision {
		o.wantsPlan, o.reportNow = true, true
	}
	if orders.PlanWant != nil && m.plan != nil && m.plan.Revision > orders.PlanRevision {
		o.pieceWanted, o.reportNow = orders.PlanWant, true
	}
	if orders.PlanPiece != nil {
		m.handlePiece(now, o, orders.PlanPiece)
	}
	if orders.Plan.Newer(m.plan) {
		m.setPlan(now, o, orders.Plan)
	}
}

// setPlan adopts a newer plan.
func (m *Manager) setPlan(now time.Time, o *owner, plan *ccroute.Plan) {
	m.plan = plan
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Plan received.", Entry: o.ref.ID, Count: int(m.plan.Revision)})
	// Entries that can't reach the store learn from the next report that they can ask for
	// the plan here.
	m.reportAll(now)
}

// handleStart accepts or refuses a start order.
func (m *Manager) handleStart(now time.Time, o *owner, order ccwire.StartOrder) {
	if age := now.Sub(o.lastHeard); age > OwnerTimeout {
		m.refuseOrder(now, o.ref, order, ccwire.RunRefused, "echo is old")
		return
	}
	if reason := m.closedReasonFor(now, o); reason != "" {
		m.refuseOrder(now, o.ref, order, ccwire.RunRefused, reason)
		return
	}
	if reason := m.otherWorkerReason(order.Worker); reason != "" {
		m.refuseOrder(now, o.ref, order, ccwire.RunOtherWorker, reason)
		return
	}
	if r := m.runs[order.Task]; r != nil {
		// A run of the same task by another owner must end first.
		if r.stopRequestedAt.IsZero() && r.owner != o.ref {
			m.stopRun(now, r)
		}
		m.refuseOrder(now, o.ref, order, ccwire.RunRefused, "an earlier run is not over")
		return
	}
	if !m.canRenewLease(now) && m.leaseGranted <= m.workerTime(now) {
		m.refuseOrder(now, o.ref, order, ccwire.RunRefused, "lease is over and can't be renewed")
		return
	}
	if !order.Need.Fits(m.freeFor(now, o)) {
		m.refuseOrder(now, o.ref, order, ccwire.RunNoCapacity, "no room in the agent's ledger")
		return
	}
	m.acceptOrder(now, o, order)
}

// refuseOrder returns an order to its entry.
func (m *Manager) refuseOrder(now time.Time, entry ccnode.Ref, order ccwire.StartOrder, end ccwire.RunOutcome, reason string) {
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Order refused.", Entry: entry.ID, Task: order.Task, Reason: reason, End: end, Order: order.Order})
	m.queueEnd(now, entry, ccwire.RunResult{Task: order.Task, Order: order.Order, Outcome: end, Reason: reason}, true)
}

// acceptOrder reserves capacity for an order and sends the start to the worker.
func (m *Manager) acceptOrder(now time.Time, o *owner, order ccwire.StartOrder) {
	r := &run{
		task: order.Task, number: m.runNumbers[order.Task].number + 1, order: order.Order,
		owner: o.ref, need: order.Need, payload: order.Payload, started: now,
		estimate: time.Duration(order.EstimateMS) * time.Millisecond, class: order.Class, crashes: order.Crashes, worker: order.Worker,
	}
	o.useOffer(order.Need)
	m.addRun(r)
	m.sendStart(now, r)
}

// addRun adds a run and reserves its capacity until endRun.
func (m *Manager) addRun(r *run) {
	m.runs[r.task] = r
	m.runList = append(m.runList, r)
	m.reserved = m.reserved.Plus(r.need)
}

func (m *Manager) sendStart(now time.Time, r *run) {
	r.phase = phaseStarting
	m.runNumbers[r.task] = lastRunNumber{number: r.number, at: now}
	m.actions.Starts = append(m.actions.Starts, m.starts.add(now, StartCall{
		Worker: m.worker.ID, Incarnation: m.worker.StartTime, Task: r.task, Run: r.number, Payload: r.payload, Token: m.token, LeaseEnd: m.startLease(now), Sent: now,
	}))
}

// stopRun asks the worker to stop a run.
func (m *Manager) stopRun(now time.Time, r *run) {
	if r.stopRequestedAt.IsZero() {
		due := m.stopDue(r)
		if due.IsZero() || due.After(now) {
			due = now
		}
		r.stopRequestedAt, r.stopDueAt = now, due
	}
	r.stopRetryAt = time.Time{}
	if r.phase == phaseStarting {
		// Wait for the response to the start: a stop sent now could overtake the start.
		return
	}
	r.phase = phaseStopping
	m.actions.Stops = append(m.actions.Stops, StopCall{Worker: m.worker.ID, Task: r.task, Run: r.number, Token: m.token, Sent: now})
}

// retryStops repeats the stops that the worker has not confirmed.
func (m *Manager) retryStops(now time.Time) {
	for _, r := range m.runList {
		if r.phase == phaseStopping && !r.stopRetryAt.IsZero() && !now.Before(r.stopRetryAt) {
			m.stopRun(now, r)
		}
	}
}
