package ccsubset

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Entry is where an entry accepts sessions from agents, and its failure domain. The
// domain of an entry that is known by its address alone is empty.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Addr   netip.AddrPort
	Domain string
}

// Valid reports whether an agent can open a session at the entry's address.
func (e Entry) Valid() bool {
	addr := e.Addr.Addr()
	return addr.IsValid() && !addr.IsUnspecified() && !addr.IsMulticast() && e.Addr.Port() != 0
}

// Digest returns a value that is equal for equal sets of valid entries, in any order.
func Digest(entries []Entry) uint64 {
	sum := uint64(0)
	for _, e := range entries {
		if e.Valid() {
			sum ^= e.digest()
		}
	}
	return sum
}

func (e Entry) digest() uint64 { return xxhash.Sum64String(e.Addr.String() + "/" + e.Domain) }
