package ccentry

import (
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

// awaitMargin is how much longer a request for an outcome may take than the
// driver was told to wait.
const awaitMargin = 500 * time.Millisecond

// carryOut is part of claimer. It does what the requester decided.
func (p *presence) carryOut(now time.Time) {
	for _, action := range p.requester.Actions() {
		switch action := action.(type) {
		case *ccclaim.SendClaim:
			p.sendClaim(action)
		case *ccclaim.SendRelease:
			p.notifyPeer(action.To, ccwire.MethodRelease, action.Message)
		case *ccclaim.SendAwait:
			p.sendAwait(now, action)
		case *ccclaim.SendRecover:
			p.addRecover(action)
		case *ccclaim.Drive:
			p.drive(now, action)
		case *ccclaim.Finish:
			p.finish(now, action.Outcome)
		}
	}
	p.sendRecovers(now)
}

func (p *presence) sendClaim(action *ccclaim.SendClaim) {
	message := action.Message
	message.Cause = p.entry.cfg.Ring.Newest()
	callPeer(p, action.To, ccwire.MethodClaim, message, ccclaim.DefaultGrantTTL, func(now time.Time, reply ccwire.ClaimReply, err error) {
		if err != nil {
			p.requester.ClaimFailed(now, action.Token)
			return
		}
		p.entry.heard(message.JobID, action.To.Ref, reply.Cause)
		p.requester.HandleClaimReply(now, action.Token, reply)
	})
}

func (p *presence) sendAwait(now time.Time, action *ccclaim.SendAwait) {
	p.entry.cfg.Ring.Record(now, ccevent.Event{
		Kind: ccevent.KindAttached, Job: action.Message.JobID, Index: ccevent.NoIndex, Peer: action.To.Ref.ID,
	})
	timeout := time.Duration(action.Message.WaitMS)*time.Millisecond + awaitMargin
	callPeer(p, action.To, ccwire.MethodAwait, action.Message, timeout, func(now time.Time, reply ccwire.AwaitReply, err error) {
		if err != nil {
			p.requester.AwaitFailed(now, action.Token)
			return
		}
		p.requester.HandleAwaitReply(now, action.Token, reply)
	})
}

// drive hands a job to the dispatcher. A job that nobody waits for any more was
// given up before its claim came, so the claim goes back.
func (p *presence) drive(now time.Time, action *ccclaim.Drive) {
	job, ok := p.entry.pending[action.JobID]
	if !ok {
		p.requester.JobEnded(action.JobID, action.Claim, action.Recovered == nil)
		return
	}
	if action.Recovered == nil {
		p.driveNew(now, job, action)
		return
	}
	p.driveRecovered(now, job, action)
}

// driveNew drives a job that has not run, or refuses it and gives the claim back.
func (p *presence) driveNew(now time.Time, job *pendingJob, action *ccclaim.Drive) {
	if refusal, ok := p.entry.admit(&job.spec); !ok {
		p.requester.JobEnded(action.JobID, action.Claim, true)
		p.entry.refuse(now, job, refusal)
		return
	}
	p.entry.drive(now, job, action.Claim, nil)
}

// finish ends a job that this entry does not drive. A whole answer is kept; a
// failure may be this entry's alone and is not.
func (p *presence) finish(now time.Time, outcome ccjob.Outcome) {
	job, ok := p.entry.pending[outcome.JobID]
	if !ok {
		return
	}
	if outcome.State == ccjob.StateComplete {
		p.entry.answers.Put(now, job.digest, outcome)
		p.entry.record(now, ccevent.KindCompleted, &job.spec, "the answer of another entry")
	} else {
		p.entry.record(now, ccevent.KindFailed, &job.spec, string(outcome.Kind)+": "+outcome.Reason)
	}
	p.entry.finish(job, outcome)
}
