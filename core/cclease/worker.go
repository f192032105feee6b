package cclease

import (
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// Worker is what a worker says of itself in a heartbeat.
type Worker struct {
	ID string
	// StartTime tells the worker's lives apart: the time of its start.
	StartTime time.Time
	Service   string
	Domain    string
	Labels    []string
	Capacity  ccresource.Amount
	Draining  bool
	// Sequence grows with each heartbeat of one life.
	Sequence uint64
	// Clock is the worker's own clock when it sent the heartbeat. Zero is unknown.
	Clock time.Duration
}

// Status sorts the worker's answers to a call.
type Status string

const (
	// StatusOK is a call that was carried out.
	StatusOK Status = "ok"
	// StatusNoCapacity is a start that the worker has no room for.
	StatusNoCapacity Status = "noRoom"
	// StatusStaleRun is a start whose run number is not higher than an ended one.
	StatusStaleRun Status = "oldRun"
	// StatusLeaseExpired is a start whose lease was over when it arrived.
	StatusLeaseExpired Status = "late"
	// StatusFenced is a call with a fencing token that is too low.
	StatusFenced Status = "fenced"
	// StatusWrongInstance is a call that reached another life of the worker.
	StatusWrongInstance Status = "otherLife"
	// StatusUnhealthy is a call that an unhealthy worker did not carry out.
	StatusUnhealthy Status = "unhealthy"
	// StatusInvalid is a call that the worker will never take.
	StatusInvalid Status = "invalid"
	// StatusConnRefused is a worker that nothing listens for: it is down.
	StatusConnRefused Status = "gone"
	// StatusNoResponse is a call without an answer: it may have been carried out, or may
	// be later.
	StatusNoResponse Status = "none"
)

// StartCall asks the worker to start a run.
type StartCall struct {
	Worker  string
	Task    ccwire.TaskRef
	Run     uint64
	Payload string
	Token   uint64
	// LeaseEnd is when the worker's lease ends, on the worker's clock.
	LeaseEnd time.Duration
}

// StopCall asks the worker to stop a run, and to refuse it if it is not there.
type StopCall struct {
	Worker string
	Task   ccwire.TaskRef
	Run    uint64
	Token  uint64
}

// PollCall renews the worker's lease and asks what runs and what has ended.
type PollCall struct {
	Worker string
	Token  uint64
	// Ack acknowledges the ends up to this number.
	Ack uint64
	// LeaseEnd is when the lease ends, on the worker's clock. Zero renews nothing.
	LeaseEnd time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	Sent time.Time
}

// Response is what came back of any call.
type Response struct {
	Status Status
	// Clock is the worker's clock when it answered. Zero is unknown.
	Clock time.Duration
	// StartTime is the start of the life that answered. Zero is unknown.
	StartTime time.Time
}

// PollResponse is the answer to a LookCall.
type PollResponse struct {
	Response
	Running []ActiveRun
	Ended   []EndedRun
}

// ActiveRun is a run that is alive.
type ActiveRun struct {
	Task    ccwire.TaskRef
	Run     uint64
	Percent int
}

// EndedRun is an entry of the worker's list of ends.
type EndedRun struct {
	Number uint64
	Task   ccwire.TaskRef
	Run    uint64
	End    ccwire.RunEnd
}
