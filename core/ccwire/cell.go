package ccwire

import (
	"net/netip"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
)

// Methods between an agent and the leader of its cell.
const (
	MethodJoin      = "cell.join"      // Request: Join, JoinReply.
	MethodHeartbeat = "cell.heartbeat" // Request: Heartbeat, HeartbeatReply.
	MethodLeave     = "cell.leave"     // Request: Leave, LeaveReply.
	MethodLeader    = "cell.lead"      // Notification, leader to agent: LeaderAnnouncement.
)

// Member describes an agent as a member of a cell.
type Member struct {
	Node    ccnode.Ref     `json:"node"`
	Addr    netip.AddrPort `json:"addr"`
	HTTP    netip.AddrPort `json:"http,omitzero"` // Serves health, metrics and events.
	Domain  string         `json:"domain"`
	Rack    string         `json:"rack,omitempty"`
	Service string         `json:"service"`
	Slots   int            `json:"slots"`
	Leaving bool           `json:"leaving,omitempty"`
	// StartedAt is when this incarnation started, in Unix milliseconds.
	StartedAt int64 `json:"since"`
}

// CellRecord is the record of one cell in the store. The leader writes it
// whenever it changes.
type CellRecord struct {
	Cell    int        `json:"cell"`
	Term    uint64     `json:"term"` // Increases with each election.
	Leader  ccnode.Ref `json:"lead"`
	Members []Member   `json:"members"`
	// Departed lists the incarnations that ended within the retention window.
	Departed []Departure `json:"departed,omitempty"`
}

// Departure records the end of one incarnation of an agent.
type Departure struct {
	Node ccnode.Ref `json:"node"`
	// At is when the leader noticed the end, in Unix milliseconds.
	At int64 `json:"at"`
}

// Join registers an agent with the leader of its cell.
type Join struct {
	Cell   int    `json:"cell"`
	Member Member `json:"member"`
}

// Heartbeat tells the leader that a member is alive and which settings version
// it has.
type Heartbeat struct {
	// Cell and Node are omitted on a connection over which the member has sent
	// its Join, because the Join carried them.
	Cell    int        `json:"cell,omitempty"`
	Node    ccnode.Ref `json:"node,omitzero"`
	Version uint64     `json:"version"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// HeartbeatReply carries the settings that the member is missing. View is nil
// when the member is up to date.
type HeartbeatReply struct {
	// Term and Version are omitted from the reply to a heartbeat of a known
	// member that is up to date.
	Term uint64 `json:"term,omitempty"`
	// Current reports whether the leader has confirmed recently that its view is
	// the newest one.
	Current       bool                  `json:"current,omitempty"`
	UnknownMember bool                  `json:"unknown,omitempty"` // Asks the member to join again.
	Version       uint64                `json:"version,omitempty"`
	View          *ccsettings.AgentView `json:"view,omitempty"`
	// Members is the size of the cell. Members use it to spread over time what
	// they would otherwise all do at once. It is set only in the reply to a Join.
	Members int `json:"members,omitempty"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// JoinReply answers a Join like a heartbeat.
type JoinReply = HeartbeatReply

// LeaderAnnouncement announces a new leader to the members in the cell's record,
// so that they need not read the store.
type LeaderAnnouncement struct {
	Cell int            `json:"cell"`
	Term uint64         `json:"term"`
	Node ccnode.Ref     `json:"node"`
	Addr netip.AddrPort `json:"addr"`
}

// Leave announces that an agent stops taking tasks, or that it exits.
type Leave struct {
	Cell    int        `json:"cell"`
	Node    ccnode.Ref `json:"node"`
	Exiting bool       `json:"gone"` // Set when the agent has finished its tasks and exits.
}

// LeaveReply acknowledges a Leave.
type LeaveReply struct {
	Term uint64 `json:"term"`
}
