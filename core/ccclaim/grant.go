package ccclaim

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// epochShift places the roster epoch above the claim number's count, so that a
// claim under a later epoch has the greater number whoever granted the earlier.
const epochShift = 32

// retentionMargins is how many clock margins before the end of retention an
// agent may already have forgotten a task: the job's time may be ahead of the
// entry's clock, that clock ahead of the agent's, and this one behind both.
const retentionMargins = 3

// Claim answers a requester. The lease counts from when its renewal was sent.
// A refusal changes nothing.
func (a *Authority) Claim(now time.Time, message ccwire.Claim, leaseValidUntil time.Time) ccwire.ClaimReply {
	reply := ccwire.ClaimReply{Epoch: a.roster.Epoch}
	s := &a.slots[ccroster.SlotOf(message.JobID)]
	reply.Result = a.mayGrant(now, message, s, leaseValidUntil)
	if reply.Result != ccwire.ClaimGranted {
		return reply
	}
	a.expire(now)
	if known, ok := s.claims[message.JobID]; ok {
		return a.claimKnown(now, message, known, reply)
	}
	return a.claimUnknown(now, message, s, reply)
}

// mayGrant returns ClaimGranted, or why nothing is granted now.
func (a *Authority) mayGrant(now time.Time, message ccwire.Claim, s *slot, leaseValidUntil time.Time) ccwire.ClaimResult {
	switch {
	case message.Epoch != a.roster.Epoch || !s.owned || !a.roster.Has(message.Driver):
		return ccwire.ClaimWrongEpoch
	case !s.ready:
		return ccwire.ClaimNotReady
	case a.cfg.Guards.Promises && s.promise > a.roster.Epoch:
		return ccwire.ClaimNotReady
	case a.cfg.Guards.Leases && !now.Before(leaseValidUntil):
		return ccwire.ClaimNotReady
	default:
		return ccwire.ClaimGranted
	}
}

// claimKnown decides about a job that was claimed before.
func (a *Authority) claimKnown(now time.Time, message ccwire.Claim, known *record, reply ccwire.ClaimReply) ccwire.ClaimReply {
	switch {
	case known.digest != message.Digest:
		reply.Result = ccwire.ClaimConflict
		return reply
	case known.released || known.claim == message.ReleasedClaim || !a.cfg.Guards.Claims:
		reply.Result = ccwire.ClaimGranted
	case a.driven(known, message):
		reply.Result = ccwire.ClaimAttach
		reply.Claim, reply.Driver = known.claim, known.driver
		return reply
	case known.key < a.agentsForgot(now):
		reply.Result = ccwire.ClaimUnprovable
		return reply
	default:
		reply.Result = ccwire.ClaimRecover
		reply.EarliestStart = a.earliestStart(known)
	}
	known.claim = max(known.claim, a.roster.Epoch<<epochShift) + 1
	known.driver, known.released = message.Driver, false
	known.granted = now.UnixMilli()
	reply.Claim = known.claim
	return reply
}

// driven reports whether the claim's driver may be working on it. A driver that
// claims anew has never used its claim, or has forgotten how it ended.
func (a *Authority) driven(known *record, message ccwire.Claim) bool {
	return a.roster.Has(known.driver) &&
		known.driver != message.Driver &&
		known.claim != message.UnknownClaim
}

// claimUnknown decides about a job that is not in the table.
func (a *Authority) claimUnknown(now time.Time, message ccwire.Claim, s *slot, reply ccwire.ClaimReply) ccwire.ClaimReply {
	fresh := newRecord(now, message)
	reply.Result = a.vouch(now, s, fresh)
	if reply.Result == ccwire.ClaimUnprovable || reply.Result == ccwire.ClaimInvalid {
		return reply
	}
	if !a.makeRoom(now) {
		if reply.Result == ccwire.ClaimRecover {
			// Full would say that the job is new, so the requester tries again.
			reply.Result = ccwire.ClaimNotReady
			return reply
		}
		reply.Result = ccwire.ClaimFull
		return reply
	}
	fresh.claim = max(s.floor, a.roster.Epoch<<epochShift) + 1
	a.add(s, fresh)
	reply.Claim = fresh.claim
	if reply.Result == ccwire.ClaimRecover {
		reply.EarliestStart = a.earliestStart(fresh)
	}
	return reply
}

// vouch says whether a job that is not in the table is new.
func (a *Authority) vouch(now time.Time, s *slot, fresh *record) ccwire.ClaimResult {
	isNew := fresh.timed && fresh.key > s.horizon || s.complete
	switch {
	case !a.cfg.Guards.ProveNew:
		return ccwire.ClaimGranted
	case isNew && fresh.timed && fresh.key > now.Add(a.cfg.ClockMargin).UnixMilli():
		// A job that may have run before is not refused for its time, since that
		// would say that it didn't: the clock of an earlier authority may be ahead.
		return ccwire.ClaimInvalid
	case isNew:
		return ccwire.ClaimGranted
	case fresh.timed && fresh.key >= a.agentsForgot(now):
		return ccwire.ClaimRecover
	default:
		return ccwire.ClaimUnprovable
	}
}

// agentsForgot returns the time of the jobs of which agents may have forgotten a
// task, in Unix milliseconds.
func (a *Authority) agentsForgot(now time.Time) int64 {
	return now.Add(retentionMargins*a.cfg.ClockMargin - a.cfg.Retention).UnixMilli()
}

// earliestStart returns the earliest time, on any clock of the fleet, at which a
// task of the job can have started.
func (a *Authority) earliestStart(known *record) int64 {
	return known.key - 2*a.cfg.ClockMargin.Milliseconds()
}

func newRecord(now time.Time, message ccwire.Claim) *record {
	fresh := &record{
		id: message.JobID, digest: message.Digest, driver: message.Driver,
		key: now.UnixMilli(), granted: now.UnixMilli(),
	}
	if jobTime, timed := message.JobID.Time(); timed {
		fresh.timed, fresh.key = true, jobTime.UnixMilli()
	}
	return fresh
}

// Release takes a claim back. A later claim on the job makes it void.
func (a *Authority) Release(message ccwire.Release) {
	known, ok := a.slots[ccroster.SlotOf(message.JobID)].claims[message.JobID]
	if ok && known.claim == message.Claim && known.driver == message.From {
		known.released = true
	}
}

// GrantUsable reports whether this entry may take up a grant that it receives now.
// The claim was sent at sent, on this entry's clock.
func (a *Authority) GrantUsable(now, sent time.Time, id ccjob.ID, reply ccwire.ClaimReply) bool {
	if !a.cfg.Guards.GrantTTL {
		return true
	}
	return now.Sub(sent) < a.cfg.GrantTTL && reply.Epoch >= a.slots[ccroster.SlotOf(id)].promise
}

// IsMember reports whether the roster in use has this life of an entry.
func (a *Authority) IsMember(ref ccnode.Ref) bool { return a.roster.Has(ref) }

// AuthorityOf returns the entry to ask about a job, and the epoch to ask under.
func (a *Authority) AuthorityOf(id ccjob.ID) (ccroster.Member, uint64, bool) {
	member, ok := a.roster.Authority(ccroster.SlotOf(id))
	return member, a.roster.Epoch, ok
}
