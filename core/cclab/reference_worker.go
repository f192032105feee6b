package cclab

import (
	"slices"
	"time"
)

// referenceWorker is a worker of a reference replay.
type referenceWorker struct {
	number int
	speed  float64
	rack   string
	free   int64
	runs   []*referenceRun // The one that ends first is first.
	// unclaimed is the part of free that no job of this scheduling round has claimed, and
	// claimedEnds the number of the next runs to end whose capacity is claimed.
	unclaimed   int64
	claimedEnds int
}

// claim is the capacity of a worker for the tasks of one job: for some now, and for others when
// the first runs, as many as ends, have ended.
type claim struct {
	worker           *referenceWorker
	now, later, ends int
	took             time.Duration
}

// claimEnds returns a claim for up to limit tasks that start by a time. Capacity that is too
// little for a task now counts together with that of the runs that end.
func (w *referenceWorker) claimEnds(need int64, by time.Duration, limit int) claim {
	c := claim{worker: w, ends: w.claimedEnds}
	free := w.unclaimed % need
	for i := w.claimedEnds; i < len(w.runs) && w.runs[i].end <= by && c.later < limit; i++ {
		free += w.runs[i].need
		c.ends = i + 1
		for free >= need && c.later < limit {
			free -= need
			c.later++
		}
	}
	return c
}

func (w *referenceWorker) add(run *referenceRun) {
	w.free -= run.need
	at, _ := slices.BinarySearchFunc(w.runs, run, func(a, b *referenceRun) int { return int(a.end - b.end) })
	w.runs = slices.Insert(w.runs, at, run)
}

func (w *referenceWorker) remove(run *referenceRun) {
	w.free += run.need
	w.runs = slices.DeleteFunc(w.runs, func(other *referenceRun) bool { return other == run })
}
