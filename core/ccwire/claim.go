package ccwire

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Methods between entries.
const (
	MethodClaim   = "entry.claim"   // Request: Claim, ClaimReply.
	MethodRelease = "entry.release" // Notification: Release.
	MethodAwait   = "entry.await"   // Request: Await, AwaitReply.
	MethodGather  = "entry.gather"  // Request: Gather, GatherReply.
	MethodConsent = "entry.pulse"   // Request: Pulse, PulseReply.
)

// Claim asks the authority of a job's hash slot for the right to drive the job.
// The grant counts from the moment that the requester sent the claim, on the
// requester's clock.
type Claim struct {
	Epoch  uint64     `json:"epoch"` // Roster epoch at the requester.
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Driver ccnode.Ref `json:"driver"`
	// ReleasedClaim is a claim that its driver gave back. It is zero otherwise.
	ReleasedClaim uint64 `json:"released,omitempty"`
	// UnknownClaim is a claim that its driver says it doesn't know. It is zero
	// otherwise.
	UnknownClaim uint64 `json:"disowned,omitempty"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// ClaimResult is the authority's answer.
type ClaimResult string

const (
	// ClaimGranted lets the requester start tasks under the claim number.
	ClaimGranted ClaimResult = "granted"
	// ClaimRecover lets the requester drive the job after it has learned from all
	// agents what started under earlier claims.
	ClaimRecover ClaimResult = "recover"
	// ClaimAttach names the entry that drives the job or holds its answer.
	ClaimAttach ClaimResult = "attach"
	// ClaimConflict is a known job ID with another digest.
	ClaimConflict ClaimResult = "conflict"
	// ClaimUnprovable is a job that may have run, with nobody left to tell.
	ClaimUnprovable ClaimResult = "unprovable"
	// ClaimWrongEpoch is a requester or an authority whose roster is stale.
	ClaimWrongEpoch ClaimResult = "wrongEpoch"
	// ClaimNotReady is an authority that may not grant at this moment.
	ClaimNotReady ClaimResult = "notReady"
	// ClaimFull is an authority whose table is at its bound.
	ClaimFull ClaimResult = "full"
	// ClaimInvalid is a job whose ID carries a time that lies ahead.
	ClaimInvalid ClaimResult = "invalid"
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	Result ClaimResult `json:"verdict"`
	Epoch  uint64      `json:"epoch"`
	Claim  uint64      `json:"claim,omitempty"`
	Driver ccnode.Ref  `json:"driver,omitzero"`
	// EarliestStart is the earliest time at which a task of the job can have started, in
	// Unix milliseconds. It comes with ClaimRecover.
	EarliestStart int64 `json:"since,omitempty"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// Release gives a claim back under which nothing started and nothing will.
type Release struct {
	JobID ccjob.ID   `json:"jobID"`
	Claim uint64     `json:"claim"`
	From  ccnode.Ref `json:"from"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// Await asks the driver of a job for its outcome, and waits for it.
type Await struct {
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Driver ccnode.Ref `json:"driver"`
	WaitMS int64      `json:"waitMS"`
}

// AwaitReply carries the outcome, when there is one.
type AwaitReply struct {
	Known         bool          `json:"known"`
	ReleasedClaim uint64        `json:"released,omitempty"` // The claim that was given back.
	Outcome       ccjob.Outcome `json:"outcome,omitzero"`
}

// Gather asks an entry for all that it knows of the slots that the requester
// takes over, and for the promise to grant nothing there under earlier epochs.
type Gather struct {
	Epoch uint64     `json:"epoch"`
	From  ccnode.Ref `json:"from"`
	Slots []int      `json:"slots"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// GatherReply carries the claims of those slots: those that the entry granted,
// and those of the jobs that it drives.
type GatherReply struct {
	Entry ccnode.Ref `json:"entry"`
	Epoch uint64     `json:"epoch"`
	// MemorySince is when the memory of this incarnation begins, in Unix milliseconds.
	MemorySince int64         `json:"since"`
	Slots       []GatherSlot  `json:"slots"`
	Claims      []GatherClaim `json:"claims"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// GatherSlot says what the entry knows of one slot as a whole. Horizon is in
// Unix milliseconds; a job made later and not listed was granted by nobody under
// Epoch or before.
type GatherSlot struct {
	Slot int `json:"slot"`
	// Epoch is the newest roster epoch up to which the entry knows all grants. It
	// is zero when the entry never knew all.
	Epoch   uint64 `json:"epoch"`
	Horizon int64  `json:"horizon"`
	// Complete is whether no claim of the slot was ever forgotten.
	Complete bool `json:"complete"`
}

// GatherClaim is one claim that the entry knows of.
type GatherClaim struct {
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Claim  uint64     `json:"claim"`
	Driver ccnode.Ref `json:"driver"`
	// Granted is when the claim was granted, in Unix milliseconds.
	Granted int64 `json:"granted"`
	// Released is whether the driver gave the claim back.
	Released bool `json:"released,omitempty"`
}

// ConsentRequest asks a peer whether it sees the store.
type ConsentRequest struct {
	From  ccnode.Ref `json:"from"`
	Epoch uint64     `json:"epoch"`
	// SawStore is whether the sender has seen the store since its last renewal.
	SawStore bool `json:"sawStore"`
	// Removing lists entries that the sender wants to remove. The receiver will
	// not consent to their going on without the store.
	Removing []ccnode.Ref `json:"removing,omitempty"`
}

// ConsentReply answers a Pulse.
type ConsentReply struct {
	From  ccnode.Ref `json:"from"`
	Epoch uint64     `json:"epoch"`
	// StoreAgeMS is how long ago the peer last saw the store, in milliseconds.
	StoreAgeMS int64 `json:"storeAgeMS"`
	// Consents is whether the sender may go on without the store.
	Consents bool `json:"consents"`
	// Denies lists those of the entries to be removed from which the peer will
	// withhold its consent until the roster changes.
	Denies []ccnode.Ref `json:"denies,omitempty"`
}
