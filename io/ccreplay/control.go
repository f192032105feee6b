package ccreplay

import (
	"time"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// offerPlan passes a plan to the control goroutine, ahead of the queued events: an entry
// that is late with those must still route by the newest plan. It drops the plan if the
// entry is closed.
func (e *Entry) offerPlan(plan *ccroute.Plan) {
	select {
	case e.plans <- plan:
	case <-e.ctx.Done():
	}
}

// applyPlan adopts a plan that was offered.
func (e *Entry) applyPlan(plan *ccroute.Plan) {
	now := time.Now()
	e.detectSuspension(now)
	e.scheduler.SetPlan(now, plan)
	e.performActions(now)
}

// detectSuspension tells the scheduler of a suspension of the host before the first event
// after it. Timers may come later.
func (e *Entry) detectSuspension(now time.Time) {
	if e.suspend.ResumedAt(now) {
		e.scheduler.Resumed(now)
	}
}

// control processes plans, events and timer ticks until the entry is closed.
func (e *Entry) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case plan := <-e.plans:
			e.applyPlan(plan)
			continue
		default:
		}
		var now time.Time
		select {
		case plan := <-e.plans:
			e.applyPlan(plan)
			continue
		case event := <-e.events:
			now = time.Now()
			e.detectSuspension(now)
			event(now)
		case <-ticker.C:
			now = time.Now()
			if e.suspend.Resumed() {
				e.scheduler.Resumed(now)
			}
			e.scheduler.Tick(now)
			e.usableAgents.Store(int64(e.scheduler.UsableAgents(now)))
			e.overloaded.Store(e.scheduler.Overloaded())
			e.lateness.Store(int64(e.scheduler.Lateness()))
			reported, behind := e.scheduler.PlanLag(now)
			e.planReported.Store(reported)
			e.planBehind.Store(int64(behind))
			e.tickPeers(now)
			e.recordReadiness()
		case <-e.ctx.Done():
			for _, s := range e.sessions {
				s.conn.Close()
			}
			for _, l := range e.peers {
				l.conn.Close()
			}
			return
		}
		e.performActions(now)
	}
}

// performActions carries out the actions that the scheduler has queued.
func (e *Entry) performActions(now time.Time) {
	out := e.scheduler.Take(now)
	e.outdated.Store(e.scheduler.PlanBehind())
	if plan := e.scheduler.Plan(); plan != nil && plan != e.plan.Load() {
		e.plan.Store(plan)
		e.planAppliedAt = now
	}
	for _, c := range out.Changes {
		e.recordChange(c)
	}
	for _, message := range out.Messages {
		if s := e.sessions[message.To]; s != nil {
			message.Orders.OmitPayloads()
			s.conn.Send(ccwire.MessageOrders, message.Orders)
		}
	}
	for _, answer := range out.Answers {
		e.recordAnswer(answer)
		if p := e.pending[answer.Token]; p.answered != nil {
			delete(e.pending, answer.Token)
			p.answered <- answer
		}
	}
	for _, m := range out.PeerMessages {
		if l, ok := e.peers[m.Link]; ok {
			l.conn.Send(m.Kind, m.Body)
		}
	}
	for _, id := range out.ClosePeers {
		if l, ok := e.peers[id]; ok {
			delete(e.peers, id)
			l.conn.Close()
		}
	}
	for _, id := range out.CloseSessions {
		if s := e.sessions[id]; s != nil {
			delete(e.sessions, id)
			s.conn.Close()
		}
	}
}
