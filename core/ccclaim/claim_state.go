package ccclaim

import (
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// claimState is a job that the entry is claiming and does not drive yet.
type claimState struct {
	id            ccjob.ID
	digest        uint64
	tasks         int
	deadline      time.Time
	token         Token     // Of the request in progress.
	sentAt        time.Time // When that request was sent.
	next          time.Time // When to send it again.
	releasedClaim uint64    // A claim that its driver returned.
	disownedClaim uint64
	awaitedClaim  uint64    // The claim of the driver whose outcome is awaited.
	orphanedAt    time.Time // When the job was first known to have no driver.
	recovery      *Recovery
	recoveryClaim uint64 // The claim under which the recovery runs.
}

// sendClaim sends a claim to the authority. If that is this entry, it is called
// directly.
func (r *Requester) sendClaim(now time.Time, s *claimState) {
	s.recovery, s.awaitedClaim = nil, 0
	s.token, s.sentAt = r.nextToken(s.id), now
	s.next = now.Add(r.cfg.GrantTTL)
	to, epoch, ok := r.cfg.Authority.AuthorityOf(s.id)
	if !ok {
		s.next = now.Add(claimRetry)
		return
	}
	message := ccwire.Claim{
		Epoch: epoch, JobID: s.id, Digest: s.digest, Driver: r.cfg.Self,
		ReleasedClaim: s.releasedClaim, UnknownClaim: s.disownedClaim,
	}
	if to.Ref != r.cfg.Self {
		r.emit(&SendClaim{To: to, Token: s.token, Message: message})
		return
	}
	r.HandleClaimReply(now, s.token, r.cfg.Authority.Claim(now, message, r.cfg.ValidUntil()))
}

// HandleClaimReply processes an authority's reply.
func (r *Requester) HandleClaimReply(now time.Time, token Token, reply ccwire.ClaimReply) {
	s, ok := r.pending[token.JobID]
	late := ok && s.token != token && r.cfg.Authority.cfg.Guards.GrantTTL
	if !ok || late {
		r.returnGrant(token.JobID, reply)
		return
	}
	if !r.usable(now, s, reply) {
		s.next = now.Add(claimRetry)
		r.returnGrant(token.JobID, reply)
		return
	}
	switch reply.Result {
	case ccwire.ClaimGranted:
		r.startDriving(now, s, reply.Claim, nil)
	case ccwire.ClaimRecover:
		r.startRecovery(now, s, reply)
	case ccwire.ClaimAttach:
		r.sendAwait(now, s, reply.Driver, reply.Claim)
	case ccwire.ClaimConflict:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindConflict, false, "the jobID is already in use with different content"))
	case ccwire.ClaimUnprovable:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindUnprovable, false, "cannot determine whether the job has already run"))
	// The next two results leave the requester without a claim, so another
	// submission of the job may have been granted one since the authority
	// answered.
	case ccwire.ClaimInvalid:
		r.waitForJobTime(now, s)
	case ccwire.ClaimFull:
		r.finish(s, ccjob.Fail(s.id, ccjob.KindOverload, false, "the claim table is full"))
	default:
		s.next = now.Add(claimRetry)
	}
}

// waitForJobTime claims the job again until the fleet's clocks have caught up
// with its timestamp, since the client's clock may just be ahead. It gives up
// at once if the timestamp is beyond the job's deadline.
func (r *Requester) waitForJobTime(now time.Time, s *claimState) {
	if jobTime, _ := s.id.Time(); jobTime.Add(-r.cfg.Authority.cfg.ClockMargin).After(s.deadline) {
		r.finish(s, ccjob.Fail(s.id, ccjob.KindInvalid, false, "the timestamp in the jobID is in the future"))
		return
	}
	s.next = now.Add(claimRetry)
}

// usable reports whether a grant may be accepted now. A reply that grants
// nothing is always usable.
func (r *Requester) usable(now time.Time, s *claimState, reply ccwire.ClaimReply) bool {
	if reply.Result != ccwire.ClaimGranted && reply.Result != ccwire.ClaimRecover {
		return true
	}
	valid := !r.cfg.Authority.cfg.Guards.Leases || now.Before(r.cfg.ValidUntil())
	return valid && r.cfg.Authority.GrantUsable(now, s.sentAt, s.id, reply)
}

// returnGrant returns a grant that is not accepted. A grant with ClaimRecover
// is not returned, since tasks may have started under an earlier claim.
func (r *Requester) returnGrant(id ccjob.ID, reply ccwire.ClaimReply) {
	held, ok := r.held[id]
	if reply.Result == ccwire.ClaimGranted && (!ok || held.claim != reply.Claim) {
		r.release(id, reply.Claim)
	}
}

// ClaimFailed records that a claim got no reply.
func (r *Requester) ClaimFailed(now time.Time, token Token) {
	if s, ok := r.pending[token.JobID]; ok && s.token == token {
		s.next = now.Add(claimRetry)
	}
}

