package cctarget

import (
	"time"

	"camphorcroft/core/ccjob"
)

const (
	// window is how many ended tasks the failure share looks back on.
	window = 20
	// minFailures is how many jobs must have failed at a target, and at no other
	// one, before it is ejected.
	minFailures = 3
	// maxEjectFactor bounds how much longer repeated ejections last.
	maxEjectFactor = 8
	// endedTrial is the least trial that can end one: it takes a success, also
	// at a target with a single slot or with none for a moment.
	endedTrial = 2
)

// HealthConfig says when a target is ejected, and for how long.
type HealthConfig struct {
	FailureShare float64 // Zero never ejects.
	EjectFor     time.Duration
}

// Health decides how much of its slots a target may be given. A target that
// fails everything at once looks idle and would otherwise draw all work.
type Health struct {
	cfg     HealthConfig
	results []result // The newest at the end, at most window.
	ejected time.Time
	factor  int // How many times EjectFor the next ejection lasts.
	trial   int // Tasks allowed at once after an ejection; zero is all.
}

type result struct {
	job    ccjob.ID // Set where it failed.
	failed bool
}

// NewHealth returns the health of a target that nothing is known of.
func NewHealth(cfg HealthConfig) *Health {
	return &Health{cfg: cfg, factor: 1}
}

// Configure takes new settings and keeps what was learned.
func (h *Health) Configure(cfg HealthConfig) { h.cfg = cfg }

// RecordSuccess notes a task that ended well.
func (h *Health) RecordSuccess(now time.Time) {
	h.add(result{})
	if h.trial > 0 && now.After(h.ejected) {
		h.trial *= 2
	}
}

// RecordFailure notes a task that failed here, and reports whether that ejects the
// target.
func (h *Health) RecordFailure(now time.Time, job ccjob.ID) bool {
	h.add(result{job: job, failed: true})
	if h.cfg.FailureShare == 0 || now.Before(h.ejected) {
		return false
	}
	if h.trial == 0 && !h.overShare() {
		return false
	}
	h.ejected = now.Add(time.Duration(h.factor) * h.cfg.EjectFor)
	h.factor = min(h.factor*2, maxEjectFactor)
	h.trial = 1
	h.results = h.results[:0]
	return true
}

// DiscardFailures takes back the failures of a job that failed at another target too:
// the fault is the job's.
func (h *Health) DiscardFailures(job ccjob.ID) {
	for i := range h.results {
		if h.results[i].failed && h.results[i].job == job {
			h.results[i] = result{}
		}
	}
}

// AllowedSlots returns how many of the slots may be in use now.
func (h *Health) AllowedSlots(now time.Time, slots int) int {
	if now.Before(h.ejected) {
		return 0
	}
	if h.trial > 0 && h.trial < max(slots, endedTrial) {
		return min(h.trial, slots)
	}
	if h.trial > 0 {
		h.trial, h.factor = 0, 1
	}
	return slots
}

// Ejected reports whether the target gets no work now.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejected) }

func (h *Health) add(r result) {
	if len(h.results) == window {
		h.results = append(h.results[:0], h.results[1:]...)
	}
	h.results = append(h.results, r)
}

// overShare counts each failing job once, so that one large bad job ejects
// nobody.
func (h *Health) overShare() bool {
	failed := 0
	jobs := make(map[ccjob.ID]struct{})
	for _, r := range h.results {
		if r.failed {
			failed++
			jobs[r.job] = struct{}{}
		}
	}
	return len(jobs) >= minFailures && float64(failed) >= h.cfg.FailureShare*float64(len(h.results))
}
