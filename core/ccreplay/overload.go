package ccreplay

import "time"

const (
	// lateThreshold is the lateness from which an entry refuses new jobs. A job that
	// waits this long for its first start misses the objective of the shortest tasks.
	lateThreshold = 300 * time.Millisecond
	// onTimeThreshold is the lateness below which an entry counts as on time, and
	// onTimeDelay how long it must be so before it accepts jobs again.
	onTimeThreshold = 60 * time.Millisecond
	onTimeDelay     = 100 * time.Millisecond
	// drainAfter is how long an entry must be late before callers should be sent
	// elsewhere, and returnAfter how long it must then be on time before they return.
	drainAfter  = 500 * time.Millisecond
	returnAfter = time.Second
)

// overload tracks whether the entry can keep up with its events. An entry that is late
// refuses new jobs at once, so that it has the time to finish what it has accepted.
type overload struct {
	late bool
	// lateSince is when the entry became late. onTimeSince is since when it has been on
	// time, or zero if it is not.
	lateSince   time.Time
	onTimeSince time.Time
	draining    bool
}

// update processes the current lateness. It reports whether late has changed.
func (o *overload) update(now time.Time, lateness time.Duration) bool {
	was := o.late
	switch {
	case lateness >= lateThreshold && !o.late:
		o.late, o.lateSince = true, now
	case lateness >= onTimeThreshold:
		o.onTimeSince = time.Time{}
	case o.onTimeSince.IsZero():
		o.onTimeSince = now
	case now.Sub(o.onTimeSince) >= onTimeDelay:
		o.late = false
	}
	switch {
	case o.late && now.Sub(o.lateSince) >= drainAfter:
		o.draining = true
	case !o.late && !o.onTimeSince.IsZero() && now.Sub(o.onTimeSince) >= returnAfter:
		o.draining = false
	}
	return o.late != was
}

// Overloaded reports whether callers should use another entry because this one has been
// late for some time.
func (s *Scheduler) Overloaded() bool { return s.overload.draining }

// Lateness returns the delay with which the entry handles its events.
func (s *Scheduler) Lateness() time.Duration { return s.lateness.current() }

// updateOverload processes the lateness at a tick.
func (s *Scheduler) updateOverload(now time.Time) {
	if !s.overload.update(now, s.lateness.current()) {
		return
	}
	message := "Entry is on time again."
	if s.overload.late {
		message = "Entry is late."
	}
	s.recordChange(Change{Message: message, Age: s.lateness.current(), Count: len(s.jobList)})
}
