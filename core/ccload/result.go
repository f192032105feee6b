package ccload

import (
	"time"

	"camphorcroft/core/ccjob"
)

// Result is what a client saw of one arrival.
type Result struct {
	Number int
	JobID  ccjob.ID
	// Response counts from the planned time of the arrival to the last byte of
	// the answer.
	Response time.Duration
	// SubmitDelay is how long after the planned time the generator submitted the job.
	SubmitDelay time.Duration
	// CallDuration is from the submission to the answer, in which a refusal is judged.
	CallDuration time.Duration
	// Answered is false for a client that got no answer, or left.
	Answered bool
	// Left is a client that closed its connection as planned.
	Left  bool
	State ccjob.State
	Kind  ccjob.Kind
	// NotRun says that each submission of the job was answered with the promise
	// that it has not run, so that it never may.
	NotRun bool
	// NotRunUntil is when the last such promise came, if another submission may
	// have led to a later run. It is zero when there was none.
	NotRunUntil time.Time
	// Wrong is an answer that is not whole, not in order, or another job's.
	Wrong bool
}

// Start is one start of a task at a target.
type Start struct {
	JobID  ccjob.ID
	Index  int
	At     time.Time
	Target int // Position in the profile, from zero.
	Domain string
}

// Messages counts what the processes of the fleet sent each other.
type Messages struct {
	// Dispatch is messages with tasks from entries to agents.
	Dispatch uint64 `json:"dispatch"`
	// Report is messages from agents to entries.
	Report uint64 `json:"report"`
	// Claims is messages between entries.
	Claims uint64 `json:"claims"`
	// Control is all others.
	Control uint64 `json:"control"`
	// Sent is how often a task was sent to an agent. What exceeds the number of
	// tasks came back without a start.
	Sent uint64 `json:"sent"`
}

// Minus returns the messages since an earlier count.
func (m Messages) Minus(earlier Messages) Messages {
	return Messages{
		Dispatch: m.Dispatch - earlier.Dispatch,
		Report:   m.Report - earlier.Report,
		Claims:   m.Claims - earlier.Claims,
		Control:  m.Control - earlier.Control,
		Sent:     m.Sent - earlier.Sent,
	}
}

// Plus returns the messages of two counts together.
func (m Messages) Plus(other Messages) Messages {
	return Messages{
		Dispatch: m.Dispatch + other.Dispatch,
		Report:   m.Report + other.Report,
		Claims:   m.Claims + other.Claims,
		Control:  m.Control + other.Control,
		Sent:     m.Sent + other.Sent,
	}
}
