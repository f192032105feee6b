package cccrash

import (
	"slices"
	"time"
)

const (
	// isolateAfter is the number of jobs with a task that crashes workers, within
	// causeWindow, from which their class is isolated.
	isolateAfter = 2
	causeWindow  = 5 * time.Second
	// quietTime is how long no worker may have crashed under a class before it is no
	// longer isolated.
	quietTime = 5 * time.Second
	// probation is how long after that a single job is enough to isolate it again.
	probation = 30 * time.Second
)

// classRecord is what is known of a class of jobs.
type classRecord struct {
	causes        []cause
	isolatedUntil time.Time
}

// cause is a job with a task that crashes workers.
type cause struct {
	job string
	at  time.Time
}

func (c *classRecord) isolated(now time.Time) bool { return now.Before(c.isolatedUntil) }

// addCause records a job with a task that crashes workers. It reports whether the class
// is isolated because of it.
func (c *classRecord) addCause(now time.Time, job string) bool {
	c.causes = slices.DeleteFunc(c.causes, func(other cause) bool { return other.job == job || now.Sub(other.at) > causeWindow })
	c.causes = append(c.causes, cause{job: job, at: now})
	onProbation := !c.isolatedUntil.IsZero() && now.Sub(c.isolatedUntil) < probation
	if c.isolated(now) || len(c.causes) < isolateAfter && !onProbation {
		return false
	}
	c.isolatedUntil = now.Add(quietTime)
	return true
}
