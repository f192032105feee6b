package ccrelay_test

import (
	"reflect"
	"testing"

	"camphorcroft/core/ccrelay"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// piece returns the piece of a plan at a position.
func piece(t *testing.T, plan *ccroute.Plan, position ccwire.PlanPosition) *ccwire.PlanPiece {
	t.Helper()
	var holder ccrelay.Holder
	p, err := holder.Answer(plan, position)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// add adds a piece that must bring the assembly further, or must not.
func add(t *testing.T, a *ccrelay.Assembly, p *ccwire.PlanPiece, want bool) {
	t.Helper()
	if progress, err := a.Add(p); progress != want || err != nil {
		t.Fatalf("piece of plan %d at %d: got progress %v, %v", p.Revision, p.Offset, progress, err)
	}
}

// complete asks for the remaining pieces.
func complete(t *testing.T, a *ccrelay.Assembly, plan *ccroute.Plan) {
	t.Helper()
	for a.Plan() == nil {
		add(t, a, piece(t, plan, a.Position()), true)
	}
}

// Guards against a plan that is put together wrongly, or begun anew for each holder.
func TestAssembly(t *testing.T) {
	plan := largePlan(7, 100, 100)
	plan.DomainsOut = map[string]bool{"north": true, "south": true}
	t.Run("pieces of two holders make the plan", func(t *testing.T) {
		var a ccrelay.Assembly
		add(t, &a, piece(t, plan, ccwire.PlanPosition{}), true)
		complete(t, &a, plan)
		if !reflect.DeepEqual(a.Plan(), plan) {
			t.Error("the plan differs")
		}
	})
	t.Run("a repeated piece changes nothing", func(t *testing.T) {
		var a ccrelay.Assembly
		first := piece(t, plan, ccwire.PlanPosition{})
		add(t, &a, first, true)
		add(t, &a, first, false)
		complete(t, &a, plan)
	})
	t.Run("a later plan replaces an earlier one, and not the other way", func(t *testing.T) {
		var a ccrelay.Assembly
		later := largePlan(8, 100, 100)
		add(t, &a, piece(t, plan, ccwire.PlanPosition{}), true)
		add(t, &a, piece(t, later, ccwire.PlanPosition{}), true)
		add(t, &a, piece(t, plan, ccwire.PlanPosition{}), false)
		complete(t, &a, later)
	})
	t.Run("pieces that make no sense", func(t *testing.T) {
		var a ccrelay.Assembly
		for _, size := range []int{0, -1, 1 << 30} {
			if _, err := a.Add(&ccwire.PlanPiece{PlanPosition: ccwire.PlanPosition{Revision: 9}, Size: size, Data: []byte{1}}); err == nil {
				t.Errorf("size %d: got no error", size)
			}
		}
		if _, err := a.Add(&ccwire.PlanPiece{PlanPosition: ccwire.PlanPosition{Revision: 9, Sum: 1}, Size: 1, Data: []byte{1}}); err == nil || a.Revision() != 0 {
			t.Errorf("wrong sum: got %v, and revision %d is kept", err, a.Revision())
		}
	})
}
