package ccfit

import "time"

// limitFactor is the multiple of the expected run time that a task must be able to take and
// still end by its limit: half of the 40 % by which estimates are off. In the lab 1, 1.2 and
// 1.4 were alike (docs/design/placement.md).
const limitFactor = 1.2

// Task is what the score of a worker depends on. All times count from the arrival of the
// job.
type Task struct {
	Waited time.Duration // Until now.
	// Expected is the run time on a worker of pace 1.
	Expected  time.Duration
	Objective time.Duration
	// Limit is when the answer becomes useless. For long tasks it is before the objective.
	Limit time.Duration
}

// Score returns the score of a start now on a worker where the task takes slowdown times
// the expected time.
func (t Task) Score(slowdown float64) Score {
	run := slowdown * float64(t.Expected)
	switch {
	case t.Waited+time.Duration(limitFactor*run) > t.Limit:
		return TooLate
	case t.Waited+time.Duration(run) > t.Objective:
		return Useful
	default:
		return OnTime
	}
}
