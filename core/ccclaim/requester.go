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
	// claimRetry is the pause after an authority that may not grant yet.
	claimRetry = 25 * time.Millisecond
	// awaitTime is how long a driver holds an Await before it answers without an
	// outcome.
	awaitTime = 2 * time.Second
	// awaitSlack is how much longer the requester waits for that answer.
	awaitSlack = 500 * time.Millisecond
	// recoverRetry is the pause before an agent is asked again.
	recoverRetry = 250 * time.Millisecond
)

// RequesterConfig describes a Requester.
type RequesterConfig struct {
	Self      ccnode.Ref
	Authority *Authority // The same entry's.
	GrantTTL  time.Duration
	// Retention is how long claims are listed to authorities that gather.
	Retention time.Duration
	// ValidUntil returns until when the entry may grant and drive.
	ValidUntil func() time.Time
	// AgentIncarnations lists the lives of agents. It is false while the list has not been
	// read from the store after the given time: an agent that is missing from an
	// older list may have started tasks for the job's lost driver.
	AgentIncarnations func(since time.Time) ([]AgentIncarnation, bool)
}

// Requester gets the right to drive jobs for one entry, or their outcomes from
// those that have it. It is not safe for use by several goroutines. It knows as
// many jobs as its caller begins, and the claims taken up within the retention.
type Requester struct {
	cfg     RequesterConfig
	seeks   map[ccjob.ID]*seek
	held    map[ccjob.ID]*heldClaim
	expiry  []*heldClaim // Held claims, oldest first.
	actions []Action
	seq     uint64
}

// heldClaim is a claim that the entry has taken up.
type heldClaim struct {
	id       ccjob.ID
	digest   uint64
	claim    uint64
	at       time.Time
	released bool
}

// NewRequester returns a requester that seeks nothing.
func NewRequester(cfg RequesterConfig) *Requester {
	return &Requester{cfg: cfg, seeks: map[ccjob.ID]*seek{}, held: map[ccjob.ID]*heldClaim{}}
}

// Actions returns what there is to do since the last call.
func (r *Requester) Actions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// ClaimJob seeks the right to drive a job. It ends with Drive or Finish; at due it
// gives up, and then nothing is known of the job.
func (r *Requester) ClaimJob(now time.Time, spec *ccjob.Spec, due time.Time) {
	s := &seek{id: spec.ID, digest: spec.Digest(), tasks: len(spec.Payloads), due: due}
	r.seeks[spec.ID] = s
	r.claim(now, s)
}

// Pending reports whether a job is sought and neither driven nor finished.
func (r *Requester) Pending(id ccjob.ID) bool {
	_, ok := r.seeks[id]
	return ok
}

// JobEnded notes how a job that this entry drove has ended. Released says that
// nothing of it started; the claim then goes back to its authority.
func (r *Requester) JobEnded(id ccjob.ID, claim uint64, released bool) {
	held, ok := r.held[id]
	if !ok || held.claim != claim || !released {
		return
	}
	held.released = true
	r.release(id, claim)
}

// Tick sends again what had no answer and gives up what is due.
func (r *Requester) Tick(now time.Time) {
	for len(r.expiry) > 0 && now.Sub(r.expiry[0].at) > r.cfg.Retention {
		oldest := r.expiry[0]
		r.expiry = r.expiry[1:]
		if r.held[oldest.id] == oldest {
			delete(r.held, oldest.id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.seeks)) {
		r.tickSeek(now, r.seeks[id])
	}
}

// HeldClaims lists the claims that were taken up in the slots, for authorities that
// gather.
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
			Granted: held.at.UnixMilli(), Released: held.released,
		})
	}
	return claims
}

// ReplyToAwait returns what to answer to another entry that asks for a job which this
// entry neither drives nor has the outcome of. It is false while the job's claim
// is still sought, and then the answer has to wait.
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

func (r *Requester) act(action Action) { r.actions = append(r.actions, action) }

func (r *Requester) nextToken(id ccjob.ID) Token {
	r.seq++
	return Token{JobID: id, Seq: r.seq}
}

// release sends a claim back, which may be to this entry itself.
func (r *Requester) release(id ccjob.ID, claim uint64) {
	message := ccwire.Release{JobID: id, Claim: claim, From: r.cfg.Self}
	to, _, ok := r.cfg.Authority.AuthorityOf(id)
	switch {
	case !ok:
	case to.Ref == r.cfg.Self:
		r.cfg.Authority.Release(message)
	default:
		r.act(&SendRelease{To: to, Message: message})
	}
}

// take notes a claim as taken up and hands the job over.
func (r *Requester) take(now time.Time, s *seek, claim uint64, fates []RecoveredTask) {
	delete(r.seeks, s.id)
	r.hold(now, s, claim)
	r.act(&Drive{JobID: s.id, Claim: claim, Recovered: fates})
}

func (r *Requester) hold(now time.Time, s *seek, claim uint64) {
	held := &heldClaim{id: s.id, digest: s.digest, claim: claim, at: now}
	r.held[s.id] = held
	r.expiry = append(r.expiry, held)
}

func (r *Requester) finish(s *seek, outcome ccjob.Outcome) {
	delete(r.seeks, s.id)
	r.act(&Finish{Outcome: outcome})
}

// find returns the member that is this life, if the roster still has it.
func (r *Requester) find(ref ccnode.Ref) (ccroster.Member, bool) {
	return r.cfg.Authority.roster.Find(ref)
}
