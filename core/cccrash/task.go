package cccrash

import (
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// maxCrashes is the number of crashes without another cause after which a task counts
	// as their cause, whatever else was running.
	maxCrashes = 3
	// maxCrashesInAll is the number of crashes after which a task is not started again,
	// even if they had other causes. The platform allows five starts.
	maxCrashesInAll = 4
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
	// explained is how many of the crashes another job was the cause of.
	explained int
	// last is the last crash, or nil, and lastRun how long the run had lasted then.
	last    *crashRecord
	lastRun time.Duration
	// gap is the difference between the lengths of the last two runs.
	gap     time.Duration
	isCause bool
	// isolates is set if the class of the job is isolated because of the task.
	isolates bool
	at       time.Time
}

// add counts a crash. It reports whether the run lasted as long as that of the crash before
// and no other task is the more likely cause of that one.
func (r *taskRecord) add(now time.Time, c *crashRecord, suspect ccwire.CrashSuspect) bool {
	ran := time.Duration(suspect.RanMS) * time.Millisecond
	r.gap = (r.lastRun - ran).Abs()
	similar := r.last != nil && r.last.admits(r.gap) && similarRuns(r.lastRun, ran)
	r.crashes = max(r.crashes, min(suspect.Crashes, maxCrashes)) + 1
	r.class, r.last, r.lastRun, r.at = suspect.Class, c, ran, now
	c.suspects = append(c.suspects, r)
	return similar
}

// similarRuns reports whether two runs have the same length, as far as can be told.
func similarRuns(a, b time.Duration) bool {
	return (a - b).Abs() <= max(runLengthTolerance, min(a, b)/runLengthFactor)
}

// isAccused reports whether the number of crashes alone makes the task their cause.
func (r *taskRecord) isAccused() bool { return r.crashes-r.explained >= maxCrashes }

// isExhausted reports whether the task may not be started again whatever the causes were.
func (r *taskRecord) isExhausted() bool { return r.crashes >= maxCrashesInAll }

// exonerate notes that another job was the cause of one of the task's crashes. It reports
// whether the task no longer counts as a cause.
func (r *taskRecord) exonerate() bool {
	r.explained++
	if !r.isCause || r.isExhausted() || r.crashes-r.explained > 1 {
		return false
	}
	r.isCause = false
	return true
}
