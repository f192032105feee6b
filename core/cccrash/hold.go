package cccrash

import (
	"cmp"
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// holdWindow is the longest time between two crashes that may have one class of jobs
	// as their cause.
	holdWindow = 150 * time.Millisecond
	// holdMargin is the time for the placement of a task and for the report of a crash.
	holdMargin = 30 * time.Millisecond
	// maxHoldRun is the longest run that is waited for.
	maxHoldRun = 50 * time.Millisecond
	// holdInterval is the shortest time between two holds of a class, so that workers that
	// crash by themselves, one after the other, don't stop a class.
	holdInterval = time.Second
)

// Held reports whether a task should not be started now: two jobs of its class were in
// crashes shortly after each other, after runs of the same length. The scout, a task of the
// first of them, is not held: if it crashes a worker again, its class is isolated.
func (l *Ledger) Held(now time.Time, class uint32, task ccwire.TaskRef) bool {
	c := l.classes[class]
	return c != nil && now.Before(c.heldUntil) && task != c.scout
}

// hold holds the classes of which a crash and an earlier one, both without a cause, have
// suspects whose runs are alike.
func (l *Ledger) hold(now time.Time, latest *crashRecord) {
	if latest.cause != nil {
		return
	}
	for _, r := range latest.suspects {
		class := l.class(r.class)
		if class.isolated(now) || now.Sub(class.heldAt) < holdInterval || r.lastRun > maxHoldRun {
			continue
		}
		if scout := l.earlierSuspect(latest, r); scout != nil {
			class.heldAt, class.heldUntil, class.scout = now, scout.last.at.Add(r.lastRun+holdMargin), scout.task
		}
	}
}

// earlierSuspect returns the suspect of the earliest crash in holdWindow that is of the
// class of r, but of another job, and whose run was as long. It returns nil if there is none.
func (l *Ledger) earlierSuspect(latest *crashRecord, r *taskRecord) *taskRecord {
	var earliest *taskRecord
	for _, c := range l.crashes {
		if c == latest || c.cause != nil || latest.at.Sub(c.at) > holdWindow {
			continue
		}
		for _, other := range c.suspects {
			alike := other.last == c && other.class == r.class && other.task.Job != r.task.Job && similarRuns(other.lastRun, r.lastRun)
			if alike && (earliest == nil || c != earliest.last && precedes(other, earliest)) {
				earliest = other
			}
		}
	}
	return earliest
}

// precedes orders suspects by their last crash, and by their jobs if an agent has reported
// several crashes at once.
func precedes(a, b *taskRecord) bool {
	return cmp.Or(a.last.at.Compare(b.last.at), cmp.Compare(a.task.Job, b.task.Job)) < 0
}
