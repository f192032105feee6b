package ccagent

import (
	"time"

	"camphorcroft/core/ccwire"
)

// TaskFinished takes the end of a started task and puts it into the next report to
// the entry that drives the job.
func (c *Controller) TaskFinished(now time.Time, end TaskResult) {
	c.observe(now)
	j, ok := c.memory.jobs[end.Job]
	if !ok {
		return
	}
	known := j.tasks[end.Index]
	if known == nil || !known.started || known.code != ccwire.CodeRunning {
		return
	}
	c.memory.touch(now, end.Job)
	j.running--
	c.running--
	c.learnRun(end.RunTime)
	known.runMS = float64(end.RunTime) / float64(time.Millisecond)
	known.code, known.reason = end.Code, end.Reason
	report := known.report(end.Index, known.attempt)
	report.Payload = end.Payload
	if end.Code.Started() {
		c.memory.keep(known, end.Payload)
	} else {
		known.started = false
		known.bury(j.claim, known.attempt)
	}
	owner := c.sessions[j.owner.ID]
	if owner == nil || !owner.connected || owner.entry != j.owner {
		c.fill(now, nil)
		return
	}
	owner.add(j.id, j.claim, report)
	c.fill(now, owner)
}
