package ccentry

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

// recordAgain records that a job was submitted which this entry knows.
func (e *Entry) recordAgain(now time.Time, spec *ccjob.Spec) {
	e.cfg.Ring.Record(now, ccevent.Event{
		Kind: ccevent.KindAttached, Job: spec.ID, Index: ccevent.NoIndex, Team: spec.Team, Peer: e.self.ID, Text: "submitted again",
	})
}
