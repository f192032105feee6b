package ccdispatch

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

// recordEnd records the event for the end of a job.
func (d *Dispatcher) recordEnd(now time.Time, j *job, outcome ccjob.Outcome) {
	event := ccevent.Event{
		Kind: ccevent.KindFailed, Job: j.spec.ID, Index: ccevent.NoIndex, Count: len(j.tasks),
		Claim: j.claim, Team: j.spec.Team, Text: outcomeText(&outcome),
	}
	if outcome.State == ccjob.StateComplete {
		event.Kind = ccevent.KindCompleted
	}
	d.record(now, event)
}

// outcomeText returns why a job failed, or an empty string for a complete job.
func outcomeText(outcome *ccjob.Outcome) string {
	if outcome.Kind == "" {
		return ""
	}
	text := string(outcome.Kind) + ": " + outcome.Reason
	if outcome.NotRun {
		text += " (not run)"
	}
	return text
}
