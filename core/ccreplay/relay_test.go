package ccreplay

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
)

// planCopies returns how many of the messages carry a plan.
func planCopies(out Actions) int {
	n := 0
	for _, m := range out.Messages {
		if m.Orders.Plan != nil {
			n++
		}
	}
	return n
}

// requestsForPlan returns the agents that are asked for their plan.
func requestsForPlan(out Actions) []ccnode.ID {
	var asked []ccnode.ID
	for _, m := range out.Messages {
		if m.Orders.WantPlan {
			asked = append(asked, m.To)
		}
	}
	return asked
}

func TestPlanCopiesDoNotGrowWithTheFleet(t *testing.T) {
	f := newFixture(t, make([]string, 240)...)
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2})
	copies := 0
	for range 100 {
		f.advance(10 * time.Millisecond)
		copies += planCopies(f.take())
	}
	if copies != relayCount {
		t.Errorf("copies of a new plan to 240 agents: got %d, want %d", copies, relayCount)
	}
}

func TestPlanOfAnEntryWithoutTheStore(t *testing.T) {
	newer := func(f *fixture, id ccnode.ID, plan *ccroute.Plan) {
		f.s.Report(f.now, id, ccwire.RunReport{PlanRevision: 2, Plan: plan})
	}
	t.Run("is asked of one agent that has it, and adopted", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		newer(f, "agent-2", nil)
		f.advance(planRequestDelay)
		if asked := requestsForPlan(f.take()); !slices.Equal(asked, []ccnode.ID{"agent-2"}) {
			t.Fatalf("asked: got %v, want agent-2", asked)
		}
		newer(f, "agent-2", &ccroute.Plan{Revision: 2})
		if got := f.s.Plan().Revision; got != 2 {
			t.Errorf("plan: got revision %d, want 2", got)
		}
	})
	t.Run("is asked of another agent if there is no answer", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		newer(f, "agent-1", nil)
		newer(f, "agent-3", nil)
		f.advance(planRequestDelay)
		first := requestsForPlan(f.take())
		f.advance(planRequestRetry)
		if second := requestsForPlan(f.take()); len(first) != 1 || len(second) != 1 || first[0] == second[0] {
			t.Errorf("asked: got %v and then %v, want two agents", first, second)
		}
	})
	// Guards against a 404 for a route that was added by a version that the entry has heard
	// of but can get from no one.
	t.Run("is missed for as long as a later version is known", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2, PlanVersion: 7})
		f.s.Detach(f.now, "agent-1")
		f.advance(planRequestDelay)
		if !f.s.PlanBehind() {
			t.Error("the later version was forgotten with the agent that had it")
		}
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2, Version: 7})
		if f.s.PlanBehind() {
			t.Error("the plan in force is taken for an old one")
		}
	})
	t.Run("that differs in its revision only is not missed", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2})
		if f.s.PlanBehind() {
			t.Error("the plan in force is taken for an old one")
		}
	})
	t.Run("is not asked for if the store has it in time", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		newer(f, "agent-1", nil)
		f.advance(planRequestDelay / 2)
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2})
		for range 100 {
			f.advance(10 * time.Millisecond)
			if asked := requestsForPlan(f.take()); len(asked) != 0 {
				t.Fatalf("asked: got %v, want none", asked)
			}
		}
	})
}

// Guards against an entry that starts again while it can't reach the store, and takes a plan from before
// an evacuation though another agent has a later one.
func TestNewestPlanIsAskedForFirst(t *testing.T) {
	f := newFixture(t, "north", "north", "north", "north")
	for id, revision := range map[ccnode.ID]uint64{"agent-1": 2, "agent-2": 3, "agent-3": 5, "agent-4": 4} {
		f.s.Report(f.now, id, ccwire.RunReport{PlanRevision: revision})
	}
	f.advance(planRequestDelay)
	if asked := requestsForPlan(f.take()); !slices.Equal(asked, []ccnode.ID{"agent-3"}) {
		t.Errorf("asked: got %v, want agent-3", asked)
	}
	f.advance(planRequestRetry)
	if asked := requestsForPlan(f.take()); !slices.Equal(asked, []ccnode.ID{"agent-4"}) {
		t.Errorf("asked without an answer: got %v, want agent-4", asked)
	}
}

func TestEntriesAreSentAsChanges(t *testing.T) {
	entry := func(n int) ccsubset.Entry {
		return ccsubset.Entry{Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7720", n)), Domain: "north"}
	}
	f := newFixture(t)
	f.s.SetEntries([]ccsubset.Entry{entry(1), entry(2)})
	f.attach("agent-1", 1, "north")
	if got := f.take().Messages[0].Orders.Entries; len(got) != 2 {
		t.Fatalf("first message: got %v, want both entries", got)
	}
	f.s.SetEntries([]ccsubset.Entry{entry(2), entry(3)})
	f.advance(idleHeartbeatInterval)
	got := f.take().Messages[0].Orders
	if len(got.Entries) != 0 || !slices.Equal(got.EntriesJoined, []ccsubset.Entry{entry(3)}) || !slices.Equal(got.EntriesLeft, []netip.AddrPort{entry(1).Addr}) {
		t.Errorf("changes: got %v, %v and %v, want entry 3 joined and entry 1 left", got.Entries, got.EntriesJoined, got.EntriesLeft)
	}
	t.Run("an agent that knows the entries is not sent them", func(t *testing.T) {
		f.session++
		f.s.Attach(f.now, ccwire.Attach{
			Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Session: f.session, EntriesDigest: ccsubset.Digest([]ccsubset.Entry{entry(3), entry(2)}),
		})
		if got := f.take().Messages[0].Orders; len(got.Entries) != 0 || len(got.EntriesJoined) != 0 {
			t.Errorf("entries: got %v and %v, want none", got.Entries, got.EntriesJoined)
		}
	})
}
