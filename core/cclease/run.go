package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// phase is the state of a run on the worker.
type phase int

const (
	// phaseStarting means that the start is in flight.
	phaseStarting phase = iota
	// phaseUnconfirmed means that the start got no response: the run may exist.
	phaseUnconfirmed
	// phaseRunning means that the worker has confirmed the run.
	phaseRunning
	// phaseStopping means that a stop is in flight or will be repeated.
	phaseStopping
	// phaseStopped means that the stop is confirmed, but the end is not listed yet.
	phaseStopped
)

// run is an order that has not ended. It reserves its capacity until it ends.
type run struct {
	task    ccwire.TaskRef
	number  uint64
	order   uint64     // The number of the start order.
	owner   ccnode.Ref // The entry that ordered the run. Zero is none.
	need    ccresource.Amount
	payload string
	// estimate is the caller's estimate of the task's duration.
	estimate time.Duration
	phase    phase
	// absentAfter is the time of the latest response about the run, plus maxStopDuration
	// once its stop is confirmed. If a list that was requested later lacks the run, the
	// run has ended.
	absentAfter time.Time
	started     time.Time
	// stopRequestedAt is when the first stop was requested, and stopDueAt the same or, if the
	// agent was late, when the entry had been silent for OwnerTimeout. Zero if none was requested.
	stopRequestedAt, stopDueAt time.Time
	stopRetryAt                time.Time // When the stop is repeated. Zero while one is in flight.
	// listed is set once the worker's current incarnation has listed the run.
	listed  bool
	percent int
	// percentAt is when percent was listed, and percentGrewAt when it last increased.
	percentAt     time.Time
	percentGrewAt time.Time
	stalled       bool
	// class and crashes are those of the order, for reports of crashes.
	class   uint32
	crashes int
	// worker is the number of the worker that the order names, or 0.
	worker  uint32
	retries int
	// unanswered is set if the start got no response and the worker has not restarted
	// since. repeats is how often such a start was repeated.
	unanswered bool
	repeats    int
}
