package cclease

import "time"

// Bounds on how long a run can outlive the contact with its entry. Their sum,
// RunsExpireAfter, stays below the 1.3 s after which a caller resubmits a job to
// another entry.
const (
	// OwnerTimeout is how long an entry may be silent before its runs are stopped.
	OwnerTimeout = 400 * time.Millisecond
	// StopGrace is how long a stop may remain unconfirmed before the lease is no
	// longer renewed.
	StopGrace = 100 * time.Millisecond
	// LeaseDuration is the duration of a lease. The worker accepts at most 1 s.
	LeaseDuration = 600 * time.Millisecond
	// maxClockDrift is by how many percent the worker's clock may run slow, as
	// guaranteed by the platform.
	maxClockDrift = 2
	// RunsExpireAfter is the time from the last message of an agent until its runs
	// have certainly ended: the sum of the three bounds, including clock drift, plus
	// 30 ms for delays.
	RunsExpireAfter = OwnerTimeout + StopGrace + maxLeaseDuration + 30*time.Millisecond
	// maxLeaseDuration is how long a lease can last by an accurate clock, plus 5 ms
	// for the worker to end its runs.
	maxLeaseDuration = LeaseDuration*100/(100-maxClockDrift) + 5*time.Millisecond
	// longestLeaseDuration is the same for a lease whose end is on the clock of an earlier
	// incarnation: the worker shortens it to 1 s.
	longestLeaseDuration = time.Second*100/(100-maxClockDrift) + 5*time.Millisecond
)

const (
	// pollWait is how long the worker may hold a poll until a run ends. If the
	// response is lost, the ends in it are seen that much later, in the next poll.
	pollWait = 60 * time.Millisecond
	// maxMissedPolls is how many consecutive polls may fail before the worker counts
	// as unresponsive. It is not zero because single responses get lost.
	maxMissedPolls = 1
	// maxStopDuration is the longest time that a worker takes to end a stopped run.
	maxStopDuration = 50 * time.Millisecond
	// stopRetryInterval is the delay before an unconfirmed stop is repeated.
	stopRetryInterval = 30 * time.Millisecond
	// maxReportInterval is the longest time between two reports to an entry. It
	// allows for one lost report within OwnerTimeout.
	maxReportInterval = 150 * time.Millisecond
	// sessionTimeout is how long a session may be silent before it is closed and
	// reopened: four report intervals.
	sessionTimeout = 4 * maxReportInterval
	// oldEchoTimeout is the same for a session in which orders come, and maxOrdersGap the
	// longest time between two of them, a little more than the interval of an entry's heartbeats.
	oldEchoTimeout = 2 * sessionTimeout
	maxOrdersGap   = 330 * time.Millisecond
	// unhealthyPause is how long a worker gets no starts after it refused one
	// because it is unhealthy.
	unhealthyPause = 300 * time.Millisecond
	// endRetention is how long an end is kept for an entry that reconnects.
	endRetention = time.Second
	// ownerRetention is how long the state of a disconnected entry is kept. Its runs
	// have ended long before.
	ownerRetention = 10 * time.Minute
	// heartbeatTimeout is how long after its last heartbeat a worker still gets
	// starts: a little more than three of the platform's usual heartbeat intervals.
	heartbeatTimeout = 5 * time.Second
)
