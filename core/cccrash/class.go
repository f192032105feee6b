package cccrash

import (
	"slices"
	"time"
)

const (
	// causeWindow is the time within which several jobs of a class that crash workers
	// count together.
	causeWindow = 30 * time.Second
	// singleQuietTime and quietTime are how long no worker may have crashed under a class
	// before it is no longer isolated: after a single job that crashed workers, and after
	// several.
	singleQuietTime = 5 * time.Second
	quietTime       = 10 * time.Second
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

// extend isolates the class from now until it is quiet.
func (c *classRecord) extend(now time.Time) {
	quiet := singleQuietTime
	if len(c.causes) > 1 {
		quiet = quietTime
	}
	c.isolatedUntil = now.Add(quiet)
}

// addCause records a job with a task that crashes workers. It reports whether the class
// is isolated because of it.
func (c *classRecord) addCause(now time.Time, job string) bool {
	wasIsolated := c.isolated(now)
	c.causes = slices.DeleteFunc(c.causes, func(other cause) bool { return other.job == job || now.Sub(other.at) > causeWindow })
	c.causes = append(c.causes, cause{job: job, at: now})
	c.extend(now)
	return !wasIsolated
}
