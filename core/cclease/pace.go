package cclease

import (
	"slices"
	"time"
)

const (
	// paceWeight is the least weight of the newest run in a worker's pace: estimates
	// are off by 40 %, so that the mean of ten is off by an eighth.
	paceWeight = 0.1
	// paceMin and paceMax bound what one run says.
	paceMin = 0.1
	paceMax = 20
	// paceSample is the least time for which a run must have been at work before its
	// progress says how long it will take: the worker tells whole percents.
	paceSample = 60 * time.Millisecond
	// paceJobs is of how many jobs runs must be slow before the worker is.
	paceJobs = 3
	// paceSlow is how many times slower than learned the runs at work must be before
	// they count: the ones that are at work are the longer ones.
	paceSlow = 2
)

// pace is how many times as long as estimated runs take at the worker. All entries
// are told, so that each knows what the runs of all have shown.
type pace struct {
	factor float64
	runs   int
	// now is what the runs at work show while they are much slower. Zero is that
	// they are not.
	now float64
}

// value returns the pace. It is 1 before any run has ended.
func (p *pace) value() float64 {
	switch {
	case p.now > 0:
		return p.now
	case p.runs == 0:
		return 1
	default:
		return p.factor
	}
}

// learn takes a run that ended well.
func (p *pace) learn(ran, expected time.Duration) {
	if expected <= 0 || ran <= 0 {
		return
	}
	p.runs++
	// The start value counts as one run.
	weight := max(paceWeight, 1/float64(p.runs+1))
	if p.runs == 1 {
		p.factor = 1
	}
	p.factor = p.factor*(1-weight) + paceRatio(ran, expected)*weight
}

func paceRatio(ran, expected time.Duration) float64 {
	return min(max(float64(ran)/float64(expected), paceMin), paceMax)
}

// watch compares the runs at work with the pace that was learned. It reports whether
// the worker has turned slow, or is no longer.
func (p *pace) watch(order []*run) bool {
	slow := p.now > 0
	p.now = 0
	learned := p.value()
	if median := workingPace(order); median > paceSlow*learned {
		p.now = median
	}
	return slow != (p.now > 0)
}

// workingPace returns the median pace of the jobs whose runs are at work, or zero if
// they are too few to tell. A job's runs take the same time, so each job counts once.
func workingPace(order []*run) float64 {
	ratios := make([]float64, 0, len(order))
	jobs := make([]string, 0, len(order))
	for _, r := range order {
		worked := r.sampled.Sub(r.started)
		if r.phase != phaseRunning || r.expected <= 0 || worked < paceSample || slices.Contains(jobs, r.task.Job) {
			continue
		}
		jobs = append(jobs, r.task.Job)
		// The worker rounds down, so one percent more is the most that is done.
		ratios = append(ratios, paceRatio(worked*100/time.Duration(r.percent+1), r.expected))
	}
	if len(ratios) < paceJobs {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
