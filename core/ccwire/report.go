package ccwire

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// TaskCode is the state of a task at an agent.
type TaskCode string

const (
	// CodeDone is a task that ran and returned an answer.
	CodeDone TaskCode = "done"
	// CodeFailed is a task that ran and failed.
	CodeFailed TaskCode = "failed"
	// CodeLost is a task that may have reached the target, with no known answer.
	CodeLost TaskCode = "lost"
	// CodeRunning is a task that has started and not ended.
	CodeRunning TaskCode = "running"
	// CodeFull is a task that did not start because no slot was free.
	CodeFull TaskCode = "full"
	// CodeStale is a task that did not start because the dispatch was too old or
	// its settings version was lower than the agent's.
	CodeStale TaskCode = "stale"
	// CodeClosed is a task that did not start because the agent is leaving or its
	// failure domain is out of service.
	CodeClosed TaskCode = "closed"
	// CodeFenced is a task that did not start because a later claim or a revoke
	// arrived first.
	CodeFenced TaskCode = "fenced"
	// CodeRefused is a task that did not start because its target refused the
	// connection.
	CodeRefused TaskCode = "refused"
)

// Started reports whether the task reached, or may have reached, the target.
func (c TaskCode) Started() bool {
	switch c {
	case CodeFull, CodeStale, CodeClosed, CodeFenced, CodeRefused:
		return false
	default:
		return true
	}
}

// Report carries the results of tasks and the agent's free slots. It is a
// notification from agent to entry, and the reply to Probe.
type Report struct {
	Agent   ccnode.Ref `json:"agent"`
	Session uint64     `json:"session"`
	// HandledSeq is the Seq of the newest dispatch of this session that the agent
	// has handled.
	HandledSeq uint64 `json:"seen"`
	// Clock is the agent's monotonic clock, in milliseconds since its start.
	Clock   int64  `json:"clock"`
	Version uint64 `json:"version"`
	// FreeSlots counts the slots that neither run a task nor are reserved for
	// another entry.
	FreeSlots int `json:"free"`
	// OfferedSlots is how many of the free slots are reserved for this entry for a
	// short time, in response to WantSlots.
	OfferedSlots int         `json:"offer"`
	Leaving      bool        `json:"leaving"`
	Jobs         []ReportJob `json:"jobs,omitempty"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// ReportJob is the part of a report that belongs to one job.
type ReportJob struct {
	ID    ccjob.ID     `json:"id"`
	Claim uint64       `json:"claim"`
	Tasks []TaskReport `json:"tasks"`
}

// TaskReport is the state of one attempt of one task.
type TaskReport struct {
	Index   int      `json:"index"`
	Attempt int      `json:"attempt"`
	Code    TaskCode `json:"code"`
	Payload string   `json:"payload,omitempty"`
	Reason  string   `json:"reason,omitempty"`
	RunMS   float64  `json:"runMS,omitempty"` // Run time at the target, in milliseconds.
}

// Probe asks a silent agent for a report, to find out whether it is alive.
type Probe struct {
	Agent   ccnode.Ref `json:"agent"`
	Session uint64     `json:"session"`
}