// sendAwait asks the driver for the outcome.
func (r *Requester) sendAwait(now time.Time, s *claimState, driver ccnode.Ref, claim uint64) {
	to, ok := r.findMember(driver)
	if !ok {
		s.next = now.Add(claimRetry)
		return
	}
	wait := min(maxAwait, s.deadline.Sub(now))
	s.token, s.sentAt, s.awaitedClaim = r.nextToken(s.id), now, claim
	s.next = now.Add(wait + awaitSlack)
	r.emit(&SendAwait{To: to, Token: s.token, Message: ccwire.Await{
		JobID: s.id, Digest: s.digest, Driver: driver, WaitMS: wait.Milliseconds(),
	}})
}

// HandleAwaitReply processes a driver's reply.
func (r *Requester) HandleAwaitReply(now time.Time, token Token, reply ccwire.AwaitReply) {
	s, ok := r.pending[token.JobID]
	if !ok || s.token != token {
		return
	}
	if reply.Known && reply.Outcome.State != "" {
		r.finish(s, reply.Outcome)
		return
	}
	s.releasedClaim, s.disownedClaim = 0, 0
	switch {
	case reply.Known:
	case reply.ReleasedClaim == s.awaitedClaim:
		s.releasedClaim = s.awaitedClaim
	default:
		s.disownedClaim = s.awaitedClaim
	}
	r.sendClaim(now, s)
}

// AwaitFailed records that an Await got no reply. The driver may be gone, which
// the authority learns from the roster.
func (r *Requester) AwaitFailed(now time.Time, token Token) {
	if s, ok := r.pending[token.JobID]; ok && s.token == token {
		s.awaitedClaim = 0
		s.next = now.Add(claimRetry)
	}
}

// startRecovery asks all agents what they know of the job.
func (r *Requester) startRecovery(now time.Time, s *claimState, reply ccwire.ClaimReply) {
	if s.orphanedAt.IsZero() {
		s.orphanedAt = now
	}
	incarnations, current := r.cfg.AgentIncarnations(s.orphanedAt)
	if !current {
		// The next claim makes the authority request the recovery again.
		s.next = now.Add(claimRetry)
		return
	}
	s.recoveryClaim = reply.Claim
	s.recovery = NewRecovery(RecoveryConfig{
		JobID: s.id, Claim: reply.Claim, Tasks: s.tasks, Since: time.UnixMilli(reply.EarliestStart), Incarnations: incarnations,
	})
	s.token = r.nextToken(s.id)
	r.askAgents(now, s)
	r.finishRecovery(now, s)
}

func (r *Requester) askAgents(now time.Time, s *claimState) {
	s.next = now.Add(recoverRetry)
	refs, message := s.recovery.Request()
	for _, ref := range refs {
		r.emit(&SendRecover{Agent: ref, Token: s.token, Message: message})
	}
}

// HandleRecoverReply processes an agent's reply.
func (r *Requester) HandleRecoverReply(now time.Time, token Token, reply ccwire.RecoverReply) {
	s, ok := r.pending[token.JobID]
	if !ok || s.token != token || s.recovery == nil {
		return
	}
	s.recovery.HandleReply(reply)
	r.finishRecovery(now, s)
}

// AgentEnded records that an incarnation of an agent has ended.
func (r *Requester) AgentEnded(now time.Time, ref ccnode.Ref) {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		if s := r.pending[id]; s.recovery != nil {
			s.recovery.GiveUp(ref)
			r.finishRecovery(now, s)
		}
	}
}

// finishRecovery drives the job once all agents have answered or were given up,
// including those that appeared during the recovery. Without a valid lease it
// starts over with a new claim.
func (r *Requester) finishRecovery(now time.Time, s *claimState) {
	if !s.recovery.Done() {
		return
	}
	incarnations, _ := r.cfg.AgentIncarnations(s.orphanedAt)
	if s.recovery.AddIncarnations(incarnations) {
		r.askAgents(now, s)
		return
	}
	if r.cfg.Authority.cfg.Guards.Leases && !now.Before(r.cfg.ValidUntil()) {
		s.recovery = nil
		s.next = now.Add(claimRetry)
		return
	}
	r.startDriving(now, s, s.recoveryClaim, s.recovery.Tasks())
}

// retryPending gives up a job whose deadline has passed, or resends a request
// that is overdue.
func (r *Requester) retryPending(now time.Time, s *claimState) {
	switch {
	case !now.Before(s.deadline):
		r.finish(s, ccjob.Fail(s.id, ccjob.KindDeadline, false, "the deadline passed before the job was claimed"))
	case now.Before(s.next):
	case s.recovery != nil:
		r.askAgents(now, s)
	default:
		r.sendClaim(now, s)
	}
}
