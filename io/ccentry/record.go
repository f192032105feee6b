package ccentry

import (
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// recordAgain records that a job was submitted which this entry knows.
func (e *Entry) recordAgain(now time.Time, spec *ccjob.Spec) {
	e.cfg.Ring.Record(now, ccevent.Event{
		Kind: ccevent.KindAttached, Job: spec.ID, Index: ccevent.NoIndex, Team: spec.Team, Peer: e.self.ID, Text: "submitted again",
	})
}

// recordClaimed records that this entry may drive a job, and whose reply allowed
// it. An entry that is the authority itself asks nobody.
func (e *Entry) recordClaimed(now time.Time, p *pendingJob) {
	e.cfg.Ring.Record(now, ccevent.Event{
		Kind: ccevent.KindClaimed, Job: p.spec.ID, Index: ccevent.NoIndex, Count: len(p.spec.Payloads), Claim: p.claim,
		Team: p.spec.Team, Cause: p.cause,
	})
}

// heard notes the newest event of a process that answered about a job's claim.
func (e *Entry) heard(id ccjob.ID, from ccnode.Ref, seq uint64) {
	if p, ok := e.pending[id]; ok && seq > 0 {
		p.cause = ccevent.Cause{Node: from.ID, Incarnation: from.Incarnation, Seq: seq}
	}
}

// recordOutage records when the entry begins to go on without the store.
func (p *presence) recordOutage(now time.Time) {
	outage := p.rule.OnConsent(now)
	if outage && !p.outage {
		p.entry.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindOutage, Index: ccevent.NoIndex, Text: "a majority of the entries does not see the store"})
	}
	p.outage = outage
}
