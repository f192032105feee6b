package ccagent

import (
	"time"

	"camphorcroft/core/ccwire"
)

// TaskFinished records the result of a started task and adds it to the next report
// to the entry that drives the job.
func (c *Controller) TaskFinished(now time.Time, result TaskResult) {
	c.advanceClock(now)
	j, ok := c.jobs.byID[result.Job]
	if !ok {
		return
	}
	rec := j.tasks[result.Index]
	if rec == nil || !rec.started || rec.code != ccwire.CodeRunning {
		return
	}
	c.jobs.ensureJob(now, result.Job)
	j.running--
	c.running--
	c.addRunTime(result.RunTime)
	rec.runMS = float64(result.RunTime) / float64(time.Millisecond)
	rec.code, rec.reason = result.Code, result.Reason
	report := rec.report(result.Index, rec.attempt)
	report.Payload = result.Payload
	if result.Code.Started() {
		c.jobs.storeResult(rec, result.Payload)
	} else {
		rec.started = false
		rec.addTombstone(j.claim, rec.attempt)
	}
	driver := c.sessions[j.driver.ID]
	if driver == nil || !driver.connected || driver.entry != j.driver {
		c.assignFreeSlots(now, nil)
		return
	}
	driver.addReport(j.id, j.claim, report)
	c.assignFreeSlots(now, driver)
}
