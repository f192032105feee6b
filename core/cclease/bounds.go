package cclease

import "time"

// The bounds that make a run certainly over. Their sum, RunsOverAfter, stays
// below the 1.3 s after which a caller sends a job again to another entry.
const (
	// OwnerTimeout is how long an entry may be silent before its runs are stopped.
	OwnerTimeout = 400 * time.Millisecond
	// StopGrace is how long a stop may lack its answer before the lease is no
	// longer renewed.
	StopGrace = 100 * time.Millisecond
	// LeaseDuration is the life of a lease. The worker's upper bound is 1 s.
	LeaseDuration = 600 * time.Millisecond
	// clockDrift is by how many percent the worker's clock may be slow: the
	// platform's bound.
	clockDrift = 2
	// RunsExpireAfter is the time from an agent's last word to the end of its runs:
	// the sum of the three bounds, with the drift and 30 ms for delays.
	RunsExpireAfter = OwnerTimeout + StopGrace + leaseAtMost + 30*time.Millisecond
	// leaseAtMost is how long a lease lasts on a clock that is right, with 5 ms for
	// the worker to end its runs.
	leaseAtMost = LeaseDuration*100/(100-clockDrift) + 5*time.Millisecond
)

const (
	// lookWait is how long a renewal waits for an end. Where its answer is lost, the
	// ends that it would have told are seen that much later, at the next look.
	lookWait = 60 * time.Millisecond
	// missesAllowed is how many looks in a row may lack their answer before the
	// worker is taken for silent: answers are lost one by one.
	missesAllowed = 1
	// stopTime is how long a worker takes at the most to end a stopped run.
	stopTime = 50 * time.Millisecond
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 30 * time.Millisecond
	// reportInterval is the longest pause between two reports to an entry; it
	// leaves room for one lost report within OwnerSilence.
	reportInterval = 150 * time.Millisecond
	// sessionSilence is how long a session may be silent before it is given up and
	// opened anew: four report intervals.
	sessionSilence = 4 * reportInterval
	// unhealthyPause is how long a worker that refused a start as unhealthy gets
	// no more starts.
	unhealthyPause = 300 * time.Millisecond
	// lateAnswers is how long an end is kept for an entry that reconnects.
	lateAnswers = time.Second
	// forgetAfter is how long an entry that is gone is remembered; its runs are long
	// over by then.
	forgetAfter = 10 * time.Minute
	// workerSilence is how long a worker may send no heartbeat and still be given
	// starts: three of the platform's usual heartbeats and a little more.
	workerSilence = 5 * time.Second
)
