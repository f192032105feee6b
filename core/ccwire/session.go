package ccwire

import (
	"net/netip"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
)

// MessageKind says what a message of a session is. The agent dials.
type MessageKind byte

const (
	// MessageIdentify asks who answers at an address. It has no fields.
	MessageIdentify MessageKind = iota + 1
	// MessageIdentifyReply is the entry's WhoReply.
	MessageIdentifyReply
	// MessageAttach is the agent's Attach.
	MessageAttach
	// MessageAttachReply is the entry's AttachReply, ahead of its first orders.
	MessageAttachReply
	// MessageReport is the agent's RunReport.
	MessageReport
	// MessageOrders is the entry's Orders.
	MessageOrders
)

// TaskRef names one task of one job.
type TaskRef struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// RunOutcome says how a run of a task is over.
type RunOutcome string

const (
	// RunDone is a run that did its work.
	RunDone RunOutcome = "done"
	// RunFailed is a run that failed, by its own fault or its worker's.
	RunFailed RunOutcome = "failed"
	// RunStopped is a run that was ended by a stop.
	RunStopped RunOutcome = "stopped"
	// RunLost is a run that ended with its lease or with its worker.
	RunLost RunOutcome = "lost"
	// RunNoCapacity is an order that did not start, since the worker was full.
	RunNoCapacity RunOutcome = "noRoom"
	// RunRefused is an order that did not start for another reason.
	RunRefused RunOutcome = "refused"
)

// Attach opens a session. It replaces any earlier session of the same agent: runs
// of this incarnation that it does not list are over.
type Attach struct {
	Node ccnode.Ref `json:"node"`
	// Runs are the runs of this entry's tasks that are alive at the worker.
	Runs   []TaskRef `json:"runs"`
	Report RunReport `json:"report"`
}

// IdentifyReply says which entry answers at an address.
type IdentifyReply struct {
	Node ccnode.Ref `json:"node"`
}

// AttachReply accepts a session.
type AttachReply struct {
	Node ccnode.Ref `json:"node"`
}

// RunResult tells an entry that a run of its task is over.
type RunResult struct {
	Task    TaskRef    `json:"task"`
	Attempt int        `json:"attempt"`
	Outcome RunOutcome `json:"end"`
	Reason  string     `json:"reason,omitempty"`
	// RunMS is how long the run was at work, in milliseconds.
	RunMS int64 `json:"ranMs,omitempty"`
}

// Progress tells how far a run that is alive had come RanMS after its start.
type Progress struct {
	Task      TaskRef `json:"task"`
	Percent   int     `json:"percent"`
	ElapsedMS int64   `json:"ranMs"`
}

// WorkerInfo is what an entry has to know of a worker to use it.
type WorkerInfo struct {
	Domain   string            `json:"domain"`
	Service  string            `json:"service"`
	Labels   []string          `json:"labels"`
	Capacity ccresource.Amount `json:"capacity"`
}

// RunReport is an agent's view, for one entry.
type RunReport struct {
	// ClockMS is the agent's clock in milliseconds since its start. The entry
	// echoes the latest one in its orders.
	ClockMS int64 `json:"clockMs"`
	// HandledSequence is the sequence of the last orders that Free takes into account.
	HandledSequence uint64            `json:"handled"`
	Free            ccresource.Amount `json:"free"`
	// Worker is told once in a session and each time that it changes.
	Worker *WorkerInfo `json:"worker,omitempty"`
	// PriorRunsEnded is that no run of an earlier incarnation of the agent is alive.
	PriorRunsEnded bool `json:"settled,omitempty"`
	// Pace is how many times as long as estimated runs take at the worker. Zero is
	// unknown.
	Pace float64 `json:"pace,omitempty"`
	// ClosedReason says why the worker takes no starts. Empty is that it does.
	ClosedReason string        `json:"closed,omitempty"`
	Results      []RunResult   `json:"ends,omitempty"`
	Progress     []Progress    `json:"progress,omitempty"`
	PlanRevision uint64        `json:"planRevision,omitempty"`
	Plan         *ccroute.Plan `json:"plan,omitempty"`
}

// StartOrder asks an agent to start a task.
type StartOrder struct {
	Task    TaskRef           `json:"task"`
	Attempt int               `json:"attempt"`
	Payload string            `json:"payload"`
	Need    ccresource.Amount `json:"need"`
	// EstimateMS is how long the task is expected to take, in milliseconds.
	EstimateMS int64 `json:"estimateMs,omitempty"`
}

// Orders is what an entry asks of an agent. Without starts and stops it is a
// heartbeat.
type Orders struct {
	Sequence uint64 `json:"sequence"`
	// EchoMS is the latest ClockMS that the entry has heard from this agent. An
	// agent starts nothing for an entry whose echo is old.
	EchoMS int64        `json:"echoMs"`
	Starts []StartOrder `json:"starts,omitempty"`
	Stops  []TaskRef    `json:"stops,omitempty"`
	// CapacityIntervalMS is the shortest pause, in milliseconds, between two reports about
	// room alone that the entry wants. Zero leaves what was said before.
	CapacityIntervalMS int64 `json:"roomIntervalMs,omitempty"`
	// Entries are told when the entry learns of others.
	Entries      []netip.AddrPort `json:"entries,omitempty"`
	PlanRevision uint64           `json:"planRevision,omitempty"`
	Plan         *ccroute.Plan    `json:"plan,omitempty"`
}
