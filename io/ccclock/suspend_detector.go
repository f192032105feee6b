// Package ccclock finds out that the host was suspended.
//
// The steady clock stands still while a host is suspended; the boot clock doesn't.
//
// # Usage
//
//	watch := ccclock.NewSuspension()
//	if watch.Woke() {
//		// Whatever was believed before may be wrong.
//	}
package ccclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least difference of the clocks that counts as a suspension:
// half of the time after which an entry is silent to an agent.
const minSuspension = 200 * time.Millisecond

// SuspendDetector compares the two clocks. It is for one goroutine.
type SuspendDetector struct {
	boot   time.Duration
	steady time.Time
}

// NewSuspendDetector returns a watch that starts now.
func NewSuspendDetector() *SuspendDetector {
	return &SuspendDetector{boot: bootClock(), steady: time.Now()}
}

// Resumed reports whether the host was suspended since the last call.
func (s *SuspendDetector) Resumed() bool {
	boot, steady := bootClock(), time.Now()
	missed := (boot - s.boot) - steady.Sub(s.steady)
	s.boot, s.steady = boot, steady
	return missed > minSuspension
}

// bootClock returns the time since the host started, suspensions included. It is
// zero where there is no such clock, and then no suspension is ever found.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
