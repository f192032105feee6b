// Package ccclock detects that the host was suspended.
//
// The monotonic clock stops while a host is suspended; the boot clock doesn't.
//
// # Usage
//
//	detector := ccclock.NewSuspendDetector()
//	if detector.Resumed() {
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

// SuspendDetector compares the boot clock with the monotonic clock. It is not safe
// for concurrent use.
type SuspendDetector struct {
	boot      time.Duration
	monotonic time.Time
}

// NewSuspendDetector returns a detector that reports suspensions from now on.
func NewSuspendDetector() *SuspendDetector {
	return &SuspendDetector{boot: bootClock(), monotonic: time.Now()}
}

// Resumed reports whether the host was suspended since the last call.
func (d *SuspendDetector) Resumed() bool {
	boot, monotonic := bootClock(), time.Now()
	suspended := (boot - d.boot) - monotonic.Sub(d.monotonic)
	d.boot, d.monotonic = boot, monotonic
	return suspended > minSuspension
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
