package cccell

import (
	"net/netip"
	"time"

	"camphorcroft/core/ccwire"
)

// Op is what an action does.
type Op string

const (
	// OpRead reads the lead's key, and the cell's record if it may matter: when
	// Whole is set, or when the key is missing or names this agent. Answer with
	// Looked.
	OpRead Op = "look"
	// OpCampaign grants a lease and swaps the lead's key under it. Answer with Stood.
	OpCampaign Op = "stand"
	// OpRenew renews the lease. Answer with Renewed.
	OpRenew Op = "renew"
	// OpWrite swaps the cell's record. Answer with Wrote.
	OpWrite Op = "write"
	// OpResign revokes the lease. Answer with Resigned.
	OpResign Op = "resign"
	// OpJoin sends Join to the lead. Answer with Answered.
	OpJoin Op = "join"
	// OpHeartbeat sends Heartbeat to the lead, on the connection of the last OpJoin. Answer with Answered.
	OpHeartbeat Op = "beat"
	// OpAnnounce sends Lead to members. It has no answer.
	OpAnnounce Op = "announce"
	// OpLeave sends Leave to the lead. Answer with Left.
	OpLeave Op = "leave"
)

// Action is something to be done outside. Only the fields of its Op are set.
type Action struct {
	Op           Op
	WithRecord   bool                      // OpLook: read the record even when there is a lead.
	Expected     uint64                    // OpStand, OpWrite: the revision that the key must have.
	Lease        uint64                    // OpRenew, OpResign.
	Record       ccwire.CellRecord         // OpWrite.
	Addr         netip.AddrPort            // OpJoin, OpBeat, OpLeave: the lead's address.
	Join         ccwire.Join               // OpJoin.
	Heartbeat    ccwire.Heartbeat          // OpBeat.
	Leave        ccwire.Leave              // OpLeave.
	Announcement ccwire.LeaderAnnouncement // OpAnnounce.
	Addrs        []netip.AddrPort          // OpAnnounce: the members.
}

// Outcome sorts what may go wrong with a call.
type Outcome int

const (
	// OutcomeOK is a call that succeeded.
	OutcomeOK Outcome = iota
	// OutcomeConflict is a swap whose expected revision was wrong. It had no effect.
	OutcomeConflict
	// OutcomeLeaseGone is a lease that has ended.
	OutcomeLeaseGone
	// OutcomeUnknown is a call that failed and may have had an effect.
	OutcomeUnknown
)

// StoreState is what the store holds.
type StoreState struct {
	Outcome        Outcome
	Leader         *LeaderRecord // Nil when the key doesn't exist.
	LeaderRevision uint64
	LeaderLease    uint64
	Record         ccwire.CellRecord
	RecordRevision uint64
}

// CampaignResult is the answer to OpStand.
type CampaignResult struct {
	Outcome Outcome
	Lease   uint64    // The lease that was granted, zero if none.
	Sent    time.Time // When the grant was sent.
}
