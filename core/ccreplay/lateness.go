package ccreplay

import (
	"slices"
	"time"
)

const (
	// latenessSamples is the number of reports from whose delays the lateness is taken.
	// One agent with a slow link is a small part of them.
	latenessSamples = 15
	// tickPeriod is the time between two ticks of an entry that is not late.
	tickPeriod = 10 * time.Millisecond
	// offsetGrowth bounds how much a clock may run slower than another, as one part in
	// this many.
	offsetGrowth = 1000
	// maxLateness limits how much longer a late entry waits for a silent agent.
	maxLateness = 2 * time.Second
)

// lateness measures how late the entry handles its events. An entry that is late must not
// take the agents whose reports it hasn't read yet for silent.
type lateness struct {
	delays  [latenessSamples]time.Duration
	next    int
	reports time.Duration // The median of delays.
	// stalled is the sum of all times for which the entry handled no events though a tick
	// was due.
	stalled  time.Duration
	lastTick time.Time
	// tickDelay is by how much the last tick came late.
	tickDelay time.Duration
}

// current returns the delay with which the entry handles its events.
func (l *lateness) current() time.Duration { return max(l.reports, l.tickDelay) }

// observe records the delay of a report from its sending until it was handled.
func (l *lateness) observe(delay time.Duration) {
	l.delays[l.next] = delay
	l.next = (l.next + 1) % latenessSamples
	sorted := l.delays
	slices.Sort(sorted[:])
	l.reports = min(sorted[latenessSamples/2], maxLateness)
}

// tick records a tick.
func (l *lateness) tick(now time.Time) {
	l.tickDelay = 0
	if passed := now.Sub(l.lastTick); !l.lastTick.IsZero() && passed > 2*tickPeriod {
		l.tickDelay = passed - tickPeriod
		l.stalled += l.tickDelay
	}
	l.lastTick = now
}

// clockOffset converts the clock of an agent to that of the entry.
type clockOffset struct {
	known  bool
	offset time.Duration // The smallest difference of the two clocks that was seen.
	origin time.Time
	at     time.Time
}

// reset forgets the offset, since the agent may have a new clock.
func (c *clockOffset) reset() { c.known = false }

// delay returns how much longer than the fastest report a report was on its way, if the
// agent's clock said clockMS when it was sent.
func (c *clockOffset) delay(now time.Time, clockMS int64) time.Duration {
	if !c.known {
		*c = clockOffset{known: true, origin: now, at: now, offset: -time.Duration(clockMS) * time.Millisecond}
		return 0
	}
	c.offset += now.Sub(c.at) / offsetGrowth
	c.at = now
	offset := now.Sub(c.origin) - time.Duration(clockMS)*time.Millisecond
	c.offset = min(c.offset, offset)
	return offset - c.offset
}
