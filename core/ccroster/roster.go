// Package ccroster holds the list of entries and says which of them is the
// authority of which jobs.
//
// The roster is one value in the store. Entries replace it by compare-and-swap,
// so its epochs form one sequence: each epoch has one list of members, and the
// members of the next one are this one's with one change. Majorities of two
// epochs that follow each other therefore have a member in common.
//
// # Usage
//
//	roster, err := roster.With(member)
//	authority, ok := roster.Authority(ccroster.SlotOf(jobID))
package ccroster

import (
	"net/netip"
	"slices"
	"strings"

	"camphorcroft/core/ccnode"
)

// Member is one entry.
type Member struct {
	Ref    ccnode.Ref     `json:"ref"`
	Addr   netip.AddrPort `json:"addr"`
	HTTP   netip.AddrPort `json:"http,omitzero"` // Clients, health, metrics and events.
	Domain string         `json:"domain"`
	// Leaving is an entry that is authority of nothing any more and still
	// answers for what it granted.
	Leaving bool `json:"leaving,omitempty"`
}

// Roster is the list of entries under one epoch. Treat it as read-only; its
// methods return the next one.
type Roster struct {
	Epoch uint64 `json:"epoch"`
	// LostEpoch is the newest epoch that removed an entry which had not handed over
	// its claims. Knowledge of a slot that is older than LostEpoch may lack claims.
	LostEpoch uint64   `json:"lost,omitempty"`
	Entries   []Member `json:"entries"`
	// Writer is the entry that wrote this epoch. A writer whose answer was lost reads
	// from it whether the write took effect.
	Writer ccnode.Ref `json:"by"`

	table *table
}

// FirstEpoch is the epoch of a new fleet's first roster. Nothing was granted
// before it.
const FirstEpoch = 1

// Bootstrap returns the first roster of a fleet.
func Bootstrap(first Member) *Roster {
	return next(&Roster{}, []Member{first}, false)
}

// With returns the next roster, with the member added. An earlier life of the
// same entry is replaced, and counts as lost.
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

// Without returns the next roster, without a life that is gone. It counts as
// lost: whoever takes over its slots can't know all that it granted.
func (r *Roster) Without(gone ccnode.Ref) *Roster {
	return next(r, r.others(gone), true)
}

// WithLeaving returns the next roster, where the member is authority of nothing.
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
// all of its successors have taken over.
func (r *Roster) WithoutHandedOver(ref ccnode.Ref) *Roster {
	return next(r, r.others(ref), false)
}

// Renewed returns the next roster with the same members. An entry whose lease
// lapsed while the store was away swaps it in, so that the swap of anybody who
// was about to remove the entry fails.
func (r *Roster) Renewed() *Roster {
	return next(r, slices.Clone(r.Entries), false)
}

// WrittenBy marks a roster that is about to be swapped in.
func (r *Roster) WrittenBy(ref ccnode.Ref) *Roster {
	r.Writer = ref
	return r
}

// Find returns the member that is this life of an entry.
func (r *Roster) Find(ref ccnode.Ref) (Member, bool) {
	for _, entry := range r.Entries {
		if entry.Ref == ref {
			return entry, true
		}
	}
	return Member{}, false
}

// Has reports whether this life of an entry is a member.
func (r *Roster) Has(ref ccnode.Ref) bool {
	_, ok := r.Find(ref)
	return ok
}

// Majority returns how many members are more than half of them.
func (r *Roster) Majority() int {
	return len(r.Entries)/2 + 1
}

func (r *Roster) others(ref ccnode.Ref) []Member {
	return slices.DeleteFunc(slices.Clone(r.Entries), func(entry Member) bool {
		return entry.Ref == ref
	})
}

func next(r *Roster, members []Member, lost bool) *Roster {
	slices.SortFunc(members, func(a, b Member) int {
		return strings.Compare(string(a.Ref.ID), string(b.Ref.ID))
	})
	following := &Roster{Epoch: r.Epoch + 1, LostEpoch: r.LostEpoch, Entries: members}
	if lost {
		following.LostEpoch = following.Epoch
	}
	return following
}
