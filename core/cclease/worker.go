package cclease

import (
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// Worker is what a worker says of itself in a heartbeat.
type Worker struct {
	ID string
	// Born tells the worker's lives apart: the time of its start.
	Born     time.Time
	Service  string
	Domain   string
	Labels   []string
	Capacity ccresource.Amount
	Draining bool
	// Sequence grows with each heartbeat of one life.
	Sequence uint64
	// Clock is the worker's own clock when it sent the heartbeat. Zero is unknown.
	Clock time.Duration
}

// Reply sorts the worker's answers to a call.
type Reply string

const (
	// ReplyOK is a call that was carried out.
	ReplyOK Reply = "ok"
	// ReplyNoRoom is a start that the worker has no room for.
	ReplyNoRoom Reply = "noRoom"
	// ReplyOldRun is a start whose run number is not higher than an ended one.
	ReplyOldRun Reply = "oldRun"
	// ReplyLate is a start whose lease was over when it arrived.
	ReplyLate Reply = "late"
	// ReplyFenced is a call with a fencing token that is too low.
	ReplyFenced Reply = "fenced"
	// ReplyOtherLife is a call that reached another life of the worker.
	ReplyOtherLife Reply = "otherLife"
	// ReplyUnhealthy is a call that an unhealthy worker did not carry out.
	ReplyUnhealthy Reply = "unhealthy"
	// ReplyInvalid is a call that the worker will never take.
	ReplyInvalid Reply = "invalid"
	// ReplyGone is a worker that nothing listens for: it is down.
	ReplyGone Reply = "gone"
	// ReplyNone is a call without an answer: it may have been carried out, or may
	// be later.
	ReplyNone Reply = "none"
)

// StartCall asks the worker to start a run.
type StartCall struct {
	Worker  string
	Task    ccwire.TaskRef
	Run     uint64
	Payload string
	Token   uint64
	// Until is when the worker's lease ends, on the worker's clock.
	Until time.Duration
}

// StopCall asks the worker to stop a run, and to refuse it if it is not there.
type StopCall struct {
	Worker string
	Task   ccwire.TaskRef
	Run    uint64
	Token  uint64
}

// LookCall renews the worker's lease and asks what runs and what has ended.
type LookCall struct {
	Worker string
	Token  uint64
	// Seen acknowledges the ends up to this number.
	Seen uint64
	// Until is when the lease ends, on the worker's clock. Zero renews nothing.
	Until time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	Sent time.Time
}

// Answer is what came back of any call.
type Answer struct {
	Reply Reply
	// Clock is the worker's clock when it answered. Zero is unknown.
	Clock time.Duration
	// Born is the start of the life that answered. Zero is unknown.
	Born time.Time
}

// Look is the answer to a LookCall.
type Look struct {
	Answer
	Running []Running
	Ended   []EndedRun
}

// Running is a run that is alive.
type Running struct {
	Task    ccwire.TaskRef
	Run     uint64
	Percent int
}

// EndedRun is an entry of the worker's list of ends.
type EndedRun struct {
	Number uint64
	Task   ccwire.TaskRef
	Run    uint64
	End    ccwire.RunOutcome
}
