// Package ccclock detects that the host was suspended.
//
// The monotonic clock stops while a host is suspended; the boot clock and the time of day
// don't. Timers use the monotonic clock, so a process may handle what it has received
// meanwhile before its first timer.
//
// # Usage
//
//	detector := ccclock.NewSuspendDetector()
//	if detector.ResumedAt(time.Now()) {
//		// State from before the suspension may be out of date.
//	}
package ccclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference between the clocks that counts as a
// suspension: half the time after which an agent considers an entry silent.
const minSuspension = 200 * time.Millisecond

// SuspendDetector compares the host's clocks with the monotonic clock. It is not safe
// for concurrent use.
type SuspendDetector struct {
	boot      time.Duration
	monotonic time.Time
	timeOfDay time.Time // Without a monotonic clock.
	least     time.Duration
}

// NewSuspendDetector returns a detector that reports suspensions from now on.
func NewSuspendDetector() *SuspendDetector { return NewSuspendDetectorAbove(minSuspension) }

// NewSuspendDetectorAbove returns a detector of suspensions longer than least.
func NewSuspendDetectorAbove(least time.Duration) *SuspendDetector {
	now := time.Now()
	return &SuspendDetector{boot: bootClock(), monotonic: now, timeOfDay: now.Round(0), least: least}
}

// Resumed reports whether the host was suspended since the last call.
func (d *SuspendDetector) Resumed() bool {
	boot, monotonic := bootClock(), time.Now()
	suspended := (boot - d.boot) - monotonic.Sub(d.monotonic)
	d.boot, d.monotonic, d.timeOfDay = boot, monotonic, monotonic.Round(0)
	return suspended > d.least
}

// ResumedAt is Resumed before an event, at the present time. It reads the boot clock, which
// takes a system call, only if the time of day shows a gap. It misses a suspension during
// which the time of day was set back, so call Resumed from time to time as well.
func (d *SuspendDetector) ResumedAt(now time.Time) bool {
	gap := now.Round(0).Sub(d.timeOfDay) - now.Sub(d.monotonic)
	return gap > d.least && d.Resumed()
}

// bootClock returns the time since the host booted, suspensions included. It
// returns zero where there is no such clock; no suspension is detected then.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
