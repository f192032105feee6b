package ccoutage

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Quorum tracks what one entry knows about the store, its own lease and the other
// members, and derives from that until when the entry may act. Its tables hold
// members of the roster and few other nodes. It is not safe for concurrent use.
type Quorum struct {
	cfg                Config
	roster             *ccroster.Roster
	lastSeen           time.Time // When the latest call that the store answered was sent.
	leaseUntil         time.Time
	consents           map[ccnode.Ref]time.Time // Expiry of each consent.
	peerSeesStoreUntil time.Time                // Until when some peer counts as seeing the store.
	withheld           map[ccnode.Ref]uint64    // Incarnations that get no consent, with the epoch of the removal request.
	rosterEpochs       map[ccnode.Ref]uint64    // Newest roster epoch that each member has reported.
	dead               map[ccnode.Ref]struct{}  // Members whose process has ended.
	refused            map[ccnode.Ref]struct{}  // Members never heard from, whose hosts refuse connections.
}

// NewQuorum returns a Quorum without a roster or a lease, under which the entry
// may not act.
func NewQuorum(cfg Config) *Quorum {
	return &Quorum{
		cfg:          cfg,
		roster:       &ccroster.Roster{},
		consents:     map[ccnode.Ref]time.Time{},
		withheld:     map[ccnode.Ref]uint64{},
		rosterEpochs: map[ccnode.Ref]uint64{},
		dead:         map[ccnode.Ref]struct{}{},
		refused:      map[ccnode.Ref]struct{}{},
	}
}

// StoreSeen records that the store answered a call that was sent at the given time.
func (r *Quorum) StoreSeen(sent time.Time) {
	if sent.After(r.lastSeen) {
		r.lastSeen = sent
	}
}

