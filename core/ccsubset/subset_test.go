package ccsubset

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	testLocal  = 12
	testRemote = 10
)

// fleet returns entries spread evenly over domains.
func fleet(entries, domains int) []Entry {
	list := make([]Entry, 0, entries)
	for i := range entries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i / 200), byte(i % 200), 1}), 7720)
		list = append(list, Entry{Addr: addr, Domain: domain(i % domains)})
	}
	return list
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i) }

func newSubset(agent, domains int, entries []Entry) *Subset {
	s := New(Config{Self: ccnode.ID(fmt.Sprintf("agent-%d", agent)), Domain: domain(agent % domains), Local: testLocal, Remote: testRemote})
	s.Add(entries...)
	return s
}

// domains returns the number of the addresses in each domain.
func domains(addrs []netip.AddrPort, entries []Entry) map[string]int {
	count := map[string]int{}
	for _, e := range entries {
		if slices.Contains(addrs, e.Addr) {
			count[e.Domain]++
		}
	}
	return count
}

func TestWanted(t *testing.T) {
	t.Run("a small fleet is used whole", func(t *testing.T) {
		if got := len(newSubset(0, 4, fleet(4, 4)).Wanted(epoch)); got != 4 {
			t.Errorf("entries: got %d, want all 4", got)
		}
	})
	t.Run("is bounded and spread over all domains", func(t *testing.T) {
		for _, entries := range []int{55, 720} {
			list := fleet(entries, 6)
			wanted := newSubset(1, 6, list).Wanted(epoch)
			count := domains(wanted, list)
			local := count[domain(1)]
			if want := min(testLocal, (entries+4)/6); local != want || len(wanted) != local+testRemote {
				t.Errorf("%d entries: got %d local of %d, want %d and %d elsewhere", entries, local, len(wanted), want, testRemote)
			}
			for i := range 6 {
				if count[domain(i)] < testRemote/5 {
					t.Errorf("%d entries: got %d in %s, want %d or more", entries, count[domain(i)], domain(i), testRemote/5)
				}
			}
		}
	})
	t.Run("uses a seed until entries are listed", func(t *testing.T) {
		s := newSubset(0, 4, nil)
		seed := netip.MustParseAddrPort("10.9.9.9:7720")
		s.Add(Entry{Addr: seed})
		if got := s.Wanted(epoch); !slices.Equal(got, []netip.AddrPort{seed}) {
			t.Errorf("entries: got %v, want the seed", got)
		}
		s.Add(fleet(4, 4)...)
		if got := s.Wanted(epoch); len(got) != 4 || slices.Contains(got, seed) {
			t.Errorf("entries: got %v, want the four that are listed", got)
		}
	})
}

// TestSubsetsCoverTheFleet states what an entry needs: enough workers at any time, and in
// its own domain's absence enough of the others.
func TestSubsetsCoverTheFleet(t *testing.T) {
	const entries, agents, domainCount = 55, 240, 6
	list := fleet(entries, domainCount)
	users := map[netip.AddrPort][]int{}
	for agent := range agents {
		for _, addr := range newSubset(agent, domainCount, list).Wanted(epoch) {
			users[addr] = append(users[addr], agent)
		}
	}
	for i, e := range list {
		elsewhere := 0
		for _, agent := range users[e.Addr] {
			if agent%domainCount != i%domainCount {
				elsewhere++
			}
		}
		if all := len(users[e.Addr]); all < 50 || all > 120 || elsewhere < 20 {
			t.Errorf("entry %d: got %d agents, %d of them in other domains; want 50 to 120, and 20 or more", i, all, elsewhere)
		}
	}
}

func TestUnreachableEntry(t *testing.T) {
	list := fleet(55, 6)
	t.Run("is replaced within a second and tried further", func(t *testing.T) {
		s := newSubset(0, 6, list)
		before := s.Wanted(epoch)
		lost := before[len(before)-1]
		s.Unreachable(epoch, lost)
		if got := s.Wanted(epoch.Add(100 * time.Millisecond)); !slices.Equal(got, before) {
			t.Errorf("after 0.1 s: got %v, want no change", got)
		}
		after := s.Wanted(epoch.Add(time.Second))
		if len(after) != len(before)+1 || !slices.Contains(after, lost) {
			t.Errorf("after 1 s: got %d entries, want %d with the lost one among them", len(after), len(before)+1)
		}
		s.Reached(lost)
		if got := s.Wanted(epoch.Add(time.Second)); !slices.Equal(got, before) {
			t.Errorf("once it is back: got %v, want %v", got, before)
		}
	})
	t.Run("an agent whose domain has lost all entries uses those elsewhere", func(t *testing.T) {
		s := newSubset(0, 6, list)
		for _, e := range list {
			if e.Domain == domain(0) {
				s.Unreachable(epoch, e.Addr)
			}
		}
		wanted := domains(s.Wanted(epoch.Add(time.Second)), list)
		elsewhere := 0
		for name, n := range wanted {
			if name != domain(0) {
				elsewhere += n
			}
		}
		if elsewhere != testRemote {
			t.Errorf("entries elsewhere: got %d, want %d", elsewhere, testRemote)
		}
	})
	t.Run("is forgotten only once it has no record", func(t *testing.T) {
		s := newSubset(0, 6, list)
		lost := s.Wanted(epoch)[0]
		s.Unreachable(epoch, lost)
		if now := epoch.Add(time.Minute); !slices.Contains(s.Wanted(now), lost) {
			t.Error("an entry with a record is forgotten")
		}
		s.Remove(epoch.Add(time.Minute), lost)
		if now := epoch.Add(2 * time.Minute); slices.Contains(s.Wanted(now), lost) {
			t.Error("an entry without a record is still tried")
		}
	})
}

func TestRecordsThatLapse(t *testing.T) {
	list := fleet(55, 6)
	s := newSubset(0, 6, list)
	before := s.Wanted(epoch)
	s.Replace(epoch, nil)
	if got := s.Wanted(epoch.Add(time.Hour)); !slices.Equal(got, before) {
		t.Errorf("entries that are still reached: got %d, want the same %d", len(got), len(before))
	}
}

func TestFewChangesWhenAnEntryLeaves(t *testing.T) {
	list := fleet(55, 6)
	gone := list[7]
	for agent := range 240 {
		s := newSubset(agent, 6, list)
		before := s.Wanted(epoch)
		s.Remove(epoch, gone.Addr)
		s.Unreachable(epoch, gone.Addr)
		after := s.Wanted(epoch.Add(time.Minute))
		changes := 0
		for _, addr := range after {
			if !slices.Contains(before, addr) {
				changes++
			}
		}
		if changes > 1 || !slices.Contains(before, gone.Addr) && changes > 0 {
			t.Errorf("agent %d: got %d new entries, want one at most, and none if it did not use the one that left", agent, changes)
		}
	}
}

func TestDigest(t *testing.T) {
	list := fleet(8, 4)
	s := newSubset(0, 4, list)
	s.Add(Entry{Addr: netip.MustParseAddrPort("10.9.9.9:7720")})
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	if got, want := s.Digest(), Digest(reversed); got != want {
		t.Errorf("digest of the same entries: got %x, want %x", got, want)
	}
	s.Remove(epoch, list[0].Addr)
	if got, want := s.Digest(), Digest(list[1:]); got != want {
		t.Errorf("digest after one has left: got %x, want %x", got, want)
	}
	s.Add(list[0])
	if got, want := s.Digest(), Digest(list); got != want {
		t.Errorf("digest after it has joined again: got %x, want %x", got, want)
	}
}
