package ccadmission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StrainShare is the part of the time after which a job misses its objective from which a job
// that has waited so long shows that capacity is short. With 0.5 or without this condition,
// jobs were refused in short peaks in which all could be served.
const StrainShare = 0.8

const (
	// overloadAfter is how long tasks must have been waiting before an entry with a strained
	// job counts as overloaded, and relaxAfter how long nothing must have been waiting before
	// it no longer does. With 20 ms and without relaxAfter, jobs were refused at 70 % load in
	// the lab.
	overloadAfter = 100 * time.Millisecond
	relaxAfter    = 200 * time.Millisecond
	// holdTime is how long a job waits before an estimate refuses it. In that time free capacity
	// that the entry hasn't heard of may be offered to it. Without it twice as many jobs were
	// refused in the lab while less than 0.85 of the workers was used.
	holdTime = 20 * time.Millisecond
	// margin is by how much longer than expected a task is taken to run. Callers' estimates
	// are off by 40 %, and a job that is served late takes as much capacity as one in time.
	margin = 1.2
	// minRateShare is the least share of the placements that is reckoned with for a priority,
	// however much more urgent work arrives. With 0.2 the urgent jobs were late.
	minRateShare = 0.05
	// MinRetryAfter and maxRetryAfter bound what refused callers are told.
	MinRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// returnTime is the time within which callers that were refused are reckoned with again.
	returnTime = time.Second
)

// Estimator estimates when the tasks of a job can be placed. It is not safe for concurrent use.
type Estimator struct {
	drain drain
	// arrived and refused are the rates of the tasks of new and of refused jobs, by priority.
	arrived      map[int]*rate
	refused      map[int]*rate
	backlogSince time.Time // Zero if nothing waits.
	emptySince   time.Time // Zero if tasks wait.
	overloaded   bool
}

// New returns an estimator that knows nothing and refuses nothing.
func New() *Estimator { return &Estimator{arrived: map[int]*rate{}, refused: map[int]*rate{}} }

// Arrived counts the tasks of a new job.
func (e *Estimator) Arrived(now time.Time, priority, tasks int) { add(e.arrived, now, priority, tasks) }

// Refused counts the tasks of a job that was refused.
func (e *Estimator) Refused(now time.Time, priority, tasks int) { add(e.refused, now, priority, tasks) }

// Placed counts tasks for which start orders were sent.
func (e *Estimator) Placed(now time.Time, tasks int) {
	e.drain.add(now, tasks)
}

// Returned takes back tasks that were counted by Placed and that an agent had no room for.
func (e *Estimator) Returned(now time.Time, tasks int) {
	e.drain.add(now, -tasks)
}

// Backlog tells whether tasks wait now, and whether any job has waited for StrainShare of the
// time that it may. It must be called at each tick.
func (e *Estimator) Backlog(now time.Time, waiting, strained bool) {
	e.drain.setBacklog(now, waiting)
	if waiting {
		e.emptySince = time.Time{}
		if e.backlogSince.IsZero() {
			e.backlogSince = now
		}
		if strained && now.Sub(e.backlogSince) >= overloadAfter {
			e.overloaded = true
		}
		return
	}
	e.backlogSince = time.Time{}
	if e.emptySince.IsZero() {
		e.emptySince = now
	}
	if now.Sub(e.emptySince) >= relaxAfter {
		e.overloaded = false
	}
}

// Reset forgets the rates, because nothing could be placed for a while.
func (e *Estimator) Reset() { *e = *New() }

// Verdict decides on a job. Without enough data it refuses only a job that can't meet its
// objective any more.
func (e *Estimator) Verdict(now time.Time, j Job) Verdict {
	if !e.overloaded {
		return Verdict{}
	}
	if !j.isLate(now) && (now.Sub(j.Arrived) < holdTime || !e.wouldBeLate(now, j)) {
		return Verdict{}
	}
	return Verdict{Refuse: true, RetryAfter: e.RetryAfter(now, j)}
}

// wouldBeLate reports whether the job misses its objective by the estimate of its wait.
func (e *Estimator) wouldBeLate(now time.Time, j Job) bool {
	perSecond, known := e.rateFor(now, j.Priority)
	if !known {
		return false
	}
	wait := seconds(float64(j.Ahead+j.Waiting) / perSecond)
	return now.Add(wait + time.Duration(margin*float64(j.Expected))).After(j.ObjectiveAt)
}

// rateFor returns the rate, in tasks per second, at which tasks of a priority can be placed:
// that of all placements, less that at which more urgent tasks arrive.
func (e *Estimator) rateFor(now time.Time, priority int) (perSecond float64, known bool) {
	if perSecond, known = e.drain.perSecond(now); !known {
		return 0, false
	}
	left := perSecond
	for other, arrived := range e.arrived {
		if other < priority {
			left -= arrived.perSecond(now)
		}
	}
	return max(left, minRateShare*perSecond), true
}

// RetryAfter returns when the caller of a refused job should come back. Callers are spread
// over as much time again as the backlog takes.
func (e *Estimator) RetryAfter(now time.Time, j Job) time.Duration {
	perSecond, known := e.rateFor(now, j.Priority)
	if !known {
		return MinRetryAfter
	}
	waiting := float64(j.Ahead)
	if refused := e.refused[j.Priority]; refused != nil {
		waiting += refused.perSecond(now) * returnTime.Seconds()
	}
	drain := min(seconds(waiting/perSecond), maxRetryAfter)
	spread := float64(xxhash.Sum64String(j.ID)) / math.MaxUint64
	return min(max(drain, MinRetryAfter)+time.Duration(spread*float64(max(drain, MinRetryAfter))), maxRetryAfter)
}

func add(rates map[int]*rate, now time.Time, priority, tasks int) {
	if rates[priority] == nil {
		rates[priority] = &rate{}
	}
	rates[priority].add(now, tasks)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