// LeaseRenewed records when the entry's lease expires, counted from when its
// renewal was sent. Report a lease that replaces an expired one only after the
// renewed roster has been written under it.
func (r *Quorum) LeaseRenewed(until time.Time) {
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

// LeaseLost records that the lease has ended at the store.
func (r *Quorum) LeaseLost() { r.leaseUntil = time.Time{} }

// RosterChanged switches to a newer roster. It drops requests to remove a member
// that were made under an older roster: the member has been removed, or another
// write came first.
func (r *Quorum) RosterChanged(roster *ccroster.Roster) {
	if roster.Epoch <= r.roster.Epoch {
		return
	}
	r.roster = roster
	clear(r.consents)
	for ref, epoch := range r.withheld {
		if epoch < roster.Epoch {
			delete(r.withheld, ref)
		}
	}
	deleteNonMembers(r.rosterEpochs, roster)
	deleteNonMembers(r.dead, roster)
	deleteNonMembers(r.refused, roster)
	r.EpochReported(r.cfg.Self, roster.Epoch)
}

func deleteNonMembers[V any](table map[ccnode.Ref]V, roster *ccroster.Roster) {
	for ref := range table {
		if !roster.Has(ref) {
			delete(table, ref)
		}
	}
}

// EpochReported records which roster epoch a node uses, as stated in any of its
// messages. A later incarnation of a member proves that the earlier one has ended.
func (r *Quorum) EpochReported(ref ccnode.Ref, epoch uint64) {
	for _, member := range r.roster.Entries {
		if member.Ref.ID == ref.ID && member.Ref.Incarnation < ref.Incarnation {
			r.dead[member.Ref] = struct{}{}
		}
	}
	if r.roster.Has(ref) {
		r.rosterEpochs[ref] = max(r.rosterEpochs[ref], epoch)
		delete(r.refused, ref)
	}
}

// ConnectionRefused records that a member's host refuses connections at the
// member's address. If the member has been heard from before, this proves that
// its process has ended. Otherwise the address may be wrong, so the refusal counts
// only once the member's lease has ended too.
func (r *Quorum) ConnectionRefused(ref ccnode.Ref) {
	switch {
	case !r.roster.Has(ref):
	case r.rosterEpochs[ref] > 0:
		r.dead[ref] = struct{}{}
	default:
		r.refused[ref] = struct{}{}
	}
}

// markRefusedDead marks as dead the members whose hosts refuse connections and
// whose keys no longer exist.
func (r *Quorum) markRefusedDead(live map[ccnode.ID]ccnode.Ref) {
	for ref := range r.refused {
		if live[ref.ID] != ref {
			r.dead[ref] = struct{}{}
		}
	}
}

func (r *Quorum) isDead(ref ccnode.Ref) bool {
	_, dead := r.dead[ref]
	return dead
}

// RosterAdopted reports whether a majority of the roster's members use it or are
// dead, and so never use an older one again. The next roster must not be written
// before that.
func (r *Quorum) RosterAdopted() bool {
	if len(r.roster.Entries) == 0 {
		return true
	}
	count := 0
	for _, member := range r.roster.Entries {
		if r.isDead(member.Ref) || r.rosterEpochs[member.Ref] >= r.roster.Epoch {
			count++
		}
	}
	return count >= r.roster.Majority()
}

// SeesStore reports whether the store answered a call sent within the last
// StoreSeenTTL.
func (r *Quorum) SeesStore(now time.Time) bool {
	return now.Sub(r.lastSeen) < r.cfg.StoreSeenTTL
}

// NeedsConsent reports whether the entry should request consent from its peers.
func (r *Quorum) NeedsConsent(now time.Time) bool {
	return !r.SeesStore(now) && r.roster.Has(r.cfg.Self)
}

// NewRequest returns the consent request for the peers. It names the incarnations
// that this entry wants to remove, if any, and withholds this entry's own consent
// from them.
func (r *Quorum) NewRequest(now time.Time, removing []ccnode.Ref) ccwire.ConsentRequest {
	for _, ref := range removing {
		r.withheld[ref] = r.roster.Epoch
	}
	return ccwire.ConsentRequest{
		From: r.cfg.Self, Epoch: r.roster.Epoch, SawStore: r.SeesStore(now), Removing: removing,
	}
}

// HandleRequest answers a peer's consent request.
func (r *Quorum) HandleRequest(now time.Time, message ccwire.ConsentRequest) ccwire.ConsentReply {
	r.EpochReported(message.From, message.Epoch)
	reply := ccwire.ConsentReply{
		From:       r.cfg.Self,
		Epoch:      r.roster.Epoch,
		StoreAgeMS: now.Sub(r.lastSeen).Milliseconds(),
	}
	if message.Epoch >= r.roster.Epoch {
		for _, ref := range message.Removing {
			r.withheld[ref] = max(r.withheld[ref], message.Epoch)
		}
		reply.Denies = message.Removing
	}
	_, withheld := r.withheld[message.From]
	reply.Consents = !withheld && !r.SeesStore(now) &&
		r.roster.Has(message.From) && message.Epoch == r.roster.Epoch
	return reply
}

// ReplyReceived processes the reply to a consent request that was sent at the
// given time.
func (r *Quorum) ReplyReceived(sent time.Time, reply ccwire.ConsentReply) {
	r.EpochReported(reply.From, reply.Epoch)
	age := time.Duration(reply.StoreAgeMS) * time.Millisecond
	if age < r.cfg.StoreSeenTTL {
		r.peerSeesStoreUntil = sent.Add(r.cfg.StoreSeenTTL)
	}
	member := r.roster.Has(reply.From) && reply.Epoch == r.roster.Epoch
	if reply.Consents && member && !sent.Before(r.peerSeesStoreUntil) {
		r.consents[reply.From] = sent.Add(r.cfg.ConsentTTL)
	}
}

// ValidUntil returns until when the entry may grant claims and start tasks: until
// its lease expires or it no longer has the consent of a majority, whichever is
// later.
func (r *Quorum) ValidUntil() time.Time {
	until := r.consentUntil()
	if r.leaseUntil.After(until) {
		return r.leaseUntil
	}
	return until
}

// OnConsent reports whether the entry's lease has expired and it continues only
// with the consent of its peers.
func (r *Quorum) OnConsent(now time.Time) bool {
	return !now.Before(r.leaseUntil) && now.Before(r.consentUntil())
}

// consentUntil returns until when a majority consents. The entry's own consent
// doesn't expire, so the peers needed for a majority are one fewer, and the
// earliest expiry among those whose consents last longest counts.
func (r *Quorum) consentUntil() time.Time {
	needed := r.roster.Majority() - 1
	if needed < 1 || len(r.consents) < needed || !r.roster.Has(r.cfg.Self) {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(r.consents))
	for _, end := range r.consents {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[needed-1]
}
