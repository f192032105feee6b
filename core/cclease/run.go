package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// phase is where a run stands at the worker.
type phase int

const (
	// phaseStarting is a start whose answer is awaited.
	phaseStarting phase = iota
	// phaseUnsure is a start without an answer: the run may be there.
	phaseUnsure
	// phaseRunning is a run that the worker has confirmed.
	phaseRunning
	// phaseStopping is a run that is to end: a stop is awaited or to be repeated.
	phaseStopping
	// phaseStopped is a run whose stop is confirmed, and whose end is not listed.
	phaseStopped
)

// run is one order that has not ended. It holds its room until it has.
type run struct {
	task    ccwire.TaskRef
	number  uint64
	attempt int
	owner   ccnode.ID
	need    ccresource.Amount
	payload string
	// expected is how long the task takes by its caller's estimate.
	expected time.Duration
	phase    phase
	// settled is when the latest answer about the run came: a list that was asked
	// for later and lacks the run proves that it is over.
	settled  time.Time
	started  time.Time
	stopFrom time.Time // When the first stop was sent. Zero is never.
	stopDue  time.Time // When the next stop is to be sent. Zero while one is awaited.
	// listed is that the worker's present life has listed the run.
	listed  bool
	percent int
	// sampled is when percent was listed, and moved when it last grew.
	sampled time.Time
	moved   time.Time
	stalled bool
	retries int
}
