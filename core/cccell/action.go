package cccell

import (
	"net/netip"
	"time"

	"camphorcroft/core/ccwire"
)

// Op is the operation that an Action requests.
type Op string

const (
	// OpRead reads the leader's key. It reads the cell's record too if WithRecord is
	// set, or if the key is missing or names this agent. Pass the result to
	// HandleRead.
	OpRead Op = "look"
	// OpCampaign grants a lease and swaps the leader's key under it. Pass the result
	// to HandleCampaign.
	OpCampaign Op = "stand"
	// OpRenew renews the lease. Pass the result to HandleRenew.
	OpRenew Op = "renew"
	// OpWrite swaps the cell's record. Pass the result to HandleWrite.
	OpWrite Op = "write"
	// OpResign revokes the lease. Call HandleResign afterwards.
	OpResign Op = "resign"
	// OpJoin sends Join to the leader. Pass the reply to HandleReply.
	OpJoin Op = "join"
	// OpHeartbeat sends Heartbeat to the leader, on the connection of the last
	// OpJoin. Pass the reply to HandleReply.
	OpHeartbeat Op = "beat"
	// OpAnnounce sends Announcement to members. It has no result.
	OpAnnounce Op = "announce"
	// OpLeave sends Leave to the leader. Pass the reply to HandleLeaveReply.
	OpLeave Op = "leave"
)

// Action is an operation for the caller to execute. Only the fields of its Op are
// set.
type Action struct {
	Op           Op
	WithRecord   bool                      // OpRead: read the record even if there is a leader.
	Expected     uint64                    // OpCampaign, OpWrite: the revision that the key must have.
	Lease        uint64                    // OpRenew, OpResign.
	Record       ccwire.CellRecord         // OpWrite.
	Addr         netip.AddrPort            // OpJoin, OpHeartbeat, OpLeave: the leader's address.
	Join         ccwire.Join               // OpJoin.
	Heartbeat    ccwire.Heartbeat          // OpHeartbeat.
	Leave        ccwire.Leave              // OpLeave.
	Announcement ccwire.LeaderAnnouncement // OpAnnounce.
	Addrs        []netip.AddrPort          // OpAnnounce: the members to notify.
}

// Outcome classifies the result of a store call.
type Outcome int

const (
	// OutcomeOK means that the call succeeded.
	OutcomeOK Outcome = iota
	// OutcomeConflict means that a swap expected the wrong revision. It had no
	// effect.
	OutcomeConflict
	// OutcomeLeaseGone means that the lease has ended.
	OutcomeLeaseGone
	// OutcomeUnknown means that the call failed but may have taken effect.
	OutcomeUnknown
)

// StoreState is the result of OpRead.
type StoreState struct {
	Outcome        Outcome
	Leader         *LeaderRecord // Nil when the key doesn't exist.
	LeaderRevision uint64
	LeaderLease    uint64
	Record         ccwire.CellRecord
	RecordRevision uint64
}

// CampaignResult is the result of OpCampaign.
type CampaignResult struct {
	Outcome Outcome
	Lease   uint64    // The granted lease, or zero if there is none.
	Sent    time.Time // When the grant was sent.
}
