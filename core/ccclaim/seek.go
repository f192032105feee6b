package ccclaim

import (
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// seek is a job on its way to being driven.
type seek struct {
	id       ccjob.ID
	digest   uint64
	tasks    int
	due      time.Time
	token    Token     // Of the request that is under way.
	sent     time.Time // When that was sent.
	next     time.Time // When to send it again.
	released uint64    // What the last driver said of its claim.
	disowned uint64
	attached uint64    // The claim of the driver that is awaited.
	orphaned time.Time // When the job was first known to have no driver.
	recovery *Recovery
	claimed  uint64 // The claim under which the recovery runs.
}

// claim asks the authority, which may be this entry.
func (r *Requester) claim(now time.Time, s *seek) {
	s.recovery, s.attached = nil, 0
	s.token, s.sent = r.nextToken(s.id), now
	s.next = now.Add(r.cfg.GrantTTL)
	to, epoch, ok := r.cfg.Authority.AuthorityOf(s.id)
	if !ok {
		s.next = now.Add(claimRetry)
		return
	}
	message := ccwire.Claim{
		Epoch: epoch, JobID: s.id, Digest: s.digest, Driver: r.cfg.Self,
		ReleasedClaim: s.released, UnknownClaim: s.disowned,
	}
	if to.Ref != r.cfg.Self {
		r.act(&SendClaim{To: to, Token: s.token, Message: message})
		return
	}
	r.HandleClaimReply(now, s.token, r.cfg.Authority.Claim(now, message, r.cfg.ValidUntil()))
}

// HandleClaimReply takes an authority's reply.
func (r *Requester) HandleClaimReply(now time.Time, token Token, reply ccwire.ClaimReply) {
	s, ok := r.seeks[token.JobID]
	late := ok && s.token != token && r.cfg.Authority.cfg.Guards.GrantTTL
	if !ok || late {
		r.giveBack(token.JobID, reply)
		return
	}
	if !r.usable(now, s, reply) {
		s.next = now.Add(claimRetry)
		r.giveBack(token.JobID, reply)
		return
	}
	switch reply.Result {
	case ccwire.ClaimGranted:
		r.take(now, s, reply.Claim, nil)
	case ccwire.ClaimRecover:
		r.recover(now, s, reply)
	case ccwire.ClaimAttach:
		r.await(now, s, reply.Driver, reply.Claim)
	case ccwire.ClaimConflict:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindConflict, false, "the jobID is known with other content"))
	case ccwire.ClaimUnprovable:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindUnprovable, false, "nobody can tell whether the job ran before"))
	// Neither of the next two holds a claim, so another submission of the job may
	// have been granted since the authority answered.
	case ccwire.ClaimInvalid:
		r.waitForTime(now, s)
	case ccwire.ClaimFull:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindOverload, false, "the table of claims is full"))
	default:
		s.next = now.Add(claimRetry)
	}
}

// waitForTime claims again until the fleet's clocks have come up with the job's,
// since its client's clock may just be ahead. It gives up on a job whose time
// lies beyond its deadline.
func (r *Requester) waitForTime(now time.Time, s *seek) {
	if jobTime, _ := s.id.Time(); jobTime.Add(-r.cfg.Authority.cfg.ClockMargin).After(s.due) {
		r.finish(s, ccjob.Fail(s.id, ccjob.KindInvalid, false, "the jobID carries a time that lies ahead"))
		return
	}
	s.next = now.Add(claimRetry)
}

// usable reports whether a grant may be taken up now. Replies that grant nothing
// always may.
func (r *Requester) usable(now time.Time, s *seek, reply ccwire.ClaimReply) bool {
	if reply.Result != ccwire.ClaimGranted && reply.Result != ccwire.ClaimRecover {
		return true
	}
	valid := !r.cfg.Authority.cfg.Guards.Leases || now.Before(r.cfg.ValidUntil())
	return valid && r.cfg.Authority.GrantUsable(now, s.sent, s.id, reply)
}

// giveBack returns a grant that is not taken up. A claim to recover isn't given
// back, since tasks may have started under an earlier one.
func (r *Requester) giveBack(id ccjob.ID, reply ccwire.ClaimReply) {
	held, ok := r.held[id]
	if reply.Result == ccwire.ClaimGranted && (!ok || held.claim != reply.Claim) {
		r.release(id, reply.Claim)
	}
}

// ClaimFailed notes that a request had no reply.
func (r *Requester) ClaimFailed(now time.Time, token Token) {
	if s, ok := r.seeks[token.JobID]; ok && s.token == token {
		s.next = now.Add(claimRetry)
	}
}

