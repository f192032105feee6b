package cclab

import "time"

// referenceJob is a job of a reference replay that has tasks to start.
type referenceJob struct {
	*Record
	waiting int // Tasks that have not started.
	started []*referenceRun
}

// earliestEnd returns the earliest end since Sent of a task that starts now.
func (j *referenceJob) earliestEnd(now time.Duration, speed float64) time.Duration {
	return now - j.Sent + time.Duration(float64(j.Work)/speed)
}

// latestEnd returns the latest end since Sent with which an answer is in time, or of use.
func (j *referenceJob) latestEnd(late bool) time.Duration {
	if late {
		return min(lateFactor*j.Objective, callerTimeout)
	}
	return min(j.Objective, callerTimeout)
}
