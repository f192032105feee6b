package cclease

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// Guards against a peer's list of entries that makes an agent dial what nobody can have,
// or more entries than it may.
func FuzzEntryLists(f *testing.F) {
	addr := netip.MustParseAddrPort("10.0.0.1:7720")
	for _, orders := range []ccwire.Orders{
		{},
		{Entries: []ccsubset.Entry{{Addr: addr, Domain: "north"}, {}, {Addr: netip.AddrPortFrom(addr.Addr(), 0), Domain: "south"}}},
		{EntriesJoined: []ccsubset.Entry{{Addr: addr}}, EntriesLeft: []netip.AddrPort{addr, {}}},
	} {
		body, err := cbor.Marshal(orders)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, body)
		f.Add(body, body[:len(body)/2])
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		agent := New(Config{Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Domain: "north", Log: logr.Discard()})
		agent.cancel() // No session is opened.
		now := time.Unix(1, 0)
		for _, body := range [][]byte{first, second} {
			var orders ccwire.Orders
			if ccsession.Decode(body, &orders) != nil {
				return
			}
			agent.updateEntries(now, orders)
			wanted := agent.subset.Wanted(now)
			if len(wanted) > localEntries+remoteEntries {
				t.Fatalf("wanted: %d entries", len(wanted))
			}
			for _, at := range wanted {
				if !(ccsubset.Entry{Addr: at}).Valid() {
					t.Fatalf("wanted: %v", at)
				}
			}
			now = now.Add(time.Minute)
		}
		agent.wg.Wait()
	})
}
