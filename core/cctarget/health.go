package cctarget

import (
	"time"

	"camphorcroft/core/ccjob"
)

const (
	// maxResults is the number of most recent task results from which the failure
	// share is computed.
	maxResults = 20
	// minFailedJobs is how many distinct jobs must have failed at a target, and at
	// no other, before the target is ejected.
	minFailedJobs = 3
	// maxEjectFactor limits how many times EjectFor a repeated ejection lasts.
	maxEjectFactor = 8
	// minTrialExit is the lowest trial limit at which a trial can end. It requires a
	// success even if the target has a single slot, or for a moment none.
	minTrialExit = 2
)

// HealthConfig configures when a target is ejected, and for how long.
type HealthConfig struct {
	FailureShare float64 // Share of failed tasks that ejects; zero disables ejection.
	EjectFor     time.Duration
}

// Health tracks a target's task results and decides how many of its slots may be
// used. Without it, a target that fails every task immediately would look idle and
// attract all work.
type Health struct {
	cfg          HealthConfig
	results      []result // Newest last; at most maxResults.
	ejectedUntil time.Time
	ejectFactor  int // The next ejection lasts this many times EjectFor.
	trialLimit   int // Limits concurrent tasks after an ejection; zero means no limit.
}

type result struct {
	job    ccjob.ID // Set only if the task failed.
	failed bool
}

// NewHealth returns the health of a target with no results yet.
func NewHealth(cfg HealthConfig) *Health {
	return &Health{cfg: cfg, ejectFactor: 1}
}

// Configure applies a new configuration and keeps the results.
func (h *Health) Configure(cfg HealthConfig) { h.cfg = cfg }

// RecordSuccess records a task that succeeded.
func (h *Health) RecordSuccess(now time.Time) {
	h.addResult(result{})
	if h.trialLimit > 0 && now.After(h.ejectedUntil) {
		h.trialLimit *= 2
	}
}

// RecordFailure records a task that failed at this target, and reports whether that
// ejects the target.
func (h *Health) RecordFailure(now time.Time, job ccjob.ID) bool {
	h.addResult(result{job: job, failed: true})
	if h.cfg.FailureShare == 0 || now.Before(h.ejectedUntil) {
		return false
	}
	if h.trialLimit == 0 && !h.reachesFailureShare() {
		return false
	}
	h.ejectedUntil = now.Add(time.Duration(h.ejectFactor) * h.cfg.EjectFor)
	h.ejectFactor = min(h.ejectFactor*2, maxEjectFactor)
	h.trialLimit = 1
	h.results = h.results[:0]
	return true
}

// DiscardFailures counts the failures of a job as successes. It is called for a job
// that failed at another target too, since then the job is at fault.
func (h *Health) DiscardFailures(job ccjob.ID) {
	for i := range h.results {
		if h.results[i].failed && h.results[i].job == job {
			h.results[i] = result{}
		}
	}
}

// AllowedSlots returns how many of the target's slots may be in use now.
func (h *Health) AllowedSlots(now time.Time, slots int) int {
	if now.Before(h.ejectedUntil) {
		return 0
	}
	if h.trialLimit > 0 && h.trialLimit < max(slots, minTrialExit) {
		return min(h.trialLimit, slots)
	}
	if h.trialLimit > 0 {
		h.trialLimit, h.ejectFactor = 0, 1
	}
	return slots
}

// Ejected reports whether the target is ejected and so gets no work.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *Health) addResult(r result) {
	if len(h.results) == maxResults {
		h.results = append(h.results[:0], h.results[1:]...)
	}
	h.results = append(h.results, r)
}

// reachesFailureShare reports whether the failures suffice for an ejection. Distinct
// jobs must have failed, so that one large faulty job doesn't eject targets.
func (h *Health) reachesFailureShare() bool {
	failed := 0
	jobs := make(map[ccjob.ID]struct{})
	for _, r := range h.results {
		if r.failed {
			failed++
			jobs[r.job] = struct{}{}
		}
	}
	return len(jobs) >= minFailedJobs && float64(failed) >= h.cfg.FailureShare*float64(len(h.results))
}
