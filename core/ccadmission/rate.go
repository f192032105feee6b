package ccadmission

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which rates are averaged. 150 ms and 600 ms were worse in the
	// lab's overload days.
	rateTime = 300 * time.Millisecond
	// minCovered is the least part of rateTime that a measurement counts as.
	minCovered = 0.2
)

// rate is a moving average of tasks per second, in which the weight of a task falls with its
// age.
type rate struct {
	weight float64   // The sum of the weights of the tasks at the last update.
	since  time.Time // Of the first task. Zero if there is none.
	at     time.Time // Of the last update.
}

// add counts tasks.
func (r *rate) add(now time.Time, tasks int) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.advance(now)
	r.weight += float64(tasks)
}

func (r *rate) advance(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.weight *= decay(passed, rateTime)
		r.at = now
	}
}

// decay returns the weight of a task after a time, if weights fall within timeConstant.
func decay(passed, timeConstant time.Duration) float64 {
	return math.Exp(-passed.Seconds() / timeConstant.Seconds())
}

// perSecond returns the current rate. Soon after the first task the average covers only a part
// of its time, and is scaled accordingly.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	r.advance(now)
	return r.weight / rateTime.Seconds() / max(1-decay(now.Sub(r.since), rateTime), minCovered)
}
