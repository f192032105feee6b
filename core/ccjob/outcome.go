package ccjob

import "time"

// State is where a job stands. Clients see it.
type State string

const (
	// StateWaiting is a job with no task started yet.
	StateWaiting State = "waiting"
	// StateRunning is a job with at least one task sent to a target.
	StateRunning State = "running"
	// StateComplete is a job with the answer of every task.
	StateComplete State = "complete"
	// StateFailed is a job that ended without its whole answer.
	StateFailed State = "failed"
	// StateRefused is a job that was turned away before any task started.
	StateRefused State = "refused"
)

// Answer is what one task returned.
type Answer struct {
	Index   int    `json:"index"`
	Payload string `json:"payload"`
}

// Outcome is the end of a job. Answers is whole when State is StateComplete and
// empty otherwise.
type Outcome struct {
	JobID   ID       `json:"jobID"`
	State   State    `json:"state"`
	Answers []Answer `json:"answers,omitempty"`
	// NotRun is a promise that no task of the job started, and that none will
	// start because of this submission.
	NotRun bool   `json:"notRun"`
	Kind   Kind   `json:"kind,omitempty"`
	Reason string `json:"reason,omitempty"`
	// RetryAfter is how long the client should wait before it tries again. Zero
	// gives no advice.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// Refuse returns the outcome of a job that was turned away before any task
// started.
func Refuse(id ID, kind Kind, reason string) Outcome {
	return Outcome{JobID: id, State: StateRefused, NotRun: true, Kind: kind, Reason: reason}
}

// Fail returns the outcome of a job that ended without its whole answer. Pass
// notRun only where it is proved.
func Fail(id ID, kind Kind, notRun bool, reason string) Outcome {
	return Outcome{JobID: id, State: StateFailed, NotRun: notRun, Kind: kind, Reason: reason}
}

// Complete returns the outcome of a job with the answers of all its tasks, in
// the order of the tasks.
func Complete(id ID, answers []Answer) Outcome {
	return Outcome{JobID: id, State: StateComplete, Answers: answers}
}
