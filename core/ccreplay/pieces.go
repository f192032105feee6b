package ccreplay

import (
	"time"

	"camphorcroft/core/ccwire"
)

// addPlan adds the plan, or the piece of it that is due, to the orders for an agent.
func (s *Scheduler) addPlan(now time.Time, a *agent, orders *ccwire.Orders) {
	wanted := a.pieceWanted
	a.pieceWanted = nil
	if s.planDue(now, a) {
		a.planRevision = s.plan.Revision
		if !a.planPieces {
			orders.Plan = s.plan
			return
		}
		if wanted == nil {
			wanted = &ccwire.PlanPosition{}
		}
	}
	if wanted == nil {
		return
	}
	piece, err := s.relay.holder.Answer(s.plan, *wanted)
	if err != nil {
		s.recordChange(Change{Message: "Plan cannot be sent.", Agent: a.ref.ID, Reason: err.Error(), Count: int(s.plan.Revision)})
		return
	}
	orders.PlanPiece = piece
	s.recordChange(Change{Message: "Plan piece sent.", Agent: a.ref.ID, Count: len(piece.Data), Quiet: true})
}

// handlePieces handles a piece of a newer plan from an agent, and its request for one.
func (s *Scheduler) handlePieces(now time.Time, a *agent, report ccwire.RunReport) {
	if want := report.PlanWant; want != nil && s.plan != nil && want.Revision <= s.plan.Revision {
		a.pieceWanted = want
		s.sendNow(a)
	}
	piece := report.PlanPiece
	if piece == nil || piece.Revision <= s.planRevision() {
		return
	}
	progress, err := s.relay.assembly.Add(piece)
	if err != nil {
		s.recordChange(Change{Message: "Plan from an agent cannot be read.", Agent: a.ref.ID, Reason: err.Error(), Count: int(piece.Revision)})
		return
	}
	if !progress {
		return
	}
	if plan := s.relay.assembly.Plan(); plan.Newer(s.plan) {
		s.recordChange(Change{Message: "Plan received from an agent.", Agent: a.ref.ID, Count: int(plan.Revision)})
		s.setPlan(now, plan)
		return
	}
	s.relay.askedAt = now
	position := s.relay.assembly.Position()
	a.orders.PlanWant = &position
	s.sendNow(a)
}
