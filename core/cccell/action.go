package cccell

import (
	"net/netip"
	"time"

	"camphorcroft/core/ccwire"
)

// Op is what an action does.
type Op string

const (
	// OpLook reads the lead's key, and the cell's record if it may matter: when
	// Whole is set, or when the key is missing or names this agent. Answer with
	// Looked.
	OpLook Op = "look"
	// OpStand grants a lease and swaps the lead's key under it. Answer with Stood.
	OpStand Op = "stand"
	// OpRenew renews the lease. Answer with Renewed.
	OpRenew Op = "renew"
	// OpWrite swaps the cell's record. Answer with Wrote.
	OpWrite Op = "write"
	// OpResign revokes the lease. Answer with Resigned.
	OpResign Op = "resign"
	// OpJoin sends Join to the lead. Answer with Answered.
	OpJoin Op = "join"
	// OpBeat sends Heartbeat to the lead, on the connection of the last OpJoin. Answer with Answered.
	OpBeat Op = "beat"
	// OpAnnounce sends Lead to members. It has no answer.
	OpAnnounce Op = "announce"
	// OpLeave sends Leave to the lead. Answer with Left.
	OpLeave Op = "leave"
)

// Action is something to be done outside. Only the fields of its Op are set.
type Action struct {
	Op       Op
	Whole    bool                      // OpLook: read the record even when there is a lead.
	Expected uint64                    // OpStand, OpWrite: the revision that the key must have.
	Lease    uint64                    // OpRenew, OpResign.
	Record   ccwire.CellRecord         // OpWrite.
	Addr     netip.AddrPort            // OpJoin, OpBeat, OpLeave: the lead's address.
	Join     ccwire.Join               // OpJoin.
	Beat     ccwire.Heartbeat          // OpBeat.
	Leave    ccwire.Leave              // OpLeave.
	Lead     ccwire.LeaderAnnouncement // OpAnnounce.
	Addrs    []netip.AddrPort          // OpAnnounce: the members.
}

// Fault sorts what may go wrong with a call.
type Fault int

const (
	// FaultNone is a call that succeeded.
	FaultNone Fault = iota
	// FaultConflict is a swap whose expected revision was wrong. It had no effect.
	FaultConflict
	// FaultGone is a lease that has ended.
	FaultGone
	// FaultUnknown is a call that failed and may have had an effect.
	FaultUnknown
)

// Look is what the store holds.
type Look struct {
	Fault          Fault
	Lead           *LeadRecord // Nil when the key doesn't exist.
	LeadRevision   uint64
	LeadLease      uint64
	Record         ccwire.CellRecord
	RecordRevision uint64
}

// Stand is the answer to OpStand.
type Stand struct {
	Fault Fault
	Lease uint64    // The lease that was granted, zero if none.
	Sent  time.Time // When the grant was sent.
}
