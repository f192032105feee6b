package ccoutage

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Rule is one entry's state. It is not safe for use by several goroutines. Its
// tables hold members of the roster, and few others.
type Rule struct {
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

// NewRule returns a rule that has seen nothing and lets the entry do nothing.
func NewRule(cfg Config) *Rule {
	return &Rule{
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
func (r *Rule) StoreSeen(sent time.Time) {
	if sent.After(r.lastSeen) {
		r.lastSeen = sent
	}
}

// LeaseRenewed notes until when the entry's lease holds, counted from when its
// renewal was sent. A lease that replaces a lapsed one counts only once the
// renewed roster has been swapped in under it.
func (r *Rule) LeaseRenewed(until time.Time) {
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

// LeaseLost notes that the store has ended the lease.
func (r *Rule) LeaseLost() { r.leaseUntil = time.Time{} }

// RosterChanged takes a newer roster. Wishes to remove somebody that were made
// under an older one have been met, or have lost their race.
func (r *Rule) RosterChanged(roster *ccroster.Roster) {
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
	r.Heard(r.cfg.Self, roster.Epoch)
}

func forgetStrangers[V any](table map[ccnode.Ref]V, roster *ccroster.Roster) {
	for ref := range table {
		if !roster.Has(ref) {
			delete(table, ref)
		}
	}
}

// Heard notes that a member has told, in any message, which epoch it uses. A
// later life of a member proves that the earlier one has ended.
func (r *Rule) Heard(ref ccnode.Ref, epoch uint64) {
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

// Refused notes that a member's host refuses connections at its address. That
// proves that its process has ended if it was heard there before. Otherwise the
// address may be wrong, so it counts only once the member's lease has ended too.
func (r *Rule) Refused(ref ccnode.Ref) {
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
func (r *Rule) lapsed(live map[ccnode.ID]ccnode.Ref) {
	for ref := range r.refused {
		if live[ref.ID] != ref {
			r.dead[ref] = struct{}{}
		}
	}
}

func (r *Rule) isDead(ref ccnode.Ref) bool {
	_, dead := r.dead[ref]
	return dead
}

// Settled reports whether a majority of the roster uses it, or will never use an
// older one. The next roster must not be swapped in before that.
func (r *Rule) Settled() bool {
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
func (r *Rule) SeesStore(now time.Time) bool {
	return now.Sub(r.lastSeen) < r.cfg.SightLife
}

// ShouldAsk reports whether the entry should ask its peers for consent.
func (r *Rule) ShouldAsk(now time.Time) bool {
	return !r.SeesStore(now) && r.roster.Has(r.cfg.Self)
}

// Ask returns the message for the peers. It names the lives that this entry
// wants to remove, if any, and withholds this entry's own consent from them.
func (r *Rule) Ask(now time.Time, removing []ccnode.Ref) ccwire.Pulse {
	for _, ref := range removing {
		r.withheld[ref] = r.roster.Epoch
	}
	return ccwire.Pulse{
		From: r.cfg.Self, Epoch: r.roster.Epoch, SawStore: r.SeesStore(now), Removing: removing,
	}
}

// Pulse answers a peer.
func (r *Rule) Pulse(now time.Time, message ccwire.Pulse) ccwire.PulseReply {
	r.Heard(message.From, message.Epoch)
	reply := ccwire.PulseReply{
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

// Answered takes the reply to a message that was sent at sent.
func (r *Rule) Answered(sent time.Time, reply ccwire.PulseReply) {
	r.Heard(reply.From, reply.Epoch)
	age := time.Duration(reply.StoreAgeMS) * time.Millisecond
	if age < r.cfg.SightLife {
		r.sighted = sent.Add(r.cfg.SightLife)
	}
	member := r.roster.Has(reply.From) && reply.Epoch == r.roster.Epoch
	if reply.Consents && member && !sent.Before(r.sighted) {
		r.consents[reply.From] = sent.Add(r.cfg.ConsentLife)
	}
}

// ValidUntil returns until when the entry may grant claims and start tasks: to
// the end of its lease, or of the consents of a majority, whichever is later.
func (r *Rule) ValidUntil() time.Time {
	until := r.consentUntil()
	if r.leaseUntil.After(until) {
		return r.leaseUntil
	}
	return until
}

// OnConsent reports whether the entry goes on by the consent of its peers alone,
// since its lease has ended.
func (r *Rule) OnConsent(now time.Time) bool {
	return !now.Before(r.leaseUntil) && now.Before(r.consentUntil())
}

// consentUntil returns until when a majority consents. The entry's own consent
// doesn't end; that of the last peer which makes up the majority does.
func (r *Rule) consentUntil() time.Time {
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
