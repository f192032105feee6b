package ccshare

import "time"

// Job is what the rank of a waiting job depends on.
type Job struct {
	Route   Route
	Arrived time.Time
	// Work is the sum of the expected run times of all its tasks, and Placed the part of
	// it that has run, or runs.
	Work, Placed time.Duration
}
