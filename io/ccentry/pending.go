package ccentry

import (
	"time"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

const (
	// defaultRetention is how long outcomes are kept for resubmissions.
	defaultRetention = 10 * time.Minute
	// maxPending bounds the jobs in flight at one entry.
	maxPending = 100_000
	// claimSlack is how long after its deadline a job that never got past its
	// claim is given up.
	claimSlack = 50 * time.Millisecond
)

// pendingJob is a job whose outcome somebody waits for.
type pendingJob struct {
	spec    ccjob.Spec
	digest  uint64
	arrived time.Time
	claim   uint64
	driven  bool // The dispatcher has it.
	waiters []chan<- ccjob.Outcome
	cause   ccevent.Cause // What another process said last about the claim.
}

// submit takes a job on the control goroutine. The outcome goes to the waiter,
// which has room for it.
func (e *Entry) submit(now time.Time, spec *ccjob.Spec, waiter chan<- ccjob.Outcome) {
	digest := spec.Digest()
	if kept, ok := e.answers.Get(now, spec.ID); ok {
		e.recordAgain(now, spec)
		waiter <- matching(&kept.Outcome, kept.Digest == digest)
		return
	}
	if p, ok := e.pending[spec.ID]; ok {
		e.recordAgain(now, spec)
		if p.digest != digest {
			waiter <- conflict(spec.ID)
			return
		}
		p.waiters = append(p.waiters, waiter)
		return
	}
	if refusal, ok := e.check(spec); !ok {
		e.noteRefusal(now, spec, &refusal)
		waiter <- refusal
		return
	}
	e.record(now, ccevent.KindAccepted, spec, "")
	p := &pendingJob{spec: *spec, digest: digest, arrived: now, waiters: []chan<- ccjob.Outcome{waiter}}
	e.pending[spec.ID] = p
	e.claims.claim(e, now, p)
}

// check turns away what needs no claim: what can never run, and what this entry
// can say nothing of.
func (e *Entry) check(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	switch {
	case e.version == 0 || !e.claims.ready():
		return ccjob.Fail(spec.ID, ccjob.KindUnavailable, false, "this entry is cut off and can't say whether the job has run"), false
	case len(e.pending) >= maxPending:
		return ccjob.Fail(spec.ID, ccjob.KindOverload, false, "too many jobs are in flight to say whether this one has run"), false
	}
	return e.dispatcher.Check(spec)
}

// admit turns away a job whose claim is new, which proves that it has not run.
func (e *Entry) admit(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	if e.draining {
		return ccjob.Refuse(spec.ID, ccjob.KindDraining, "this entry is stopping"), false
	}
	return e.dispatcher.Admit(spec)
}

// refuse answers all who wait for a job that was claimed and not admitted.
func (e *Entry) refuse(now time.Time, p *pendingJob, refusal ccjob.Outcome) {
	e.noteRefusal(now, &p.spec, &refusal)
	e.finish(p, refusal)
}

func (e *Entry) noteRefusal(now time.Time, spec *ccjob.Spec, refusal *ccjob.Outcome) {
	kind := ccevent.KindRefused
	if !refusal.NotRun {
		kind = ccevent.KindFailed
	}
	e.record(now, kind, spec, string(refusal.Kind)+": "+refusal.Reason)
	e.metrics.Map("refusals").Add(string(refusal.Kind), 1)
}

func matching(outcome *ccjob.Outcome, same bool) ccjob.Outcome {
	if same {
		return *outcome
	}
	return conflict(outcome.JobID)
}

// conflict is not run for this content, but the ID has run with another one, so
// nothing is promised.
func conflict(id ccjob.ID) ccjob.Outcome {
	return ccjob.Fail(id, ccjob.KindConflict, false, "the jobID is known with other content")
}

// drive hands a claimed job to the dispatcher.
func (e *Entry) drive(now time.Time, p *pendingJob, claim uint64, prior []ccdispatch.PriorTask) {
	p.claim, p.driven = claim, true
	e.recordClaimed(now, p)
	e.dispatcher.Submit(now, ccdispatch.Submission{Spec: p.spec, Claim: claim, Arrived: p.arrived, Prior: prior})
}

// endJob answers all who wait, and keeps the outcome unless the job may be
// submitted anew.
func (e *Entry) endJob(now time.Time, action *ccdispatch.EndJob) {
	p, ok := e.pending[action.Outcome.JobID]
	if !ok {
		return
	}
	if action.Release {
		e.claims.release(e, p)
	} else {
		e.answers.Put(now, p.digest, action.Outcome)
	}
	e.finish(p, action.Outcome)
}

// finish answers all who wait.
func (e *Entry) finish(p *pendingJob, outcome ccjob.Outcome) {
	delete(e.pending, p.spec.ID)
	e.countOutcome(&outcome)
	for _, waiter := range p.waiters {
		waiter <- outcome
	}
}

// expirePending gives up jobs that never got past their claim. Another entry may
// drive them, so nothing is promised.
func (e *Entry) expirePending(now time.Time) {
	for _, p := range e.pending {
		if !p.driven && now.Sub(p.arrived) > p.spec.Deadline+claimSlack {
			outcome := ccjob.Fail(p.spec.ID, ccjob.KindDeadline, false, "the deadline passed before the job was claimed")
			e.record(now, ccevent.KindFailed, &p.spec, string(outcome.Kind)+": "+outcome.Reason)
			e.finish(p, outcome)
		}
	}
}

func (e *Entry) record(now time.Time, kind ccevent.Kind, spec *ccjob.Spec, text string) {
	e.cfg.Ring.Record(now, ccevent.Event{
		Kind: kind, Job: spec.ID, Index: ccevent.NoIndex, Count: len(spec.Payloads), Team: spec.Team, Text: text,
	})
}
