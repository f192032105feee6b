package ccwire

import (
	"net/netip"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
)

// MessageKind is the kind of a message in a session. The agent dials.
type MessageKind byte

const (
	// MessageIdentify asks which entry answers at an address. It has no fields.
	MessageIdentify MessageKind = iota + 1
	// MessageIdentifyReply is the entry's IdentifyReply.
	MessageIdentifyReply
	// MessageAttach is the agent's Attach.
	MessageAttach
	// MessageAttachReply is the entry's AttachReply, sent before its first Orders.
	MessageAttachReply
	// MessageReport is the agent's RunReport.
	MessageReport
	// MessageOrders is the entry's Orders.
	MessageOrders
)

// TaskRef identifies one task of one job.
type TaskRef struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// RunOutcome is how a run of a task ended.
type RunOutcome string

const (
	// RunDone is a run that completed its task.
	RunDone RunOutcome = "done"
	// RunFailed is a run that failed, whether by the task's fault or the worker's.
	RunFailed RunOutcome = "failed"
	// RunStopped is a run that was stopped on request.
	RunStopped RunOutcome = "stopped"
	// RunLost is a run that ended with its lease or with its worker.
	RunLost RunOutcome = "lost"
	// RunNoCapacity is an order that did not start because the worker was full.
	RunNoCapacity RunOutcome = "noRoom"
	// RunRefused is an order that did not start for another reason.
	RunRefused RunOutcome = "refused"
)

// Attach opens a session. It replaces any earlier session of the same agent: runs
// of this incarnation that it does not list have ended.
type Attach struct {
	Node ccnode.Ref `json:"node"`
	// Runs lists the tasks of this entry that are running at the worker.
	Runs   []TaskRef `json:"runs"`
	Report RunReport `json:"report"`
}

// IdentifyReply names the entry that answers at an address.
type IdentifyReply struct {
	Node ccnode.Ref `json:"node"`
}

// AttachReply accepts a session.
type AttachReply struct {
	Node ccnode.Ref `json:"node"`
}

// RunResult tells an entry that a run of its task has ended.
type RunResult struct {
	Task    TaskRef    `json:"task"`
	Attempt int        `json:"attempt"`
	Outcome RunOutcome `json:"end"`
	Reason  string     `json:"reason,omitempty"`
	// RunMS is how long the run took, in milliseconds.
	RunMS int64 `json:"ranMs,omitempty"`
}

// Progress tells an entry what percentage of a running task was complete
// ElapsedMS milliseconds after the start of the run.
type Progress struct {
	Task      TaskRef `json:"task"`
	Percent   int     `json:"percent"`
	ElapsedMS int64   `json:"ranMs"`
}

// WorkerInfo describes a worker to the entries that use it.
type WorkerInfo struct {
	Domain   string            `json:"domain"`
	Service  string            `json:"service"`
	Labels   []string          `json:"labels"`
	Capacity ccresource.Amount `json:"capacity"`
}

// RunReport is the agent's state as reported to one entry.
type RunReport struct {
	// ClockMS is the agent's clock, in milliseconds since its start. The entry
	// echoes the latest value in its orders.
	ClockMS int64 `json:"clockMs"`
	// HandledSequence is the sequence number of the last orders that Free takes
	// into account.
	HandledSequence uint64            `json:"handled"`
	Free            ccresource.Amount `json:"free"`
	// Worker is sent once per session and whenever it changes.
	Worker *WorkerInfo `json:"worker,omitempty"`
	// PriorRunsEnded reports whether all runs of earlier incarnations of the agent
	// have ended.
	PriorRunsEnded bool `json:"settled,omitempty"`
	// Pace is the ratio of actual to estimated run time at the worker. Zero means
	// that it is unknown.
	Pace float64 `json:"pace,omitempty"`
	// ClosedReason says why the worker accepts no starts. It is empty if the worker
	// accepts them.
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
	// EstimateMS is the expected run time of the task, in milliseconds.
	EstimateMS int64 `json:"estimateMs,omitempty"`
}

// Orders carries the starts and stops that an entry requests from an agent.
// Without any it is a heartbeat.
type Orders struct {
	Sequence uint64 `json:"sequence"`
	// EchoMS is the latest ClockMS that the entry has received from this agent. An
	// agent starts nothing for an entry whose echo is too old.
	EchoMS int64        `json:"echoMs"`
	Starts []StartOrder `json:"starts,omitempty"`
	Stops  []TaskRef    `json:"stops,omitempty"`
	// CapacityIntervalMS is the minimum interval, in milliseconds, that the entry
	// wants between two reports that only update free capacity. Zero leaves the
	// previous value in force.
	CapacityIntervalMS int64 `json:"roomIntervalMs,omitempty"`
	// Entries lists the addresses of the entries. It is sent when the entry learns
	// of new ones.
	Entries      []netip.AddrPort `json:"entries,omitempty"`
	PlanRevision uint64           `json:"planRevision,omitempty"`
	Plan         *ccroute.Plan    `json:"plan,omitempty"`
}
