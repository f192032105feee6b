package ccadmission

import "time"

// Job is a job that waits at an entry and of which no task has been placed.
type Job struct {
	ID       string
	Priority int // Lower is more urgent.
	// Waiting is the number of its tasks, and Ahead that of the waiting tasks of the jobs
	// before it in the scheduling order.
	Waiting, Ahead int
	Expected       time.Duration // The run time of a task.
	Arrived        time.Time
	ObjectiveAt    time.Time // The latest end that meets the latency objective.
}

// isLate reports whether the job misses its objective even if all its tasks start now.
func (j Job) isLate(now time.Time) bool { return now.Add(j.Expected).After(j.ObjectiveAt) }
