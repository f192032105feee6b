package ccsubset

import (
	"net/netip"
	"slices"
	"testing"
)

// Guards against an entry in a peer's list that nobody can dial, for which an agent gives
// up a place in its subset or asks for the whole list again and again.
func TestEntriesWithoutAnAddressAreLeftOut(t *testing.T) {
	good := fleet(3, 1)
	listed := slices.Clone(good)
	for _, addr := range []netip.AddrPort{
		{},
		netip.MustParseAddrPort("10.0.0.9:0"), netip.MustParseAddrPort("0.0.0.0:7720"), netip.MustParseAddrPort("[::]:7720"),
		netip.MustParseAddrPort("224.0.0.1:7720"), netip.AddrPortFrom(netip.Addr{}, 7720),
	} {
		listed = slices.Insert(listed, 1, Entry{Addr: addr, Domain: domain(0)})
	}
	s := newSubset(0, 1, nil)
	s.Add(listed...)
	s.Replace(epoch, listed)
	wanted := s.Wanted(epoch)
	if len(wanted) != len(good) || len(domains(wanted, good)) != 1 || domains(wanted, good)[domain(0)] != len(good) {
		t.Errorf("wanted: got %v, want the addresses of %v", wanted, good)
	}
	if s.Digest() != Digest(good) || Digest(listed) != Digest(good) {
		t.Error("the entries that are left out are in a digest")
	}
}
