package ccclaim

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// epochShift puts the roster epoch in the bits of a claim number above its
// counter, so that a claim under a later epoch has the greater number,
// whichever entry granted the earlier one.
const epochShift = 32

// retentionMargins is how many clock margins before the end of retention an
// agent may already have forgotten a task: the job's timestamp may be ahead of
// the entry's clock, that clock ahead of the agent's, and this entry's clock
// behind both.
const retentionMargins = 3

// Claim answers a claim request. The lease period starts when the renewal of the
// lease was sent. A refusal changes nothing.
func (a *Authority) Claim(now time.Time, message ccwire.Claim, leaseValidUntil time.Time) ccwire.ClaimReply {
	reply := ccwire.ClaimReply{Epoch: a.roster.Epoch}
	s := &a.slots[ccroster.SlotOf(message.JobID)]
	reply.Result = a.grantResult(now, message, s, leaseValidUntil)
	if reply.Result != ccwire.ClaimGranted {
		return reply
	}
	a.expire(now)
	if known, ok := s.claims[message.JobID]; ok {
		return a.claimKnown(now, message, known, reply)
	}
	return a.claimUnknown(now, message, s, reply)
}

// grantResult returns ClaimGranted, or the reason why nothing can be granted
// now.
func (a *Authority) grantResult(now time.Time, message ccwire.Claim, s *slot, leaseValidUntil time.Time) ccwire.ClaimResult {
	switch {
	case message.Epoch != a.roster.Epoch || !s.owned || !a.roster.Has(message.Driver):
		return ccwire.ClaimWrongEpoch
	case !s.ready:
		return ccwire.ClaimNotReady
	case a.cfg.Guards.Promises && s.promisedEpoch > a.roster.Epoch:
		return ccwire.ClaimNotReady
	case a.cfg.Guards.Leases && !now.Before(leaseValidUntil):
		return ccwire.ClaimNotReady
	default:
		return ccwire.ClaimGranted
	}
}

// claimKnown answers a claim on a job that is in the table.
func (a *Authority) claimKnown(now time.Time, message ccwire.Claim, known *record, reply ccwire.ClaimReply) ccwire.ClaimReply {
	switch {
	case known.digest != message.Digest:
		reply.Result = ccwire.ClaimConflict
		return reply
	case known.released || known.claim == message.ReleasedClaim || !a.cfg.Guards.Claims:
		reply.Result = ccwire.ClaimGranted
	case a.mayBeDriven(known, message):
		reply.Result = ccwire.ClaimAttach
		reply.Claim, reply.Driver = known.claim, known.driver
		return reply
	case known.createdAt < a.recoveryCutoff(now):
		reply.Result = ccwire.ClaimUnprovable
		return reply
	default:
		reply.Result = ccwire.ClaimRecover
		reply.EarliestStart = a.earliestStart(known)
	}
	known.claim = max(known.claim, a.roster.Epoch<<epochShift) + 1
	known.driver, known.released = message.Driver, false
	known.grantedAt = now.UnixMilli()
	reply.Claim = known.claim
	return reply
}

// mayBeDriven reports whether the claim's driver may be working on the job. A
// driver that claims the job again has never used its claim, or has forgotten
// how the job ended.
func (a *Authority) mayBeDriven(known *record, message ccwire.Claim) bool {
	return a.roster.Has(known.driver) &&
		known.driver != message.Driver &&
		known.claim != message.UnknownClaim
}

