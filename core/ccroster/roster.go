// Package ccroster has the list of entries and assigns to each job the entry that
// is its authority.
//
// The roster is one value in the store. Entries replace it by compare-and-swap,
// so its epochs form one sequence: each epoch has one list of members, and the
// list of the next epoch differs from it by one change. Majorities of two
// consecutive epochs therefore have a member in common.
//
// # Usage
//
//	roster = roster.With(member)
//	authority, ok := roster.Authority(ccroster.SlotOf(jobID))
package ccroster

import (
	"net/netip"
	"slices"
	"strings"

	"camphorcroft/core/ccnode"
)

// Member describes one entry.
type Member struct {
	Ref    ccnode.Ref     `json:"ref"`
	Addr   netip.AddrPort `json:"addr"`
	HTTP   netip.AddrPort `json:"http,omitzero"` // Serves clients, health, metrics and events.
	Domain string         `json:"domain"`
	// Leaving marks an entry that is no longer the authority of any slot and still
	// answers for the claims that it granted.
	Leaving bool `json:"leaving,omitempty"`
}

// Roster is the list of entries in one epoch. Treat it as read-only; its methods
// return the next roster.
type Roster struct {
	Epoch uint64 `json:"epoch"`
	// LostEpoch is the newest epoch that removed an entry which had not handed over
	// its claims. Information about a slot that is older than LostEpoch may lack
	// claims.
	LostEpoch uint64   `json:"lost,omitempty"`
	Entries   []Member `json:"entries"`
	// Writer is the entry that wrote this epoch. A writer that got no answer from the
	// store tells by it whether its write took effect.
	Writer ccnode.Ref `json:"by"`

	authorities *authorityTable
}

// FirstEpoch is the epoch of a new fleet's first roster. No claim was granted
// before it.
const FirstEpoch = 1

// Bootstrap returns the first roster of a fleet.
func Bootstrap(first Member) *Roster {
	return next(&Roster{}, []Member{first}, false)
}

// With returns the next roster, with the member added. It replaces an earlier
// incarnation of the same entry, which counts as lost.
func (r *Roster) With(member Member) *Roster {
	members := make([]Member, 0, len(r.Entries)+1)
	lost := false
	for _, entry := range r.Entries {
		if entry.Ref.ID == member.Ref.ID {
			lost = lost || entry.Ref != member.Ref
			continue
		}
		members = append(members, entry)
	}
	return next(r, append(members, member), lost)
}

// Without returns the next roster, without an incarnation that has ended. That
// incarnation counts as lost: the entries that take over its slots can't know
// every claim that it granted.
func (r *Roster) Without(ref ccnode.Ref) *Roster {
	return next(r, r.membersExcept(ref), true)
}

// WithLeaving returns the next roster, in which the member is the authority of no
// slot.
func (r *Roster) WithLeaving(ref ccnode.Ref) *Roster {
	members := slices.Clone(r.Entries)
	for i := range members {
		if members[i].Ref == ref {
			members[i].Leaving = true
		}
	}
	return next(r, members, false)
}

// WithoutHandedOver returns the next roster, without a leaving member whose claims
// have been taken over by all of its successors.
func (r *Roster) WithoutHandedOver(ref ccnode.Ref) *Roster {
	return next(r, r.membersExcept(ref), false)
}

// Renewed returns the next roster with the same members. An entry whose lease
// expired during a store outage writes it, so that the write of any entry that
// was about to remove it fails.
func (r *Roster) Renewed() *Roster {
	return next(r, slices.Clone(r.Entries), false)
}

// WrittenBy sets the writer of a roster that is about to be written.
func (r *Roster) WrittenBy(ref ccnode.Ref) *Roster {
	r.Writer = ref
	return r
}

// Find returns the member with this ID and incarnation.
func (r *Roster) Find(ref ccnode.Ref) (Member, bool) {
	for _, entry := range r.Entries {
		if entry.Ref == ref {
			return entry, true
		}
	}
	return Member{}, false
}

// Has reports whether this incarnation of an entry is a member.
func (r *Roster) Has(ref ccnode.Ref) bool {
	_, ok := r.Find(ref)
	return ok
}

// Majority returns the smallest number of members that is more than half of them.
func (r *Roster) Majority() int {
	return len(r.Entries)/2 + 1
}

func (r *Roster) membersExcept(ref ccnode.Ref) []Member {
	return slices.DeleteFunc(slices.Clone(r.Entries), func(entry Member) bool {
		return entry.Ref == ref
	})
}

func next(r *Roster, members []Member, lost bool) *Roster {
	slices.SortFunc(members, func(a, b Member) int {
		return strings.Compare(string(a.Ref.ID), string(b.Ref.ID))
	})
	successor := &Roster{Epoch: r.Epoch + 1, LostEpoch: r.LostEpoch, Entries: members}
	if lost {
		successor.LostEpoch = successor.Epoch
	}
	return successor
}
