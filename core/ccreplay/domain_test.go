package ccreplay

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// toldDomains returns what agents are told of their domains.
func toldDomains(out Actions) map[ccnode.ID]ccwire.DomainState {
	told := map[ccnode.ID]ccwire.DomainState{}
	for _, m := range out.Messages {
		if m.Orders.Domain != nil {
			told[m.To] = *m.Orders.Domain
		}
	}
	return told
}

// Guards against agents that start tasks in a domain that is out, or keep it closed after it is back,
// because nobody has told them.
func TestAgentsAreToldOfTheirDomain(t *testing.T) {
	plan := func(revision uint64, out ...string) *ccroute.Plan {
		p := &ccroute.Plan{Revision: revision, DomainsOut: map[string]bool{}}
		for _, domain := range out {
			p.DomainsOut[domain] = true
		}
		return p
	}
	want := func(t *testing.T, got map[ccnode.ID]ccwire.DomainState, id ccnode.ID, out bool, revision uint64) {
		t.Helper()
		if state, found := got[id]; !found || len(got) != 1 || state.Out != out || state.Revision != revision {
			t.Errorf("told: got %v, want that the domain of %s alone is out: %v, by plan %d", got, id, out, revision)
		}
	}
	newTwo := func(t *testing.T) *fixture {
		f := newFixture(t, "north", "south")
		f.advance(10 * time.Millisecond)
		if told := toldDomains(f.take()); len(told) != 0 {
			t.Fatalf("told while no domain is out: %v", told)
		}
		return f
	}
	t.Run("each plan by which it is out", func(t *testing.T) {
		f := newTwo(t)
		for revision := uint64(5); revision < 8; revision++ {
			f.s.SetPlan(f.now, plan(revision, "south"))
			f.advance(10 * time.Millisecond)
			want(t, toldDomains(f.take()), "agent-2", true, revision)
			f.advance(time.Second / 2)
			if told := toldDomains(f.take()); len(told) != 0 {
				t.Errorf("told again: %v", told)
			}
		}
	})
	t.Run("in each session", func(t *testing.T) {
		f := newTwo(t)
		f.s.SetPlan(f.now, plan(5, "south"))
		f.advance(10 * time.Millisecond)
		f.take()
		f.attach("agent-2", 1, "south")
		want(t, toldDomains(f.take()), "agent-2", true, 5)
	})
	t.Run("that it is back, if it counts it as out by an older plan", func(t *testing.T) {
		f := newTwo(t)
		f.s.SetPlan(f.now, plan(5))
		f.s.Report(f.now, "agent-2", ccwire.RunReport{DomainOutRevision: 4, ClosedReason: "domain is out"})
		want(t, toldDomains(f.take()), "agent-2", false, 5)
		f.s.Report(f.now, "agent-2", ccwire.RunReport{DomainOutRevision: 4, ClosedReason: "domain is out"})
		if told := toldDomains(f.take()); len(told) != 0 {
			t.Errorf("told again: %v", told)
		}
	})
	t.Run("nothing, if it counts it as out by a newer plan", func(t *testing.T) {
		f := newTwo(t)
		f.s.SetPlan(f.now, plan(5))
		f.s.Report(f.now, "agent-2", ccwire.RunReport{DomainOutRevision: 6, ClosedReason: "domain is out"})
		if told := toldDomains(f.take()); len(told) != 0 {
			t.Errorf("told: %v", told)
		}
	})
}
