package ccoutage_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func ref(id string) ccnode.Ref { return ccnode.Ref{ID: ccnode.ID(id), Incarnation: 1} }

// fleet is entries that share a roster and last saw the store at start.
type fleet map[string]*ccoutage.Quorum

func newFleet(ids ...string) fleet {
	roster := ccroster.Bootstrap(ccroster.Member{Ref: ref(ids[0])})
	for _, id := range ids[1:] {
		roster = roster.With(ccroster.Member{Ref: ref(id)})
	}
	f := fleet{}
	for _, id := range ids {
		f[id] = ccoutage.NewQuorum(ccoutage.Config{
			Self: ref(id), StoreSeenTTL: time.Second, ConsentTTL: time.Second,
		})
		f[id].RosterChanged(roster)
		f[id].StoreSeen(start)
		f[id].LeaseRenewed(start.Add(3 * time.Second))
	}
	for _, id := range ids {
		for _, peer := range ids {
			f[id].EpochReported(ref(peer), roster.Epoch)
		}
	}
	return f
}

// ask has a ask the peers whether it may go on.
func (f fleet) ask(now time.Time, peers ...string) {
	for _, peer := range peers {
		f["a"].ReplyReceived(now, f[peer].HandleRequest(now, f["a"].NewRequest(now, nil)))
	}
}

func assertUntil(t *testing.T, rule *ccoutage.Quorum, want time.Time) {
	t.Helper()
	if got := rule.ValidUntil(); !got.Equal(want) {
		t.Errorf("valid until %s, want %s", got.Sub(start), want.Sub(start))
	}
}

func TestGoingOn(t *testing.T) {
	later := start.Add(5 * time.Second)
	leaseEnd := start.Add(3 * time.Second)

	t.Run("a majority that sees no store goes on for the life of its consent", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.ask(later, "b")
		assertUntil(t, f["a"], later.Add(time.Second))
		for at, want := range map[time.Time]bool{start: false, later: true, later.Add(time.Second): false} {
			if got := f["a"].OnConsent(at); got != want {
				t.Errorf("after %s: on consent alone is %t", at.Sub(start), got)
			}
		}
	})
	t.Run("the last consent of the majority counts", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e")
		f.ask(later, "b")
		assertUntil(t, f["a"], leaseEnd)
		f.ask(later.Add(100*time.Millisecond), "c")
		assertUntil(t, f["a"], later.Add(time.Second))
	})
	t.Run("a peer that sees the store ends it", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f["c"].StoreSeen(later)
		f.ask(later, "c", "b")
		assertUntil(t, f["a"], leaseEnd)
	})
	t.Run("an entry alone stops", func(t *testing.T) {
		f := newFleet("a")
		f.ask(later, "a")
		assertUntil(t, f["a"], leaseEnd)
	})
	t.Run("a peer with another roster doesn't count", func(t *testing.T) {
		f := newFleet("a", "b")
		f["b"].RosterChanged(ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).
			With(ccroster.Member{Ref: ref("b")}).With(ccroster.Member{Ref: ref("c")}))
		f.ask(later, "b")
		assertUntil(t, f["a"], leaseEnd)
	})
}

// removal has b ask the peers to withhold consent from a.
func (f fleet) removal(now time.Time, peers ...string) *ccoutage.Removal {
	removal := ccoutage.NewRemoval(f["b"], ref("a"))
	message := f["b"].NewRequest(now, []ccnode.Ref{ref("a")})
	for _, peer := range peers {
		removal.ReplyReceived(f[peer].HandleRequest(now, message))
	}
	return removal
}

func assertMay(t *testing.T, removal *ccoutage.Removal, now time.Time, want bool) {
	t.Helper()
	if got := removal.Allowed(now); got != want {
		t.Errorf("may remove at %s: %t", now.Sub(start), got)
	}
}

func TestRemoval(t *testing.T) {
	later := start.Add(5 * time.Second)
	after := later.Add(time.Second)

	t.Run("needs so many deniers that no majority is left, and a wait", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later, "c")
		assertMay(t, removal, later, false)
		assertMay(t, removal, after, true)
		f.ask(after, "c", "b")
		assertUntil(t, f["a"], start.Add(3*time.Second))
	})
	t.Run("one of three is not enough", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		assertMay(t, removal, later, false)
		assertMay(t, removal, after, false)
	})
	t.Run("a dead target needs no wait", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		f["b"].ConnectionRefused(ref("a"))
		assertMay(t, removal, later, true)
	})
	t.Run("a refusal by somebody never heard counts once its lease has ended", func(t *testing.T) {
		roster := ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).With(ccroster.Member{Ref: ref("b")})
		rule := ccoutage.NewQuorum(ccoutage.Config{Self: ref("b"), StoreSeenTTL: time.Second, ConsentTTL: time.Second})
		membership := ccoutage.NewMembership(rule, ccroster.Member{Ref: ref("b")})
		rule.RosterChanged(roster)
		rule.ConnectionRefused(ref("a"))
		view := ccoutage.View{Roster: roster, HoldsKey: true, Live: map[ccnode.ID]ccnode.Ref{"a": ref("a"), "b": ref("b")}}
		if decision := membership.Evaluate(later, view); decision.NextRoster != nil {
			t.Error("removes an entry whose lease holds")
		}
		delete(view.Live, "a")
		if decision := membership.Evaluate(later, view); decision.NextRoster == nil || decision.NextRoster.Has(ref("a")) {
			t.Errorf("keeps a dead entry: %+v", decision)
		}
	})
	t.Run("the dead deny", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		f["b"].ConnectionRefused(ref("c"))
		assertMay(t, removal, later, false)
		assertMay(t, removal, after, true)
	})
	t.Run("a later life proves the earlier dead", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f["b"].EpochReported(ccnode.Ref{ID: "c", Incarnation: 2}, 3)
		removal := f.removal(later)
		assertMay(t, removal, later, false)
		assertMay(t, removal, after, true)
	})
	t.Run("waits until a majority uses the roster", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		roster := ccroster.Bootstrap(ccroster.Member{Ref: ref("a")})
		for _, id := range []string{"b", "c", "d", "e"} {
			roster = roster.With(ccroster.Member{Ref: ref(id)})
		}
		f["b"].RosterChanged(roster)
		if f["b"].RosterAdopted() {
			t.Error("settled before anybody told that it uses the roster")
		}
		f["b"].EpochReported(ref("d"), roster.Epoch)
		f["b"].EpochReported(ref("e"), roster.Epoch)
		if !f["b"].RosterAdopted() {
			t.Error("three of five are no majority")
		}
	})
	t.Run("ends with its roster", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later, "c")
		assertMay(t, removal, later, false)
		f["b"].RosterChanged(ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).
			With(ccroster.Member{Ref: ref("b")}).With(ccroster.Member{Ref: ref("c")}).Renewed())
		assertMay(t, removal, after, false)
	})
}
