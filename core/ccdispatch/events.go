package ccdispatch

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

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

// outcomeText says why a job ended without its whole answer.
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