// await asks the driver for the outcome.
func (r *Requester) await(now time.Time, s *seek, driver ccnode.Ref, claim uint64) {
	to, ok := r.find(driver)
	if !ok {
		s.next = now.Add(claimRetry)
		return
	}
	wait := min(awaitTime, s.due.Sub(now))
	s.token, s.sent, s.attached = r.nextToken(s.id), now, claim
	s.next = now.Add(wait + awaitSlack)
	r.act(&SendAwait{To: to, Token: s.token, Message: ccwire.Await{
		JobID: s.id, Digest: s.digest, Driver: driver, WaitMS: wait.Milliseconds(),
	}})
}

// HandleAwaitReply takes a driver's reply.
func (r *Requester) HandleAwaitReply(now time.Time, token Token, reply ccwire.AwaitReply) {
	s, ok := r.seeks[token.JobID]
	if !ok || s.token != token {
		return
	}
	if reply.Known && reply.Outcome.State != "" {
		r.finish(s, reply.Outcome)
		return
	}
	s.released, s.disowned = 0, 0
	switch {
	case reply.Known:
	case reply.ReleasedClaim == s.attached:
		s.released = s.attached
	default:
		s.disowned = s.attached
	}
	r.claim(now, s)
}

// AwaitFailed notes that a request had no reply. The driver may be gone, which
// the authority learns from the roster.
func (r *Requester) AwaitFailed(now time.Time, token Token) {
	if s, ok := r.seeks[token.JobID]; ok && s.token == token {
		s.attached = 0
		s.next = now.Add(claimRetry)
	}
}

// recover asks all agents what they know of the job.
func (r *Requester) recover(now time.Time, s *seek, reply ccwire.ClaimReply) {
	if s.orphaned.IsZero() {
		s.orphaned = now
	}
	lives, fresh := r.cfg.AgentIncarnations(s.orphaned)
	if !fresh {
		// The authority tells this entry to recover again when it claims again.
		s.next = now.Add(claimRetry)
		return
	}
	s.claimed = reply.Claim
	s.recovery = NewRecovery(RecoveryConfig{
		JobID: s.id, Claim: reply.Claim, Tasks: s.tasks, Since: time.UnixMilli(reply.EarliestStart), Incarnations: lives,
	})
	s.token = r.nextToken(s.id)
	r.askAgents(now, s)
	r.endRecovery(now, s)
}

func (r *Requester) askAgents(now time.Time, s *seek) {
	s.next = now.Add(recoverRetry)
	refs, message := s.recovery.Request()
	for _, ref := range refs {
		r.act(&SendRecover{Agent: ref, Token: s.token, Message: message})
	}
}

// HandleRecoverReply takes an agent's reply.
func (r *Requester) HandleRecoverReply(now time.Time, token Token, reply ccwire.RecoverReply) {
	s, ok := r.seeks[token.JobID]
	if !ok || s.token != token || s.recovery == nil {
		return
	}
	s.recovery.HandleReply(reply)
	r.endRecovery(now, s)
}

// AgentEnded notes that a life of an agent has ended.
func (r *Requester) AgentEnded(now time.Time, ref ccnode.Ref) {
	for _, id := range slices.Sorted(maps.Keys(r.seeks)) {
		if s := r.seeks[id]; s.recovery != nil {
			s.recovery.GiveUp(ref)
			r.endRecovery(now, s)
		}
	}
}

// endRecovery drives the job once all agents are heard, those included that
// appeared meanwhile. Without a valid lease it starts over.
func (r *Requester) endRecovery(now time.Time, s *seek) {
	if !s.recovery.Done() {
		return
	}
	lives, _ := r.cfg.AgentIncarnations(s.orphaned)
	if s.recovery.AddIncarnations(lives) {
		r.askAgents(now, s)
		return
	}
	if r.cfg.Authority.cfg.Guards.Leases && !now.Before(r.cfg.ValidUntil()) {
		s.recovery = nil
		s.next = now.Add(claimRetry)
		return
	}
	r.take(now, s, s.claimed, s.recovery.Tasks())
}

// tickSeek gives up a job that is due, or sends again what is overdue.
func (r *Requester) tickSeek(now time.Time, s *seek) {
	switch {
	case !now.Before(s.due):
		r.finish(s, ccjob.Fail(s.id, ccjob.KindDeadline, false, "the deadline passed before the job was claimed"))
	case now.Before(s.next):
	case s.recovery != nil:
		r.askAgents(now, s)
	default:
		r.claim(now, s)
	}
}
