package ccreplay

import (
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
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

// Guards against a run that counts as over because a new incarnation of its agent has seen no
// run, while the worker still accepts its start: the list was requested under a lower token.
func TestListUnderALowTokenSettlesNothing(t *testing.T) {
	f := newFixture(t, "north")
	attach := func(incarnation ccnode.Incarnation, token uint64) {
		f.session++
		f.s.Attach(f.now, ccwire.Attach{
			Node: ccnode.Ref{ID: "agent-1", Incarnation: incarnation}, Session: f.session,
			Report: ccwire.RunReport{Token: token, PriorRunsEnded: true, ClosedReason: "test"},
		})
	}
	f.s.Report(f.now, "agent-1", ccwire.RunReport{Token: 1000, Free: ccresource.Amount{CPU: 4000}})
	f.submit("j1", 1)
	f.wantStarts(f.take(), 1)
	attach(2, 500)
	if n := f.s.jobs["j1"].placed; n != 1 {
		t.Fatalf("placed runs after a request under token 500: got %d, want 1", n)
	}
	f.s.Report(f.now, "agent-1", ccwire.RunReport{Token: 2000, ClosedReason: "test"})
	if n := f.s.jobs["j1"].placed; n != 1 {
		t.Errorf("placed runs before the agent has listed under token 2000: got %d, want 1", n)
	}
	f.s.Report(f.now, "agent-1", ccwire.RunReport{PriorRunsEnded: true, ClosedReason: "test"})
	if n := f.s.jobs["j1"].placed; n != 0 {
		t.Errorf("placed runs after the agent has listed under token 2000: got %d, want 0", n)
	}
}
