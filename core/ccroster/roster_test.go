package ccroster_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

func member(id string, incarnation uint64) ccroster.Member {
	return ccroster.Member{
		Ref:  ccnode.Ref{ID: ccnode.ID(id), Incarnation: ccnode.Incarnation(incarnation)},
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "north",
	}
}

// authorities returns the ID of the authority of each slot.
func authorities(roster *ccroster.Roster) map[int]ccnode.ID {
	bySlot := map[int]ccnode.ID{}
	for slot := range ccroster.SlotCount {
		if owner, ok := roster.Authority(slot); ok {
			bySlot[slot] = owner.Ref.ID
		}
	}
	return bySlot
}

// assertOnlyMemberMoves checks that slots move only to or from the member.
func assertOnlyMemberMoves(t *testing.T, before, after *ccroster.Roster, id ccnode.ID) {
	t.Helper()
	was, is := authorities(before), authorities(after)
	for slot := range ccroster.SlotCount {
		if was[slot] != is[slot] && was[slot] != id && is[slot] != id {
			t.Errorf("slot %d moved from %s to %s", slot, was[slot], is[slot])
		}
	}
}

func TestAuthority(t *testing.T) {
	three := ccroster.Bootstrap(member("a", 1)).With(member("b", 1)).With(member("c", 1))

	t.Run("members get about equal numbers of slots", func(t *testing.T) {
		counts := map[ccnode.ID]int{}
		for _, id := range authorities(three) {
			counts[id]++
		}
		for _, id := range []ccnode.ID{"a", "b", "c"} {
			if counts[id] < ccroster.SlotCount/6 {
				t.Errorf("%s has %d slots", id, counts[id])
			}
		}
	})
	t.Run("a member that joins or leaves moves only its own slots", func(t *testing.T) {
		assertOnlyMemberMoves(t, three, three.With(member("d", 1)), "d")
		assertOnlyMemberMoves(t, three, three.Without(member("b", 1).Ref), "b")
		assertOnlyMemberMoves(t, three, three.WithLeaving(member("b", 1).Ref), "b")
	})
	t.Run("a later incarnation gets the same slots", func(t *testing.T) {
		if fmt.Sprint(authorities(three)) != fmt.Sprint(authorities(three.With(member("b", 2)))) {
			t.Error("slots moved on a restart")
		}
	})
	t.Run("no slot has an authority if all members are leaving", func(t *testing.T) {
		if _, ok := ccroster.Bootstrap(member("a", 1)).WithLeaving(member("a", 1).Ref).Authority(0); ok {
			t.Error("a leaving member is the authority of slot 0")
		}
	})
}

func TestEpochs(t *testing.T) {
	two := ccroster.Bootstrap(member("a", 1)).With(member("b", 1))
	cases := []struct {
		name   string
		roster *ccroster.Roster
		lost   uint64
		size   int
	}{
		{"joined", two, 0, 2},
		{"replaced by a later incarnation", two.With(member("a", 2)), 3, 2},
		{"removed", two.Without(member("a", 1).Ref), 3, 1},
		{"renewed", two.Renewed(), 0, 2},
		{"left after handing over", two.WithLeaving(member("a", 1).Ref).WithoutHandedOver(member("a", 1).Ref), 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.roster.LostEpoch != c.lost || len(c.roster.Entries) != c.size {
				t.Errorf("lost epoch %d, %d members", c.roster.LostEpoch, len(c.roster.Entries))
			}
		})
	}
}

func TestRosterJSON(t *testing.T) {
	two := ccroster.Bootstrap(member("a", 1)).With(member("b", 1))
	data, err := json.Marshal(two)
	if err != nil {
		t.Fatal(err)
	}
	read := &ccroster.Roster{}
	if err := json.Unmarshal(data, read); err != nil {
		t.Fatal(err)
	}
	if read.Epoch != 2 || fmt.Sprint(authorities(read)) != fmt.Sprint(authorities(two)) {
		t.Errorf("the roster changed in a JSON round trip: %s", data)
	}
}

func TestSlotOf(t *testing.T) {
	counts := make([]int, ccroster.SlotCount)
	for i := range 100 * ccroster.SlotCount {
		counts[ccroster.SlotOf(ccjob.ID(fmt.Sprintf("job-%d", i)))]++
	}
	for slot, count := range counts {
		if count < 50 || count > 200 {
			t.Errorf("slot %d has %d of 25600 jobs", slot, count)
		}
	}
}
