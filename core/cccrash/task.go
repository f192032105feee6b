package cccrash

import (
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// maxCrashes is the number of crashes after which a task counts as their cause,
	// whatever else was running. The platform allows five starts.
	maxCrashes = 3
	// runLengthTolerance and runLengthFactor bound by how much the lengths of two runs
	// that crashed their workers differ: a task that fails always does so at the same
	// point, while the others were stopped at random.
	runLengthTolerance = 3 * time.Millisecond
	runLengthFactor    = 10
)

// taskRecord is what is known of a task that was running in a crash.
type taskRecord struct {
	task    ccwire.TaskRef
	class   uint32
	crashes int
	// lastRun is how long its run had lasted at the last crash.
	lastRun time.Duration
	isCause bool
	at      time.Time
}

// add counts a crash. It reports whether the run lasted as long as that of the crash before.
func (r *taskRecord) add(now time.Time, suspect ccwire.CrashSuspect) bool {
	ran := time.Duration(suspect.RanMS) * time.Millisecond
	similar := r.crashes > 0 && similarLengths(r.lastRun, ran)
	r.crashes = max(r.crashes, min(suspect.Crashes, maxCrashes)) + 1
	r.class, r.lastRun, r.at = suspect.Class, ran, now
	return similar
}

// similarLengths reports whether two runs lasted about equally long.
func similarLengths(a, b time.Duration) bool {
	return (a - b).Abs() <= max(runLengthTolerance, min(a, b)/runLengthFactor)
}
