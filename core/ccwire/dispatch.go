// Package ccwire defines the messages that the processes of the fleet exchange.
//
// An entry dials each agent that it uses and keeps one connection, which
// carries jsonrpc2. Dispatch and Report are notifications without a reply, so a
// task costs at most two messages, one in each direction. Entries also dial each
// other, for claims. Agents dial the leader of their cell.
//
// # Order and loss
//
// Messages of one session stay in order. After a connection breaks, the entry
// opens a session with a higher number, and the agent ignores whatever it still
// reads from the older session. The entry then revokes all tasks whose outcome
// it doesn't know, and the reply says which of them have started.
package ccwire

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Methods between entry and agent. The entry dials.
const (
	MethodHello    = "agent.hello"    // Request: Hello, HelloReply.
	MethodDispatch = "agent.dispatch" // Notification: Dispatch.
	MethodReport   = "agent.report"   // Notification, agent to entry: Report.
	MethodRevoke   = "agent.revoke"   // Request: Revoke, RevokeReply.
	MethodRecover  = "agent.recover"  // Request: Recover, RecoverReply.
	MethodProbe    = "agent.probe"    // Request: Probe, Report.
)

// Hello opens a session.
type Hello struct {
	Entry   ccnode.Ref `json:"entry"`
	Session uint64     `json:"session"` // Higher than any earlier session of this entry.
	Version uint64     `json:"version"` // Settings version in force at the entry.
}

// HelloReply describes the agent to the entry.
type HelloReply struct {
	Agent   ccnode.Ref `json:"agent"`
	Domain  string     `json:"domain"`
	Service string     `json:"service"`
	Slots   int        `json:"slots"` // Maximum number of concurrent tasks.
	// MemorySince is when this incarnation began to record tasks, in Unix
	// milliseconds of the agent's clock.
	MemorySince int64  `json:"since"`
	Clock       int64  `json:"clock"`
	Version     uint64 `json:"version"`
	Leaving     bool   `json:"leaving"`
}

// Dispatch sends tasks to an agent. It is a notification.
type Dispatch struct {
	Agent   ccnode.Ref `json:"agent"` // The incarnation of the agent that it is meant for.
	Session uint64     `json:"session"`
	// Seq numbers the dispatches of a session from 1, so that a report can say
	// which of them its count of free slots takes into account.
	Seq uint64 `json:"seq"`
	// Echo is the highest Clock that the entry has received from this agent. The
	// agent derives from it an upper bound on the age of the dispatch, measured by
	// its own clock.
	Echo    int64  `json:"echo"`
	Version uint64 `json:"version"`
	// WantSlots is how many more tasks the entry would send if the agent had free
	// slots.
	WantSlots int           `json:"want"`
	Jobs      []DispatchJob `json:"jobs,omitempty"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// DispatchJob is the part of a dispatch that belongs to one job.
type DispatchJob struct {
	ID      ccjob.ID `json:"id"`
	Claim   uint64   `json:"claim"`
	Service string   `json:"service"`
	// BudgetMS is the time left until the job's deadline, in milliseconds.
	BudgetMS int64          `json:"budgetMS"`
	Tasks    []DispatchTask `json:"tasks"`
}

// DispatchTask is one task. Attempt increases each time the task is sent.
type DispatchTask struct {
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
	Payload string `json:"payload"`
}
