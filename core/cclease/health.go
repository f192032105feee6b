package cclease

import (
	"time"
)

const (
	// maxFailures is how many consecutive runs of different jobs must fail or stall
	// before the worker gets no starts.
	maxFailures = 3
	// stallTimeout is how long a run may make no progress. The longest run at the
	// known sites takes 3.6 s, so it gains one percent every 36 ms on a healthy worker.
	stallTimeout = 250 * time.Millisecond
	// minPause and maxPause bound how long a failing worker gets no starts. The pause
	// doubles with each further failure.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
)

// health is a circuit breaker for the worker. It is shared by all entries, since it
// sees all of the worker's runs.
type health struct {
	failures      int
	lastFailedJob string
	pause         time.Duration // Zero while the worker is healthy.
	pausedUntil   time.Time
	reason        string
}

// recordFailure counts a run that failed or stalled. Repeated failures of the same
// job count once, since they are no further evidence against the worker. It reports
// whether the worker gets no starts for now.
func (h *health) recordFailure(now time.Time, job, reason string) bool {
	if job == h.lastFailedJob {
		return false
	}
	h.lastFailedJob = job
	h.failures++
	if h.pause == 0 && h.failures < maxFailures {
		return false
	}
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.pausedUntil = now.Add(h.pause)
	h.failures = 0
	h.reason = reason
	return true
}

// recordSuccess resets the breaker after a successful run.
func (h *health) recordSuccess() { *h = health{} }

// closedReason returns why no start is accepted: the worker is paused, or it is
// limited to one run at a time until a run succeeds. Empty means that starts are
// accepted.
func (h *health) closedReason(now time.Time, activeRuns int) string {
	switch {
	case h.pause == 0:
		return ""
	case now.Before(h.pausedUntil):
		return h.reason
	case activeRuns > 0:
		return "worker is on trial"
	default:
		return ""
	}
}

// workerSuspected reports whether a failure is likely caused by the worker rather
// than by the job.
func (h *health) workerSuspected() bool { return h.failures >= maxFailures-1 || h.pause > 0 }
