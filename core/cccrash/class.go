package cccrash

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// quietTime is how long no worker may have crashed under a class before it is no longer
// isolated.
const quietTime = 5 * time.Second

// classRecord is what is known of a class of jobs.
type classRecord struct {
	isolatedUntil time.Time
	// heldAt is when the class was last held, until heldUntil. scout is the task that may
	// run meanwhile.
	heldAt, heldUntil time.Time
	scout             ccwire.TaskRef
	// agents are those whose workers crashed under the tasks for which the class was isolated.
	agents []ccnode.ID
}

func (c *classRecord) isolated(now time.Time) bool { return now.Before(c.isolatedUntil) }

// release ends the isolation, because the task that it rests on was not the cause.
func (c *classRecord) release(now time.Time) { c.isolatedUntil = now }

// extend isolates the class from now until it is quiet. It reports whether it was not
// isolated before.
func (c *classRecord) extend(now time.Time) bool {
	wasIsolated := c.isolated(now)
	if !wasIsolated {
		c.agents = nil
	}
	c.isolatedUntil = now.Add(quietTime)
	return !wasIsolated
}

// addAgents adds agents whose workers crashed under a task of the class.
func (c *classRecord) addAgents(agents []ccnode.ID) {
	c.agents = append(c.agents, agents...)
	slices.Sort(c.agents)
	c.agents = slices.Compact(c.agents)
}
