package ccload

import (
	"time"

	"camphorcroft/core/ccjob"
)

// Result is the outcome of one arrival as its client observed it.
type Result struct {
	Number int
	JobID  ccjob.ID
	// Response is the time from the planned time of the arrival to the last byte
	// of the answer.
	Response time.Duration
	// SubmitDelay is the time from the planned to the actual submission.
	SubmitDelay time.Duration
	// CallDuration is the time from the submission to the answer. Refusal times are
	// measured by it.
	CallDuration time.Duration
	// Answered is false if the client got no answer or closed its connection.
	Answered bool
	// Left is true if the client closed its connection as planned.
	Left  bool
	State ccjob.State
	Kind  ccjob.Kind
	// NotRun is true if each submission of the job was answered with the guarantee
	// that it has not run. The job must then never run.
	NotRun bool
	// NotRunUntil is the time of the last such answer if another submission may have
	// led to a later run. It is zero if there was no such answer.
	NotRunUntil time.Time
	// Wrong is true if the answer is incomplete, out of order, or another job's.
	Wrong bool
}

// Start records the start of a task at a target.
type Start struct {
	JobID  ccjob.ID
	Index  int
	At     time.Time
	Target int // Position in the profile, from zero.
	Domain string
}

// Messages counts the messages between the processes of the fleet.
type Messages struct {
	// Dispatch counts messages with tasks from entries to agents.
	Dispatch uint64 `json:"dispatch"`
	// Report counts messages from agents to entries.
	Report uint64 `json:"report"`
	// Claims counts messages between entries.
	Claims uint64 `json:"claims"`
	// Control counts all other messages.
	Control uint64 `json:"control"`
	// Sent counts the sends of tasks to agents. Sends beyond the number of tasks are
	// of tasks that were returned without a start.
	Sent uint64 `json:"sent"`
}

// Minus returns the difference to an earlier count.
func (m Messages) Minus(earlier Messages) Messages {
	return Messages{
		Dispatch: m.Dispatch - earlier.Dispatch,
		Report:   m.Report - earlier.Report,
		Claims:   m.Claims - earlier.Claims,
		Control:  m.Control - earlier.Control,
		Sent:     m.Sent - earlier.Sent,
	}
}

// Plus returns the sum of two counts.
func (m Messages) Plus(other Messages) Messages {
	return Messages{
		Dispatch: m.Dispatch + other.Dispatch,
		Report:   m.Report + other.Report,
		Claims:   m.Claims + other.Claims,
		Control:  m.Control + other.Control,
		Sent:     m.Sent + other.Sent,
	}
}
