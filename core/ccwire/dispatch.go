// Package ccwire holds the messages between the processes of the fleet.
//
// An entry dials each agent that it uses and keeps one connection, which
// carries jsonrpc2. Dispatch and Report are notifications and go without a
// reply, so that a task costs two messages at the most: one there, one back.
// Entries dial each other too, for claims. Agents dial the lead of their cell.
//
// # Order and loss
//
// Within one session messages stay in order. After a broken connection an entry
// opens a session with a greater number; the agent ignores whatever it still
// reads from the older session. The entry then revokes all tasks whose outcome
// it doesn't know, and the reply says which of them started.
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
	Session uint64     `json:"session"` // Greater than any earlier session of this entry.
	Version uint64     `json:"version"` // Settings version in force at the entry.
}

// HelloReply tells the entry what the agent is.
type HelloReply struct {
	Agent   ccnode.Ref `json:"agent"`
	Domain  string     `json:"domain"`
	Service string     `json:"service"`
	Slots   int        `json:"slots"` // Tasks that run at once.
	// MemorySince is when the memory of this incarnation begins, in Unix milliseconds
	// of the agent's clock.
	MemorySince int64  `json:"since"`
	Clock       int64  `json:"clock"`
	Version     uint64 `json:"version"`
	Leaving     bool   `json:"leaving"`
}

// Dispatch hands tasks to an agent. It is a notification.
type Dispatch struct {
	Agent   ccnode.Ref `json:"agent"` // The life of the agent that it is meant for.
	Session uint64     `json:"session"`
	// Seq numbers the dispatches of a session from 1, so that a report can say
	// which ones its count of free slots takes into account.
	Seq uint64 `json:"seq"`
	// Echo is the greatest Clock that the entry got from this agent. The agent
	// reads from it how old the dispatch can be at the most, by its own clock.
	Echo    int64  `json:"echo"`
	Version uint64 `json:"version"`
	// WantSlots is how many more tasks the entry would send if the agent had slots.
	WantSlots int           `json:"want"`
	Jobs      []DispatchJob `json:"jobs,omitempty"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// DispatchJob is the part of a dispatch that belongs to one job.
type DispatchJob struct {
	ID      ccjob.ID `json:"id"`
	Claim   uint64   `json:"claim"`
	Service string   `json:"service"`
	// BudgetMS is what is left until the job's deadline, in milliseconds.
	BudgetMS int64          `json:"budgetMS"`
	Tasks    []DispatchTask `json:"tasks"`
}

// DispatchTask is one task. Attempt grows each time the task is sent.
type DispatchTask struct {
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
	Payload string `json:"payload"`
}