// claimUnknown answers a claim on a job that is not in the table.
func (a *Authority) claimUnknown(now time.Time, message ccwire.Claim, s *slot, reply ccwire.ClaimReply) ccwire.ClaimReply {
	candidate := newRecord(now, message)
	reply.Result = a.unknownResult(now, s, candidate)
	if reply.Result == ccwire.ClaimUnprovable || reply.Result == ccwire.ClaimInvalid {
		return reply
	}
	if !a.ensureCapacity(now) {
		if reply.Result == ccwire.ClaimRecover {
			// ClaimFull would imply that the job is new. With ClaimNotReady the
			// requester tries again.
			reply.Result = ccwire.ClaimNotReady
			return reply
		}
		reply.Result = ccwire.ClaimFull
		return reply
	}
	candidate.claim = max(s.maxForgotten, a.roster.Epoch<<epochShift) + 1
	a.add(s, candidate)
	reply.Claim = candidate.claim
	if reply.Result == ccwire.ClaimRecover {
		reply.EarliestStart = a.earliestStart(candidate)
	}
	return reply
}

// unknownResult decides whether a job that is not in the table is new.
func (a *Authority) unknownResult(now time.Time, s *slot, candidate *record) ccwire.ClaimResult {
	isNew := candidate.hasTimestamp && candidate.createdAt > s.horizon || s.complete
	switch {
	case !a.cfg.Guards.ProveNew:
		return ccwire.ClaimGranted
	case isNew && candidate.hasTimestamp && candidate.createdAt > now.Add(a.cfg.ClockMargin).UnixMilli():
		// A job that may have run before is not refused for a timestamp in the
		// future, because the refusal would imply that it has not run. An
		// earlier authority whose clock is ahead may have granted it.
		return ccwire.ClaimInvalid
	case isNew:
		return ccwire.ClaimGranted
	case candidate.hasTimestamp && candidate.createdAt >= a.recoveryCutoff(now):
		return ccwire.ClaimRecover
	default:
		return ccwire.ClaimUnprovable
	}
}

// recoveryCutoff returns a time in Unix milliseconds. Agents may have forgotten
// tasks of the jobs created before it.
func (a *Authority) recoveryCutoff(now time.Time) int64 {
	return now.Add(retentionMargins*a.cfg.ClockMargin - a.cfg.Retention).UnixMilli()
}

// earliestStart returns the earliest time, on any clock of the fleet, at which
// a task of the job can have started.
func (a *Authority) earliestStart(known *record) int64 {
	return known.createdAt - 2*a.cfg.ClockMargin.Milliseconds()
}

func newRecord(now time.Time, message ccwire.Claim) *record {
	created := &record{
		id: message.JobID, digest: message.Digest, driver: message.Driver,
		createdAt: now.UnixMilli(), grantedAt: now.UnixMilli(),
	}
	if jobTime, hasTimestamp := message.JobID.Time(); hasTimestamp {
		created.hasTimestamp, created.createdAt = true, jobTime.UnixMilli()
	}
	return created
}

// Release marks a claim as returned. It has no effect if there is a later claim
// on the job.
func (a *Authority) Release(message ccwire.Release) {
	known, ok := a.slots[ccroster.SlotOf(message.JobID)].claims[message.JobID]
	if ok && known.claim == message.Claim && known.driver == message.From {
		known.released = true
	}
}

// GrantUsable reports whether this entry may accept a grant that it receives
// now. The parameter sent is when it sent the claim, on its own clock.
func (a *Authority) GrantUsable(now, sent time.Time, id ccjob.ID, reply ccwire.ClaimReply) bool {
	if !a.cfg.Guards.GrantTTL {
		return true
	}
	return now.Sub(sent) < a.cfg.GrantTTL && reply.Epoch >= a.slots[ccroster.SlotOf(id)].promisedEpoch
}

// IsMember reports whether the current roster contains this incarnation of an
// entry.
func (a *Authority) IsMember(ref ccnode.Ref) bool { return a.roster.Has(ref) }

// AuthorityOf returns the entry that is the authority for a job, and the epoch
// under which to send it a claim.
func (a *Authority) AuthorityOf(id ccjob.ID) (ccroster.Member, uint64, bool) {
	member, ok := a.roster.Authority(ccroster.SlotOf(id))
	return member, a.roster.Epoch, ok
}
