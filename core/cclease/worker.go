package cclease

import (
	"net/netip"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// Worker is the content of a worker's heartbeat.
type Worker struct {
	ID string
	// StartTime distinguishes the incarnations of a worker with the same ID.
	StartTime time.Time
	Service   string
	Domain    string
	// Address is where the worker says that it listens. The agent calls the address in its
	// own configuration.
	Address  netip.AddrPort
	Labels   []string
	Capacity ccresource.Amount
	Draining bool
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	// Clock is the worker's clock when it sent the heartbeat. Zero means unknown.
	Clock time.Duration
}

// sameIncarnation reports whether two heartbeats are of the same incarnation of a worker.
func (w Worker) sameIncarnation(other Worker) bool {
	return w.ID == other.ID && w.StartTime.Equal(other.StartTime)
}

// restarted returns what is known of the worker's incarnation that started at the given time,
// before its first heartbeat: heartbeats and the clock of each incarnation count anew.
func (w Worker) restarted(startTime time.Time) *Worker {
	w.StartTime, w.Sequence, w.Clock, w.Draining = startTime, 0, 0, false
	return &w
}

// Status classifies the outcome of a call to the worker.
type Status string

const (
	// StatusOK means that the worker executed the call.
	StatusOK Status = "ok"
	// StatusNoCapacity means that the worker has no capacity for the start.
	StatusNoCapacity Status = "noRoom"
	// StatusStaleRun means that the start's run number is not higher than that of an
	// ended run.
	StatusStaleRun Status = "oldRun"
	// StatusLeaseExpired means that the start's lease had expired when it arrived.
	StatusLeaseExpired Status = "late"
	// StatusFenced means that the call's fencing token is too low.
	StatusFenced Status = "fenced"
	// StatusWrongInstance means that the call reached a different worker instance from
	// the one that it names.
	StatusWrongInstance Status = "otherLife"
	// StatusUnhealthy means that an unhealthy worker did not execute the call.
	StatusUnhealthy Status = "unhealthy"
	// StatusInvalid means that the worker will never accept the call.
	StatusInvalid Status = "invalid"
	// StatusConnRefused means that nothing listens at the worker's address: the worker
	// is down.
	StatusConnRefused Status = "gone"
	// StatusNoResponse means that no response was received: the worker may have executed
	// the call, or may still do so.
	StatusNoResponse Status = "none"
	// StatusNotSent means that the call was not sent, since no connection to the incarnation
	// that it names could be had. The response may name the incarnation that answered instead.
	StatusNotSent Status = "notSent"
)

// StartCall requests the start of a run.
type StartCall struct {
	// Number distinguishes the calls of one agent incarnation.
	Number uint64
	Worker string
	// Incarnation is the start time of the worker's incarnation that the call is for. No other
	// one may receive it, since LeaseEnd is a time on the clock of this one.
	Incarnation time.Time
	Task        ccwire.TaskRef
	Run         uint64
	Payload     string
	Token       uint64
	// LeaseEnd is when the worker's lease ends, on the worker's clock.
	LeaseEnd time.Duration
	Sent     time.Time
}

// StopCall requests the stop of a run. If the worker does not have the run, it must
// refuse a start of it that arrives later.
type StopCall struct {
	Worker string
	Task   ccwire.TaskRef
	Run    uint64
	Token  uint64
	Sent   time.Time
}

// PollCall renews the worker's lease and requests its active and ended runs.
type PollCall struct {
	Worker string
	// Incarnation is the same as that of a StartCall if the poll renews the lease. Any
	// incarnation may receive the others.
	Incarnation time.Time
	Token       uint64
	// Ack acknowledges the ends up to this number.
	Ack uint64
	// LeaseEnd is when the lease ends, on the worker's clock. Zero does not renew the
	// lease.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its response until a run ends.
	Wait time.Duration
	Sent time.Time
	// Probe is set if the call only makes the worker known, and known to it, while a start
	// may still arrive. It is sent beside other polls.
	Probe bool
}

// Response is the part of a response that all calls have in common.
type Response struct {
	Status Status
	// Clock is the worker's clock when it responded. Zero means unknown.
	Clock time.Duration
	// StartTime is when the incarnation that responded started. Zero means unknown.
	StartTime time.Time
}

// PollResponse is the response to a PollCall.
type PollResponse struct {
	Response
	Running []ActiveRun
	Ended   []EndedRun
	// Incomplete means that Running lacks runs that could not be read: a run that is not
	// listed may be active.
	Incomplete bool
	// EndsUnnumbered means that some ends can't be acknowledged yet, since their numbers
	// could not be read. The worker lists them again with the next poll.
	EndsUnnumbered bool
}

// ActiveRun is an entry of the worker's list of active runs. A Run of zero and a negative
// Percent could not be read.
type ActiveRun struct {
	Task    ccwire.TaskRef
	Run     uint64
	Percent int
}

// EndedRun is an entry of the worker's list of ended runs. A Number of zero could not be
// read.
type EndedRun struct {
	Number uint64
	Task   ccwire.TaskRef
	Run    uint64
	End    ccwire.RunOutcome
}
