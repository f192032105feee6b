package ccagent

import (
	"time"

	"camphorcroft/core/ccwire"
)

// Finished takes the end of a started task and puts it into the next report to
// the entry that drives the job.
func (t *Table) Finished(now time.Time, end End) {
	t.observe(now)
	j, ok := t.memory.jobs[end.Job]
	if !ok {
		return
	}
	known := j.tasks[end.Index]
	if known == nil || !known.started || known.code != ccwire.CodeRunning {
		return
	}
	t.memory.touch(now, end.Job)
	j.running--
	t.running--
	t.learnRun(end.Run)
	known.runMS = float64(end.Run) / float64(time.Millisecond)
	known.code, known.reason = end.Code, end.Reason
	report := known.report(end.Index, known.attempt)
	report.Payload = end.Payload
	if end.Code.Started() {
		t.memory.keep(known, end.Payload)
	} else {
		known.started = false
		known.bury(j.claim, known.attempt)
	}
	owner := t.sessions[j.owner.ID]
	if owner == nil || !owner.connected || owner.entry != j.owner {
		t.fill(now, nil)
		return
	}
	owner.add(j.id, j.claim, report)
	t.fill(now, owner)
}
