package cccrash

import "time"

// quietTime is how long no worker may have crashed under a class before it is no longer
// isolated.
const quietTime = 5 * time.Second

// classRecord is what is known of a class of jobs.
type classRecord struct {
	isolatedUntil time.Time
}

func (c *classRecord) isolated(now time.Time) bool { return now.Before(c.isolatedUntil) }

// release ends the isolation, because the task that it rests on was not the cause.
func (c *classRecord) release(now time.Time) { c.isolatedUntil = now }

// extend isolates the class from now until it is quiet. It reports whether it was not
// isolated before.
func (c *classRecord) extend(now time.Time) bool {
	wasIsolated := c.isolated(now)
	c.isolatedUntil = now.Add(quietTime)
	return !wasIsolated
}
