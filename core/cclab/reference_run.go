package cclab

import "time"

// referenceRun is the run of one task in a reference replay.
type referenceRun struct {
	worker  *referenceWorker
	need    int64
	end     time.Duration
	stopped bool
}
