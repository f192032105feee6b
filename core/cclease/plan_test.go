package cclease

import (
	"fmt"
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccrelay"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// piecesPlan returns a plan of several pieces.
func piecesPlan(revision uint64) *ccroute.Plan {
	plan := &ccroute.Plan{Revision: revision}
	for i := range 1000 {
		plan.Routes = append(plan.Routes, ccroute.Route{Name: fmt.Sprint(revision, i*i*7919), Host: fmt.Sprint("host", i*104729%1000)})
	}
	return plan
}

// sendPiece has an entry send the piece of a plan at a position, and returns what the agent asks it for.
func (f *fixture) sendPiece(entry ccnode.Ref, plan *ccroute.Plan, at ccwire.PlanPosition) *ccwire.PlanPosition {
	f.t.Helper()
	var holder ccrelay.Holder
	piece, err := holder.Answer(plan, at)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sendOrders(entry, ccwire.Orders{PlanRevision: plan.Revision, PlanPiece: piece})
	return f.wanted(entry)
}

// wanted returns the piece that the agent asks an entry for, or nil.
func (f *fixture) wanted(entry ccnode.Ref) *ccwire.PlanPosition {
	var want *ccwire.PlanPosition
	for _, r := range f.take().Reports {
		if r.To == entry.ID && r.Report.PlanWant != nil {
			want = r.Report.PlanWant
		}
	}
	return want
}

// expectPlan sends the remaining pieces and checks the plan that the agent has in the end.
func (f *fixture) expectPlan(entry ccnode.Ref, plan *ccroute.Plan, want *ccwire.PlanPosition) {
	f.t.Helper()
	for want != nil {
		want = f.sendPiece(entry, plan, *want)
	}
	if got := f.manager.Plan(); got == nil || got.Revision != plan.Revision {
		f.t.Errorf("plan: got %v, want revision %d", got, plan.Revision)
	}
}

// Guards against a plan that is begun and never completed, when the entry that sent it is gone.
func TestBegunPlanIsContinued(t *testing.T) {
	t.Run("by another entry that has it", func(t *testing.T) {
		f := newFixture(t)
		first := f.sendPiece(entryA, piecesPlan(9), ccwire.PlanPosition{})
		f.sendPiece(entryB, piecesPlan(9), ccwire.PlanPosition{})
		f.manager.SessionClosed(entryA.ID)
		f.take()
		f.advance(pieceTimeout)
		want := f.wanted(entryB)
		if want == nil || first == nil || *want != *first {
			t.Fatalf("asked for %v, want %v", want, first)
		}
		f.expectPlan(entryB, piecesPlan(9), want)
	})
	t.Run("or makes way for an earlier one", func(t *testing.T) {
		f := newFixture(t)
		f.sendPiece(entryA, piecesPlan(9), ccwire.PlanPosition{})
		f.manager.SessionClosed(entryA.ID)
		f.expectPlan(entryB, piecesPlan(8), f.sendPiece(entryB, piecesPlan(8), ccwire.PlanPosition{}))
	})
}
