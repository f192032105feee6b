package ccclaim

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

type jobKey = ccjob.ID

// slot is what an entry knows of one hash slot.
type slot struct {
	owned bool // The roster gives the slot to this entry.
	ready bool // It may grant.
	slotKnowledge
	// promise is the greatest epoch of which a gather was answered. Grants under
	// older epochs are neither made nor taken up.
	promise uint64
	// waiting holds the members whose answer to a gather is missing.
	waiting map[ccnode.Ref]struct{}
	turned  time.Time // When the roster gave the slot to this entry.
	claims  map[jobKey]*record
}

// slotKnowledge says which grants the claims of a slot are known to include.
type slotKnowledge struct {
	// epoch is the newest roster epoch up to which all grants are known, or zero.
	epoch uint64
	// horizon is a time in Unix milliseconds. Claims on jobs made later are all in
	// the table; earlier ones may be forgotten.
	horizon int64
	// complete is whether no claim was ever forgotten, whatever the job's ID.
	complete bool
	// floor is the greatest number of a claim that was forgotten.
	floor uint64
}

// record is one claim.
type record struct {
	id       ccjob.ID
	digest   uint64
	claim    uint64
	driver   ccnode.Ref
	timed    bool
	key      int64 // When the job was made or, for want of that, first claimed.
	granted  int64 // When the claim was granted.
	released bool
}

// ageHeap has the oldest record first. It is a container/heap.
type ageHeap []*record

// Len is part of heap.Interface.
func (h ageHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h ageHeap) Less(i, j int) bool { return h[i].key < h[j].key }

// Swap is part of heap.Interface.
func (h ageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop is part of heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
