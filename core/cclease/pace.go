package cclease

import (
	"slices"
	"time"
)

const (
	// minPaceWeight is the minimum weight of the newest run in the moving average.
	// Estimates are off by 40%, so a mean of ten runs is off by an eighth.
	minPaceWeight = 0.1
	// minPace and maxPace bound the contribution of a single run.
	minPace = 0.1
	maxPace = 20
	// minPaceSample is how long a run must have been running before its duration is
	// extrapolated from its progress, which the worker reports in whole percents.
	minPaceSample = 60 * time.Millisecond
	// minPaceJobs is the minimum number of jobs with measurable running tasks from which
	// a slow worker is inferred.
	minPaceJobs = 3
	// slowPaceFactor is how many times slower than the learned pace the running tasks
	// must be to count. Tasks seen running are biased toward the longer ones.
	slowPaceFactor = 2
)

// pace is the ratio of actual to estimated run time on the worker. It is reported to
// all entries, so that each benefits from the runs of the others.
type pace struct {
	learned float64
	samples int
	// slowdown is the pace of the running tasks while they are much slower than the
	// learned pace, and zero otherwise.
	slowdown float64
}

// value returns the current pace. It is 1 before any run has ended.
func (p *pace) value() float64 {
	switch {
	case p.slowdown > 0:
		return p.slowdown
	case p.samples == 0:
		return 1
	default:
		return p.learned
	}
}

// observe updates the learned pace with a run that succeeded.
func (p *pace) observe(actual, estimate time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	p.samples++
	// The initial value counts as one run.
	weight := max(minPaceWeight, 1/float64(p.samples+1))
	if p.samples == 1 {
		p.learned = 1
	}
	p.learned = p.learned*(1-weight) + paceRatio(actual, estimate)*weight
}

func paceRatio(actual, estimate time.Duration) float64 {
	return min(max(float64(actual)/float64(estimate), minPace), maxPace)
}

// detectSlowdown compares the running tasks with the learned pace. It reports whether
// the worker has become slow or has recovered.
func (p *pace) detectSlowdown(runs []*run) bool {
	wasSlow := p.slowdown > 0
	p.slowdown = 0
	learned := p.value()
	if median := medianRunningPace(runs); median > slowPaceFactor*learned {
		p.slowdown = median
	}
	return wasSlow != (p.slowdown > 0)
}

// medianRunningPace returns the median pace of the jobs with running tasks, or zero if
// there are fewer than minPaceJobs. The tasks of a job take the same time, so each job
// counts once.
func medianRunningPace(runs []*run) float64 {
	ratios := make([]float64, 0, len(runs))
	jobs := make([]string, 0, len(runs))
	for _, r := range runs {
		elapsed := r.percentAt.Sub(r.started)
		if r.phase != phaseRunning || r.estimate <= 0 || elapsed < minPaceSample || slices.Contains(jobs, r.task.Job) {
			continue
		}
		jobs = append(jobs, r.task.Job)
		// The worker rounds down, so one percent more is an upper bound of the progress.
		ratios = append(ratios, paceRatio(elapsed*100/time.Duration(r.percent+1), r.estimate))
	}
	if len(ratios) < minPaceJobs {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
