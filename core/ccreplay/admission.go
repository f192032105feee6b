package ccreplay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccadmission"
)

const (
	// hopelessInterval is the time between two checks for jobs that can't be served.
	hopelessInterval = 20 * time.Millisecond
	// rateWindow is the time over which the rate of placements is measured.
	rateWindow = 500 * time.Millisecond
	// minRateTime is the shortest time from which a rate is taken.
	minRateTime = 200 * time.Millisecond
	// minRateSample is the least number of tasks from which a rate is taken.
	minRateSample = 10
	// minRate is the least rate of placements, in tasks per second, that is reckoned with.
	minRate = 1
	// maxRetryAfter limits what refused callers are told.
	maxRetryAfter = 5 * time.Second
)

// taskRate counts tasks per second, over the last window and the current one.
type taskRate struct {
	start    time.Time // Of the current window. Zero before the first task.
	current  int
	previous int
	measured time.Duration // The length of the previous window, or zero if there is none.
}

// reset starts the measurement anew.
func (r *taskRate) reset(now time.Time) { *r = taskRate{start: now} }

func (r *taskRate) add(now time.Time, tasks int) {
	if r.start.IsZero() {
		r.reset(now)
	}
	r.advance(now)
	r.current += tasks
}

func (r *taskRate) advance(now time.Time) {
	switch passed := now.Sub(r.start); {
	case passed >= 2*rateWindow:
		*r = taskRate{start: now, measured: rateWindow}
	case passed >= rateWindow:
		*r = taskRate{start: r.start.Add(rateWindow), previous: r.current, measured: rateWindow}
	}
}

// perSecond returns the rate, or zero if it was measured for too short a time to tell.
func (r *taskRate) perSecond(now time.Time) float64 {
	r.advance(now)
	elapsed := r.measured + now.Sub(r.start)
	if elapsed < minRateTime || r.previous+r.current < minRateSample {
		return 0
	}
	return float64(r.previous+r.current) / elapsed.Seconds()
}

// measureBacklog starts to measure the rate of placements anew whenever the queue has been
// empty: without a backlog, the rate says how much is asked for, not how much can be done.
func (s *Scheduler) measureBacklog(now time.Time) {
	backlog := s.hasDemand(now)
	if backlog && !s.backlog {
		s.placements.reset(now)
	}
	s.backlog = backlog
}

// backlogRate returns the rate at which tasks are placed while others wait, in tasks per
// second. It is zero if it is unknown.
func (s *Scheduler) backlogRate(now time.Time) float64 {
	if !s.backlog {
		return 0
	}
	return s.placements.perSecond(now)
}

// placementRateFor returns the rate, in tasks per second, at which tasks of a priority can
// be placed: that of all placements now, less that at which more urgent tasks arrive. It
// is zero if it is unknown.
func (s *Scheduler) placementRateFor(now time.Time, priority int) float64 {
	rate := s.backlogRate(now)
	if rate == 0 {
		return 0
	}
	for other, arrivals := range s.arrivals {
		if other < priority {
			rate -= arrivals.perSecond(now)
		}
	}
	return max(rate, minRate)
}

// countArrival counts the tasks of a new job.
func (s *Scheduler) countArrival(now time.Time, j *job) {
	priority := j.request.Route.Priority
	if s.arrivals[priority] == nil {
		s.arrivals[priority] = &taskRate{}
	}
	s.arrivals[priority].add(now, len(j.tasks))
	if s.admission != nil {
		s.admission.Arrived(now, priority, len(j.tasks))
	}
}

// refuseHopeless answers the queued jobs whose tasks can't get capacity in time: those
// before them in the queue would take it. It leaves jobs alone of which a task was placed.
func (s *Scheduler) refuseHopeless(now time.Time) {
	s.hopelessCheckedAt = now
	rates := map[int]float64{}
	ahead := 0
	var hopeless []*job
	for _, j := range s.queue {
		if !s.isWaiting(now, j) || s.isIsolated(j) {
			continue
		}
		priority := j.request.Route.Priority
		if _, known := rates[priority]; !known {
			rates[priority] = s.placementRateFor(now, priority)
		}
		if rates[priority] == 0 {
			return
		}
		wait := time.Duration(float64(ahead+j.queued) / rates[priority] * float64(time.Second))
		shortest := time.Duration(minEstimateFactor * float64(j.expected))
		if j.queued == len(j.tasks) && !j.mayHaveRun() && now.Add(wait+shortest).After(j.cutoff) {
			hopeless = append(hopeless, j)
			continue
		}
		ahead += j.queued
	}
	for _, j := range hopeless {
		s.answerJob(now, j, StateRefused, ccadmission.Reason)
	}
}

// retryAfter returns when a refused caller should come back: once the tasks that wait now
// have been placed. Callers are spread over as much time again, so that they don't return
// together.
func (s *Scheduler) retryAfter(now time.Time, id string) time.Duration {
	rate := s.backlogRate(now)
	if rate == 0 {
		return refusalRetryAfter
	}
	waiting := 0
	for _, j := range s.queue {
		if s.isWaiting(now, j) {
			waiting += j.queued
		}
	}
	drain := time.Duration(float64(waiting) / rate * float64(time.Second))
	spread := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return min(max(refusalRetryAfter, drain+time.Duration(spread*float64(drain))), maxRetryAfter)
}
