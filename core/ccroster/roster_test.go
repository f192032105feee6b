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

func owners(roster *ccroster.Roster) map[int]ccnode.ID {
	owned := map[int]ccnode.ID{}
	for slot := range ccroster.SlotCount {
		if owner, ok := roster.Authority(slot); ok {
			owned[slot] = owner.Ref.ID
		}
	}
	return owned
}

func assertMoves(t *testing.T, before, after *ccroster.Roster, id ccnode.ID) {
	t.Helper()
	was, is := owners(before), owners(after)
	for slot := range ccroster.SlotCount {
		if was[slot] != is[slot] && was[slot] != id && is[slot] != id {
			t.Errorf("slot %d moved from %s to %s", slot, was[slot], is[slot])
		}
	}
}

func TestAuthority(t *testing.T) {
	three := ccroster.Bootstrap(member("a", 1)).With(member("b", 1)).With(member("c", 1))

	t.Run("every slot has one, in fair shares", func(t *testing.T) {
		counts := map[ccnode.ID]int{}
		for _, id := range owners(three) {
			counts[id]++
		}
		for _, id := range []ccnode.ID{"a", "b", "c"} {
			if counts[id] < ccroster.SlotCount/6 {
				t.Errorf("%s has %d slots", id, counts[id])
			}
		}
	})
	t.Run("a member that joins or leaves moves no other slots", func(t *testing.T) {
		assertMoves(t, three, three.With(member("d", 1)), "d")
		assertMoves(t, three, three.Without(member("b", 1).Ref), "b")
		assertMoves(t, three, three.WithLeaving(member("b", 1).Ref), "b")
	})
	t.Run("a later life gets the same slots", func(t *testing.T) {
		if fmt.Sprint(owners(three)) != fmt.Sprint(owners(three.With(member("b", 2)))) {
			t.Error("slots moved")
		}
	})
	t.Run("nobody is authority when all leave", func(t *testing.T) {
		if _, ok := ccroster.Bootstrap(member("a", 1)).WithLeaving(member("a", 1).Ref).Authority(0); ok {
			t.Error("a leaving member is authority")
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
		{"replaced by a later life", two.With(member("a", 2)), 3, 2},
		{"removed", two.Without(member("a", 1).Ref), 3, 1},
		{"renewed", two.Renewed(), 0, 2},
		{"left after handing over", two.WithLeaving(member("a", 1).Ref).WithoutHandedOver(member("a", 1).Ref), 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.roster.LostEpoch != c.lost || len(c.roster.Entries) != c.size {
				t.Errorf("lost %d, size %d", c.roster.LostEpoch, len(c.roster.Entries))
			}
		})
	}
}

func TestRosterInTheStore(t *testing.T) {
	two := ccroster.Bootstrap(member("a", 1)).With(member("b", 1))
	data, err := json.Marshal(two)
	if err != nil {
		t.Fatal(err)
	}
	read := &ccroster.Roster{}
	if err := json.Unmarshal(data, read); err != nil {
		t.Fatal(err)
	}
	if read.Epoch != 2 || fmt.Sprint(owners(read)) != fmt.Sprint(owners(two)) {
		t.Errorf("read %s", data)
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
