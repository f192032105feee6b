package ccreplay

import (
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Guards against an agent whose clock was set back and whose calls carry a lower token than
// a start of its earlier incarnation that may still arrive.
func TestPriorToken(t *testing.T) {
	session := uint64(100)
	attach := func(f *fixture, incarnation ccnode.Incarnation, token uint64) {
		session++
		f.s.Attach(f.now, ccwire.Attach{Node: ccnode.Ref{ID: "agent-9", Incarnation: incarnation}, Session: session, Report: ccwire.RunReport{Token: token}})
	}
	want := func(t *testing.T, f *fixture, prior uint64) {
		t.Helper()
		if got := f.s.PriorToken("agent-9"); got != prior {
			t.Errorf("token of earlier incarnations: got %d, want %d", got, prior)
		}
	}
	t.Run("an unknown agent has none", func(t *testing.T) { want(t, newFixture(t, "north"), 0) })
	t.Run("a session opened anew has none", func(t *testing.T) {
		f := newFixture(t, "north")
		attach(f, 500, 500)
		attach(f, 500, 502)
		want(t, f, 0)
	})
	t.Run("a new incarnation learns the last one of the earlier", func(t *testing.T) {
		f := newFixture(t, "north")
		attach(f, 500, 500)
		f.s.Report(f.now, "agent-9", ccwire.RunReport{Token: 507})
		f.s.Report(f.now, "agent-9", ccwire.RunReport{})
		attach(f, 600, 600)
		want(t, f, 507)
	})
	t.Run("an incarnation after a set-back clock learns it, too", func(t *testing.T) {
		f := newFixture(t, "north")
		attach(f, 500, 507)
		attach(f, 400, 400)
		want(t, f, 507)
	})
}
