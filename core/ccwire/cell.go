package ccwire

import (
	"net/netip"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
)

// Methods between an agent and the lead of its cell.
const (
	MethodJoin      = "cell.join"      // Request: Join, JoinReply.
	MethodHeartbeat = "cell.heartbeat" // Request: Heartbeat, HeartbeatReply.
	MethodLeave     = "cell.leave"     // Request: Leave, LeaveReply.
	MethodLeader    = "cell.lead"      // Notification, lead to agent: Lead.
)

// Member is what the fleet knows of one agent.
type Member struct {
	Node    ccnode.Ref     `json:"node"`
	Addr    netip.AddrPort `json:"addr"`
	HTTP    netip.AddrPort `json:"http,omitzero"` // Health, metrics and events.
	Domain  string         `json:"domain"`
	Rack    string         `json:"rack,omitempty"`
	Service string         `json:"service"`
	Slots   int            `json:"slots"`
	Leaving bool           `json:"leaving,omitempty"`
	// StartedAt is when this incarnation started, in Unix milliseconds.
	StartedAt int64 `json:"since"`
}

// CellRecord is the store's record of one cell. The lead writes it on change.
type CellRecord struct {
	Cell    int        `json:"cell"`
	Term    uint64     `json:"term"` // Grows with each election.
	Leader  ccnode.Ref `json:"lead"`
	Members []Member   `json:"members"`
	// Departed lists lives that ended inside the retention window.
	Departed []Departure `json:"departed,omitempty"`
}

// Departure is one life of an agent that has ended.
type Departure struct {
	Node ccnode.Ref `json:"node"`
	// At is when the lead noticed, in Unix milliseconds.
	At int64 `json:"at"`
}

// Join announces an agent to its lead.
type Join struct {
	Cell   int    `json:"cell"`
	Member Member `json:"member"`
}

// Heartbeat tells the lead that a member lives, and what it knows.
type Heartbeat struct {
	// Cell and Node are left out on a connection that has carried the member's
	// Join, which told them.
	Cell    int        `json:"cell,omitempty"`
	Node    ccnode.Ref `json:"node,omitzero"`
	Version uint64     `json:"version"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// HeartbeatReply carries what the member lacks. View is nil when the member is
// up to date.
type HeartbeatReply struct {
	// Term and Version are left out of the reply to a heartbeat of a member that
	// is up to date.
	Term uint64 `json:"term,omitempty"`
	// Current is whether the lead knows its view to have been the newest a short
	// time ago.
	Current       bool                  `json:"current,omitempty"`
	UnknownMember bool                  `json:"unknown,omitempty"` // Asks the member to join again.
	Version       uint64                `json:"version,omitempty"`
	View          *ccsettings.AgentView `json:"view,omitempty"`
	// Members is the size of the cell, by which members stagger what they do at
	// once. Only the reply to Join has it.
	Members int `json:"members,omitempty"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// JoinReply answers a Join as a heartbeat.
type JoinReply = HeartbeatReply

// LeaderAnnouncement announces a new lead to the members that the record lists, so that they
// need not ask the store.
type LeaderAnnouncement struct {
	Cell int            `json:"cell"`
	Term uint64         `json:"term"`
	Node ccnode.Ref     `json:"node"`
	Addr netip.AddrPort `json:"addr"`
}

// Leave announces that an agent stops or has stopped taking work.
type Leave struct {
	Cell    int        `json:"cell"`
	Node    ccnode.Ref `json:"node"`
	Exiting bool       `json:"gone"` // True when it has finished and exits.
}

// LeaveReply acknowledges a Leave.
type LeaveReply struct {
	Term uint64 `json:"term"`
}
