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

// fleet has the quorums of entries that share a roster and last saw the store at start.
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

// ask makes entry a request consent from the peers.
func (f fleet) ask(now time.Time, peers ...string) {
	for _, peer := range peers {
		f["a"].ReplyReceived(now, f[peer].HandleRequest(now, f["a"].NewRequest(now, nil)))
	}
}

func assertValidUntil(t *testing.T, quorum *ccoutage.Quorum, want time.Time) {
	t.Helper()
	if got := quorum.ValidUntil(); !got.Equal(want) {
		t.Errorf("valid until %s after the start, want %s", got.Sub(start), want.Sub(start))
	}
}

func TestValidUntil(t *testing.T) {
	later := start.Add(5 * time.Second)
	leaseEnd := start.Add(3 * time.Second)

	t.Run("a majority that can't reach the store continues for ConsentTTL", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.ask(later, "b")
		assertValidUntil(t, f["a"], later.Add(time.Second))
		for at, want := range map[time.Time]bool{start: false, later: true, later.Add(time.Second): false} {
			if got := f["a"].OnConsent(at); got != want {
				t.Errorf("after %s: OnConsent is %t", at.Sub(start), got)
			}
		}
	})
	t.Run("validity ends when the first of the needed consents expires", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e")
		f.ask(later, "b")
		assertValidUntil(t, f["a"], leaseEnd)
		f.ask(later.Add(100*time.Millisecond), "c")
		assertValidUntil(t, f["a"], later.Add(time.Second))
	})
	t.Run("no validity by consent while a peer sees the store", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f["c"].StoreSeen(later)
		f.ask(later, "c", "b")
		assertValidUntil(t, f["a"], leaseEnd)
	})
	t.Run("a single entry stops with its lease", func(t *testing.T) {
		f := newFleet("a")
		f.ask(later, "a")
		assertValidUntil(t, f["a"], leaseEnd)
	})
	t.Run("a peer with a different roster doesn't count", func(t *testing.T) {
		f := newFleet("a", "b")
		f["b"].RosterChanged(ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).
			With(ccroster.Member{Ref: ref("b")}).With(ccroster.Member{Ref: ref("c")}))
		f.ask(later, "b")
		assertValidUntil(t, f["a"], leaseEnd)
	})
}

// removal makes entry b request the removal of a from the peers.
func (f fleet) removal(now time.Time, peers ...string) *ccoutage.Removal {
	removal := ccoutage.NewRemoval(f["b"], ref("a"))
	message := f["b"].NewRequest(now, []ccnode.Ref{ref("a")})
	for _, peer := range peers {
		removal.ReplyReceived(f[peer].HandleRequest(now, message))
	}
	return removal
}

func assertAllowed(t *testing.T, removal *ccoutage.Removal, now time.Time, want bool) {
	t.Helper()
	if got := removal.Allowed(now); got != want {
		t.Errorf("removal allowed %s after the start: %t", now.Sub(start), got)
	}
}

func TestRemoval(t *testing.T) {
	later := start.Add(5 * time.Second)
	after := later.Add(time.Second)

	t.Run("needs enough deniers to rule out a majority, and a wait", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later, "c")
		assertAllowed(t, removal, later, false)
		assertAllowed(t, removal, after, true)
		f.ask(after, "c", "b")
		assertValidUntil(t, f["a"], start.Add(3*time.Second))
	})
	t.Run("a single denier of three members is not enough", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		assertAllowed(t, removal, later, false)
		assertAllowed(t, removal, after, false)
	})
	t.Run("a dead target needs no wait", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		f["b"].ConnectionRefused(ref("a"))
		assertAllowed(t, removal, later, true)
	})
	t.Run("a refused connection to an entry never heard from counts once its lease has ended", func(t *testing.T) {
		roster := ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).With(ccroster.Member{Ref: ref("b")})
		quorum := ccoutage.NewQuorum(ccoutage.Config{Self: ref("b"), StoreSeenTTL: time.Second, ConsentTTL: time.Second})
		membership := ccoutage.NewMembership(quorum, ccroster.Member{Ref: ref("b")})
		quorum.RosterChanged(roster)
		quorum.ConnectionRefused(ref("a"))
		view := ccoutage.View{Roster: roster, HoldsKey: true, Live: map[ccnode.ID]ccnode.Ref{"a": ref("a"), "b": ref("b")}}
		if decision := membership.Evaluate(later, view); decision.NextRoster != nil {
			t.Error("removes an entry whose lease is still valid")
		}
		delete(view.Live, "a")
		if decision := membership.Evaluate(later, view); decision.NextRoster == nil || decision.NextRoster.Has(ref("a")) {
			t.Errorf("does not remove a dead entry: %+v", decision)
		}
	})
	t.Run("a dead member counts as a denier", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later)
		f["b"].ConnectionRefused(ref("c"))
		assertAllowed(t, removal, later, false)
		assertAllowed(t, removal, after, true)
	})
	t.Run("a later incarnation proves the earlier one dead", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f["b"].EpochReported(ccnode.Ref{ID: "c", Incarnation: 2}, 3)
		removal := f.removal(later)
		assertAllowed(t, removal, later, false)
		assertAllowed(t, removal, after, true)
	})
	t.Run("waits until a majority uses the roster", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		roster := ccroster.Bootstrap(ccroster.Member{Ref: ref("a")})
		for _, id := range []string{"b", "c", "d", "e"} {
			roster = roster.With(ccroster.Member{Ref: ref(id)})
		}
		f["b"].RosterChanged(roster)
		if f["b"].RosterAdopted() {
			t.Error("roster adopted before any other member reported it")
		}
		f["b"].EpochReported(ref("d"), roster.Epoch)
		f["b"].EpochReported(ref("e"), roster.Epoch)
		if !f["b"].RosterAdopted() {
			t.Error("roster not adopted by three of five members")
		}
	})
	t.Run("a removal ends with its roster", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		removal := f.removal(later, "c")
		assertAllowed(t, removal, later, false)
		f["b"].RosterChanged(ccroster.Bootstrap(ccroster.Member{Ref: ref("a")}).
			With(ccroster.Member{Ref: ref("b")}).With(ccroster.Member{Ref: ref("c")}).Renewed())
		assertAllowed(t, removal, after, false)
	})
}
