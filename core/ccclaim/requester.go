package ccclaim

import (
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

const (
	// claimRetry is the pause before a claim is sent again to an authority that
	// can't grant yet.
	claimRetry = 25 * time.Millisecond
	// maxAwait is how long a driver holds an Await request before it answers
	// without an outcome.
	maxAwait = 2 * time.Second
	// awaitSlack is how much longer the requester waits for that answer.
	awaitSlack = 500 * time.Millisecond
	// recoverRetry is the pause before an agent is asked again.
	recoverRetry = 250 * time.Millisecond
)

// RequesterConfig configures a Requester.
type RequesterConfig struct {
	Self      ccnode.Ref
	Authority *Authority // Of the same entry.
	GrantTTL  time.Duration
	// Retention is how long accepted claims are reported to authorities that
	// take slots over.
	Retention time.Duration
	// ValidUntil returns the time until which the entry may grant claims and
	// drive jobs.
	ValidUntil func() time.Time
	// AgentIncarnations lists the incarnations of all agents. It returns false
	// if the list was last read from the store before the given time: an agent
	// that is missing from an older list may have started tasks for the job's
	// lost driver.
	AgentIncarnations func(since time.Time) ([]AgentIncarnation, bool)
}

// Requester obtains for one entry the right to drive jobs, or the outcomes of
// jobs that other entries drive. It is not safe for concurrent use. Its memory
// holds the pending jobs, whose number the caller controls, and the claims
// accepted within the retention.
type Requester struct {
	cfg         RequesterConfig
	pending     map[ccjob.ID]*claimState
	held        map[ccjob.ID]*heldClaim
	expiryQueue []*heldClaim // Held claims, oldest first.
	actions     []Action
	seq         uint64
}

// heldClaim is a claim that the entry has accepted.
type heldClaim struct {
	id         ccjob.ID
	digest     uint64
	claim      uint64
	acceptedAt time.Time
	released   bool
}

// NewRequester returns a requester without pending jobs.
func NewRequester(cfg RequesterConfig) *Requester {
	return &Requester{cfg: cfg, pending: map[ccjob.ID]*claimState{}, held: map[ccjob.ID]*heldClaim{}}
}

// Actions returns the actions that have accumulated since the last call.
func (r *Requester) Actions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// ClaimJob starts to claim a job. This ends with a Drive or a Finish action.
// When the deadline passes first, the requester gives up, and it is not known
// whether the job has run.
func (r *Requester) ClaimJob(now time.Time, spec *ccjob.Spec, deadline time.Time) {
	s := &claimState{id: spec.ID, digest: spec.Digest(), tasks: len(spec.Payloads), deadline: deadline}
	r.pending[spec.ID] = s
	r.sendClaim(now, s)
}

// Pending reports whether a job is still being claimed, that is, neither driven
// nor finished.
func (r *Requester) Pending(id ccjob.ID) bool {
	_, ok := r.pending[id]
	return ok
}

// JobEnded records that a job driven by this entry has ended. The flag released
// says that none of its tasks started; the claim is then returned to its
// authority.
func (r *Requester) JobEnded(id ccjob.ID, claim uint64, released bool) {
	held, ok := r.held[id]
	if !ok || held.claim != claim || !released {
		return
	}
	held.released = true
	r.release(id, claim)
}

// Tick resends requests that got no reply and gives up jobs whose deadline has
// passed.
func (r *Requester) Tick(now time.Time) {
	for len(r.expiryQueue) > 0 && now.Sub(r.expiryQueue[0].acceptedAt) > r.cfg.Retention {
		oldest := r.expiryQueue[0]
		r.expiryQueue = r.expiryQueue[1:]
		if r.held[oldest.id] == oldest {
			delete(r.held, oldest.id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		r.retryPending(now, r.pending[id])
	}
}

// HeldClaims lists the claims that the entry has accepted in the given slots,
// for authorities that take these over.
func (r *Requester) HeldClaims(slots []int) []ccwire.GatherClaim {
	var wanted [ccroster.SlotCount]bool
	for _, slot := range slots {
		if slot >= 0 && slot < ccroster.SlotCount {
			wanted[slot] = true
		}
	}
	var claims []ccwire.GatherClaim
	for _, held := range r.held {
		if !wanted[ccroster.SlotOf(held.id)] {
			continue
		}
		claims = append(claims, ccwire.GatherClaim{
			JobID: held.id, Digest: held.digest, Claim: held.claim, Driver: r.cfg.Self,
			Granted: held.acceptedAt.UnixMilli(), Released: held.released,
		})
	}
	return claims
}

// ReplyToAwait returns the reply to another entry that awaits a job which this
// entry neither drives nor has the outcome of. It returns false while this
// entry is still claiming the job; the reply must then wait.
func (r *Requester) ReplyToAwait(message ccwire.Await) (ccwire.AwaitReply, bool) {
	if r.Pending(message.JobID) && message.Driver == r.cfg.Self {
		return ccwire.AwaitReply{}, false
	}
	reply := ccwire.AwaitReply{}
	if held, ok := r.held[message.JobID]; ok && held.released && message.Driver == r.cfg.Self {
		reply.ReleasedClaim = held.claim
	}
	return reply, true
}

func (r *Requester) emit(action Action) { r.actions = append(r.actions, action) }

func (r *Requester) nextToken(id ccjob.ID) Token {
	r.seq++
	return Token{JobID: id, Seq: r.seq}
}

// release returns a claim to its authority, which may be this entry.
func (r *Requester) release(id ccjob.ID, claim uint64) {
	message := ccwire.Release{JobID: id, Claim: claim, From: r.cfg.Self}
	to, _, ok := r.cfg.Authority.AuthorityOf(id)
	switch {
	case !ok:
	case to.Ref == r.cfg.Self:
		r.cfg.Authority.Release(message)
	default:
		r.emit(&SendRelease{To: to, Message: message})
	}
}

// startDriving records a claim as accepted and hands the job to the caller.
func (r *Requester) startDriving(now time.Time, s *claimState, claim uint64, recovered []RecoveredTask) {
	delete(r.pending, s.id)
	r.recordHeld(now, s, claim)
	r.emit(&Drive{JobID: s.id, Claim: claim, Recovered: recovered})
}

func (r *Requester) recordHeld(now time.Time, s *claimState, claim uint64) {
	held := &heldClaim{id: s.id, digest: s.digest, claim: claim, acceptedAt: now}
	r.held[s.id] = held
	r.expiryQueue = append(r.expiryQueue, held)
}

func (r *Requester) finish(s *claimState, outcome ccjob.Outcome) {
	delete(r.pending, s.id)
	r.emit(&Finish{Outcome: outcome})
}

// findMember returns the member with this incarnation, if it is still in the
// roster.
func (r *Requester) findMember(ref ccnode.Ref) (ccroster.Member, bool) {
	return r.cfg.Authority.roster.Find(ref)
}
