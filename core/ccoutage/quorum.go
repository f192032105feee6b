package ccoutage

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Quorum is one entry's state. It is not safe for use by several goroutines. Its
// tables hold members of the roster, and few others.
type Quorum struct {
	cfg        Config
	roster     *ccroster.Roster
	lastSeen   time.Time // When the newest call that the store answered was sent.
	leaseUntil time.Time
	consents   map[ccnode.Ref]time.Time // End of each consent.
	sighted    time.Time                // Until when a peer is known to see the store.
	withheld   map[ccnode.Ref]uint64    // Lives to be removed, with the epoch of the wish.
	applied    map[ccnode.Ref]uint64    // The newest epoch that each member has told of.
	dead       map[ccnode.Ref]struct{}  // Members whose process has ended.
	refused    map[ccnode.Ref]struct{}  // Members never heard, whose hosts refuse connections.
}

// NewQuorum returns a rule that has seen nothing and lets the entry do nothing.
func NewQuorum(cfg Config) *Quorum {
	return &Quorum{
		cfg:      cfg,
		roster:   &ccroster.Roster{},
		consents: map[ccnode.Ref]time.Time{},
		withheld: map[ccnode.Ref]uint64{},
		applied:  map[ccnode.Ref]uint64{},
		dead:     map[ccnode.Ref]struct{}{},
		refused:  map[ccnode.Ref]struct{}{},
	}
}

// StoreSeen notes a call that the store answered. It was sent at sent.
func (r *Quorum) StoreSeen(sent time.Time) {
	if sent.After(r.lastSeen) {
		r.lastSeen = sent
	}
}

// LeaseRenewed notes until when the entry's lease holds, counted from when its
// renewal was sent. A lease that replaces a lapsed one counts only once the
// renewed roster has been swapped in under it.
func (r *Quorum) LeaseRenewed(until time.Time) {
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

// LeaseLost notes that the store has ended the lease.
func (r *Quorum) LeaseLost() { r.leaseUntil = time.Time{} }

// RosterChanged takes a newer roster. Wishes to remove somebody that were made
// under an older one have been met, or have lost their race.
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
	forgetStrangers(r.applied, roster)
	forgetStrangers(r.dead, roster)
	forgetStrangers(r.refused, roster)
	r.EpochReported(r.cfg.Self, roster.Epoch)
}

func forgetStrangers[V any](table map[ccnode.Ref]V, roster *ccroster.Roster) {
	for ref := range table {
		if !roster.Has(ref) {
			delete(table, ref)
		}
	}
}

// EpochReported notes that a member has told, in any message, which epoch it uses. A
// later life of a member proves that the earlier one has ended.
func (r *Quorum) EpochReported(ref ccnode.Ref, epoch uint64) {
	for _, member := range r.roster.Entries {
		if member.Ref.ID == ref.ID && member.Ref.Incarnation < ref.Incarnation {
			r.dead[member.Ref] = struct{}{}
		}
	}
	if r.roster.Has(ref) {
		r.applied[ref] = max(r.applied[ref], epoch)
		delete(r.refused, ref)
	}
}

// ConnectionRefused notes that a member's host refuses connections at its address. That
// proves that its process has ended if it was heard there before. Otherwise the
// address may be wrong, so it counts only once the member's lease has ended too.
func (r *Quorum) ConnectionRefused(ref ccnode.Ref) {
	switch {
	case !r.roster.Has(ref):
	case r.applied[ref] > 0:
		r.dead[ref] = struct{}{}
	default:
		r.refused[ref] = struct{}{}
	}
}

// lapsed notes which members' keys are there, and that those which are not and
// whose hosts refuse connections are dead.
func (r *Quorum) lapsed(live map[ccnode.ID]ccnode.Ref) {
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

// RosterAdopted reports whether a majority of the roster uses it, or will never use an
// older one. The next roster must not be swapped in before that.
func (r *Quorum) RosterAdopted() bool {
	if len(r.roster.Entries) == 0 {
		return true
	}
	count := 0
	for _, member := range r.roster.Entries {
		if r.isDead(member.Ref) || r.applied[member.Ref] >= r.roster.Epoch {
			count++
		}
	}
	return count >= r.roster.Majority()
}

// SeesStore reports whether the store answered within the last SightLife.
func (r *Quorum) SeesStore(now time.Time) bool {
	return now.Sub(r.lastSeen) < r.cfg.StoreSeenTTL
}

// NeedsConsent reports whether the entry should ask its peers for consent.
func (r *Quorum) NeedsConsent(now time.Time) bool {
	return !r.SeesStore(now) && r.roster.Has(r.cfg.Self)
}

// NewRequest returns the message for the peers. It names the lives that this entry
// wants to remove, if any, and withholds this entry's own consent from them.
func (r *Quorum) NewRequest(now time.Time, removing []ccnode.Ref) ccwire.ConsentRequest {
	for _, ref := range removing {
		r.withheld[ref] = r.roster.Epoch
	}
	return ccwire.ConsentRequest{
		From: r.cfg.Self, Epoch: r.roster.Epoch, SawStore: r.SeesStore(now), Removing: removing,
	}
}

// HandleRequest answers a peer.
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

// ReplyReceived takes the reply to a message that was sent at sent.
func (r *Quorum) ReplyReceived(sent time.Time, reply ccwire.ConsentReply) {
	r.EpochReported(reply.From, reply.Epoch)
	age := time.Duration(reply.StoreAgeMS) * time.Millisecond
	if age < r.cfg.StoreSeenTTL {
		r.sighted = sent.Add(r.cfg.StoreSeenTTL)
	}
	member := r.roster.Has(reply.From) && reply.Epoch == r.roster.Epoch
	if reply.Consents && member && !sent.Before(r.sighted) {
		r.consents[reply.From] = sent.Add(r.cfg.ConsentTTL)
	}
}

// ValidUntil returns until when the entry may grant claims and start tasks: to
// the end of its lease, or of the consents of a majority, whichever is later.
func (r *Quorum) ValidUntil() time.Time {
	until := r.consentUntil()
	if r.leaseUntil.After(until) {
		return r.leaseUntil
	}
	return until
}

// OnConsent reports whether the entry goes on by the consent of its peers alone,
// since its lease has ended.
func (r *Quorum) OnConsent(now time.Time) bool {
	return !now.Before(r.leaseUntil) && now.Before(r.consentUntil())
}

// consentUntil returns until when a majority consents. The entry's own consent
// doesn't end; that of the last peer which makes up the majority does.
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
