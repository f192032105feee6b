package ccjob

import "time"

// State is the progress of a job. It is part of the client API.
type State string

const (
	// StateWaiting is a job of which no task has started yet.
	StateWaiting State = "waiting"
	// StateRunning is a job of which at least one task was sent to a target.
	StateRunning State = "running"
	// StateComplete is a job of which every task has an answer.
	StateComplete State = "complete"
	// StateFailed is a job that ended without the answers of all its tasks.
	StateFailed State = "failed"
	// StateRefused is a job that was refused before any task started.
	StateRefused State = "refused"
)

// Answer holds the result of one task.
type Answer struct {
	Index   int    `json:"index"`
	Payload string `json:"payload"`
}

// Outcome is the final result of a job. Answers has the answers of all tasks if
// State is StateComplete, and is empty otherwise.
type Outcome struct {
	JobID   ID       `json:"jobID"`
	State   State    `json:"state"`
	Answers []Answer `json:"answers,omitempty"`
	// NotRun guarantees that no task of the job has started, and that none will
	// start because of this submission.
	NotRun bool   `json:"notRun"`
	Kind   Kind   `json:"kind,omitempty"`
	Reason string `json:"reason,omitempty"`
	// RetryAfter is how long the client should wait before it retries. Zero means
	// that there is no recommendation.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// Refuse returns the outcome of a job that was refused before any task started.
func Refuse(id ID, kind Kind, reason string) Outcome {
	return Outcome{JobID: id, State: StateRefused, NotRun: true, Kind: kind, Reason: reason}
}

// Fail returns the outcome of a job that ended without the answers of all its tasks.
// Set notRun only if it is proved.
func Fail(id ID, kind Kind, notRun bool, reason string) Outcome {
	return Outcome{JobID: id, State: StateFailed, NotRun: notRun, Kind: kind, Reason: reason}
}

// Complete returns the outcome of a job with the answers of all its tasks, which must
// be in task order.
func Complete(id ID, answers []Answer) Outcome {
	return Outcome{JobID: id, State: StateComplete, Answers: answers}
}
