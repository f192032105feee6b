package ccadmission

import "time"

const (
	// idleTime is the time over which a measurement is forgotten while nothing waits.
	idleTime = 3 * time.Second
	// minDrainWeight and minDrainTime are the least numbers of tasks and seconds, weighted by
	// their age, from which a drain rate is taken.
	minDrainWeight = 5
	minDrainTime   = 0.06
)

// drain measures the rate at which tasks are placed while others wait. Without a backlog the
// rate of placements says how much is asked for, not how much can be done.
type drain struct {
	tasks, seconds float64 // Weighted by their age.
	at             time.Time
	backlog        bool
}

// advance brings the weights up to a time.
func (d *drain) advance(now time.Time) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || passed <= 0 {
		d.at = now
		return
	}
	d.at = now
	weight := decay(passed, idleTime)
	if d.backlog {
		weight = decay(passed, rateTime)
		d.seconds = d.seconds*weight + rateTime.Seconds()*(1-weight)
	} else {
		d.seconds *= weight
	}
	d.tasks *= weight
}

// setBacklog tells whether tasks wait from now on.
func (d *drain) setBacklog(now time.Time, backlog bool) {
	d.advance(now)
	d.backlog = backlog
}

// add counts tasks if others wait.
func (d *drain) add(now time.Time, tasks int) {
	d.advance(now)
	if d.backlog {
		d.tasks = max(d.tasks+float64(tasks), 0)
	}
}

// perSecond returns the rate. It is unknown without enough measurements.
func (d *drain) perSecond(now time.Time) (rate float64, known bool) {
	d.advance(now)
	if d.tasks < minDrainWeight || d.seconds < minDrainTime {
		return 0, false
	}
	return d.tasks / d.seconds, true
}
