package ccclaim

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

type jobKey = ccjob.ID

// slot is an entry's state for one hash slot.
type slot struct {
	owned bool // The roster assigns the slot to this entry.
	ready bool // The entry may grant claims in it.
	grantHistory
	// promisedEpoch is the greatest epoch for which a Gather was answered.
	// Grants under older epochs are neither made nor accepted.
	promisedEpoch uint64
	// unanswered holds the members that have not answered a Gather yet.
	unanswered map[ccnode.Ref]struct{}
	gainedAt   time.Time // When the roster assigned the slot to this entry.
	claims     map[jobKey]*record
}

// grantHistory says which past grants the claims of a slot are known to
// include.
type grantHistory struct {
	// epoch is the newest roster epoch up to which all grants are known, or
	// zero.
	epoch uint64
	// horizon is a time in Unix milliseconds. All claims on jobs created after
	// it are in the table; earlier ones may have been forgotten.
	horizon int64
	// complete is whether no claim was ever forgotten, including those on jobs
	// whose ID carries no timestamp.
	complete bool
	// maxForgotten is the greatest claim number that was forgotten.
	maxForgotten uint64
}

// record describes the latest claim on one job.
type record struct {
	id           ccjob.ID
	digest       uint64
	claim        uint64
	driver       ccnode.Ref
	hasTimestamp bool
	createdAt    int64 // When the job was created or, if its ID has no timestamp, first claimed; Unix milliseconds.
	grantedAt    int64 // When the claim was granted, in Unix milliseconds.
	released     bool
}

// ageHeap implements heap.Interface, with the oldest record first.
type ageHeap []*record

// Len implements heap.Interface.
func (h ageHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ageHeap) Less(i, j int) bool { return h[i].createdAt < h[j].createdAt }

// Swap implements heap.Interface.
func (h ageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
