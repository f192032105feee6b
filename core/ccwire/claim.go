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
	MethodConsent = "entry.pulse"   // Request: ConsentRequest, ConsentReply.
)

// Claim asks the authority of a job's hash slot for the right to drive the job.
// The validity of the grant is counted from when the requester sent the claim, on
// the requester's clock.
type Claim struct {
	Epoch  uint64     `json:"epoch"` // Roster epoch at the requester.
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Driver ccnode.Ref `json:"driver"`
	// ReleasedClaim is the number of a claim that its driver has released, or zero.
	ReleasedClaim uint64 `json:"released,omitempty"`
	// UnknownClaim is the number of a claim that the driver on record says it
	// doesn't know, or zero.
	UnknownClaim uint64 `json:"disowned,omitempty"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// ClaimResult is the authority's decision on a claim.
type ClaimResult string

const (
	// ClaimGranted lets the requester start tasks under the claim number.
	ClaimGranted ClaimResult = "granted"
	// ClaimRecover lets the requester drive the job once it has learned from all
	// agents what started under earlier claims.
	ClaimRecover ClaimResult = "recover"
	// ClaimAttach names the entry that drives the job or holds its outcome.
	ClaimAttach ClaimResult = "attach"
	// ClaimConflict means that the job ID is known with a different digest.
	ClaimConflict ClaimResult = "conflict"
	// ClaimUnprovable means that the job may have run before and that no node
	// remembers whether it did.
	ClaimUnprovable ClaimResult = "unprovable"
	// ClaimWrongEpoch means that the roster of the requester or of the authority
	// is stale.
	ClaimWrongEpoch ClaimResult = "wrongEpoch"
	// ClaimNotReady means that the authority may not grant claims at the moment.
	ClaimNotReady ClaimResult = "notReady"
	// ClaimFull means that the authority's claim table is at its limit.
	ClaimFull ClaimResult = "full"
	// ClaimInvalid means that the time in the job ID is in the future.
	ClaimInvalid ClaimResult = "invalid"
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	Result ClaimResult `json:"verdict"`
	Epoch  uint64      `json:"epoch"`
	Claim  uint64      `json:"claim,omitempty"`
	Driver ccnode.Ref  `json:"driver,omitzero"`
	// EarliestStart is the earliest time at which a task of the job can have
	// started, in Unix milliseconds. It is set with ClaimRecover.
	EarliestStart int64 `json:"since,omitempty"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// Release gives up a claim under which no task has started or will start.
type Release struct {
	JobID ccjob.ID   `json:"jobID"`
	Claim uint64     `json:"claim"`
	From  ccnode.Ref `json:"from"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// Await asks the driver of a job for its outcome and waits up to WaitMS
// milliseconds for it.
type Await struct {
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Driver ccnode.Ref `json:"driver"`
	WaitMS int64      `json:"waitMS"`
}

// AwaitReply carries the outcome, if there is one.
type AwaitReply struct {
	Known         bool          `json:"known"`
	ReleasedClaim uint64        `json:"released,omitempty"` // The claim that the driver has released.
	Outcome       ccjob.Outcome `json:"outcome,omitzero"`
}

// Gather asks an entry for everything it knows about the slots that the requester
// takes over, and for the promise to grant no claims there under earlier epochs.
type Gather struct {
	Epoch uint64     `json:"epoch"`
	From  ccnode.Ref `json:"from"`
	Slots []int      `json:"slots"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// GatherReply carries the claims in those slots: the ones that the entry granted
// and the ones of the jobs that it drives.
type GatherReply struct {
	Entry ccnode.Ref `json:"entry"`
	Epoch uint64     `json:"epoch"`
	// MemorySince is when this incarnation of the entry started, in Unix
	// milliseconds. It knows nothing from before.
	MemorySince int64         `json:"since"`
	Slots       []GatherSlot  `json:"slots"`
	Claims      []GatherClaim `json:"claims"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// GatherSlot describes how much the entry knows about one slot. Horizon is in
// Unix milliseconds: a job that was created later and isn't listed was not
// granted by any entry under Epoch or an earlier epoch.
type GatherSlot struct {
	Slot int `json:"slot"`
	// Epoch is the newest roster epoch up to which the entry knows all grants. It
	// is zero if the entry never knew all of them.
	Epoch   uint64 `json:"epoch"`
	Horizon int64  `json:"horizon"`
	// Complete reports whether no claim of the slot has ever been evicted.
	Complete bool `json:"complete"`
}

// GatherClaim is one claim that the entry knows.
type GatherClaim struct {
	JobID  ccjob.ID   `json:"jobID"`
	Digest uint64     `json:"digest"`
	Claim  uint64     `json:"claim"`
	Driver ccnode.Ref `json:"driver"`
	// Granted is when the claim was granted, in Unix milliseconds.
	Granted int64 `json:"granted"`
	// Released reports whether the driver has released the claim.
	Released bool `json:"released,omitempty"`
}

// ConsentRequest asks a peer to consent to the sender continuing without the
// store, and to withhold its consent from the entries in Removing.
type ConsentRequest struct {
	From  ccnode.Ref `json:"from"`
	Epoch uint64     `json:"epoch"`
	// SawStore reports whether the store has answered the sender recently.
	SawStore bool `json:"sawStore"`
	// Removing lists the entries that the sender wants to remove from the roster.
	// The receiver stops consenting to their continuing without the store.
	Removing []ccnode.Ref `json:"removing,omitempty"`
}

// ConsentReply answers a ConsentRequest.
type ConsentReply struct {
	From  ccnode.Ref `json:"from"`
	Epoch uint64     `json:"epoch"`
	// StoreAgeMS is how long ago the peer last reached the store, in milliseconds.
	StoreAgeMS int64 `json:"storeAgeMS"`
	// Consents reports whether the sender may continue without the store.
	Consents bool `json:"consents"`
	// Denies lists the entries of Removing from which the peer withholds its
	// consent until the roster changes.
	Denies []ccnode.Ref `json:"denies,omitempty"`
}
