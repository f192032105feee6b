package ccoutage

import (
	"math"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

// View is what one read of the store returned. The roster must be read before
// the keys under the entries' leases.
type View struct {
	Roster *ccroster.Roster // Nil if there is none.
	// HoldsKey reports whether this entry's key exists under its current lease.
	HoldsKey bool
	// LeaseUntil is when that lease expires, counted from when its renewal was
	// sent.
	LeaseUntil time.Time
	// Live has the incarnations whose keys exist.
	Live map[ccnode.ID]ccnode.Ref
}

// Decision is what to do after a read of the store.
type Decision struct {
	// Stop is set when this incarnation is no longer a member and must stop for
	// good.
	Stop bool
	// CreateKey asks for a new lease and a key under it.
	CreateKey bool
	// RequestConsent sends a consent request to all members, with the incarnations
	// to remove.
	RequestConsent bool
	Removing       []ccnode.Ref
	// NextRoster is the roster to write by compare-and-swap, or nil. Read the store
	// again afterwards.
	NextRoster *ccroster.Roster
}

// neverWritten stands for an epoch that no roster reaches, so that no roster
// counts as written after it.
const neverWritten = math.MaxUint64

// Membership adds an entry to the roster, keeps it there, and removes others.
// It is not safe for concurrent use.
type Membership struct {
	quorum  *Quorum
	self    ccroster.Member
	joined  bool
	leaving bool
	// handedOverEpoch is the epoch under which all successors knew this entry's
	// claims.
	handedOverEpoch uint64
	// leaseLostEpoch is nonzero after a lease was lost. The new lease counts only
	// under a later epoch that this entry wrote.
	leaseLostEpoch uint64
	removal        *Removal
}

// NewMembership returns the membership of an entry that is not a member yet.
func NewMembership(quorum *Quorum, self ccroster.Member) *Membership {
	return &Membership{quorum: quorum, self: self}
}

// Leave makes the entry leave the roster. It gives up its slots first, and is
// removed once HandedOver has been called.
func (m *Membership) Leave() { m.leaving = true }

// HandedOver records that all successors under the current roster know what this
// entry granted.
func (m *Membership) HandedOver() { m.handedOverEpoch = m.quorum.roster.Epoch }

// Removal returns the removal in progress, or nil. Pass it the replies to consent
// requests.
func (m *Membership) Removal() *Removal { return m.removal }

// Evaluate decides what to do after a read of the store. The quorum must have
// been given the view's roster before.
func (m *Membership) Evaluate(now time.Time, view View) Decision {
	if view.Roster == nil {
		return m.bootstrap(view)
	}
	m.quorum.markRefusedDead(view.Live)
	member, found := view.Roster.Find(m.self.Ref)
	switch {
	case !found && m.joined:
		return Decision{Stop: true}
	case !found:
		return m.join(view)
	case !view.HoldsKey || m.leaseLostEpoch != 0 && !m.wroteSinceLeaseLost(view.Roster):
		m.joined = true
		return m.recoverLease(view)
	}
	m.joined, m.leaseLostEpoch = true, 0
	m.quorum.LeaseRenewed(view.LeaseUntil)
	decision := m.removeFailed(now, view)
	if decision.NextRoster == nil && m.leaving {
		decision.NextRoster = m.leave(view.Roster, member)
	}
	return m.holdUntilAdopted(decision)
}

// bootstrap creates the first roster of a fleet.
func (m *Membership) bootstrap(view View) Decision {
	if !view.HoldsKey {
		return Decision{CreateKey: true}
	}
	return Decision{NextRoster: ccroster.Bootstrap(m.self).WrittenBy(m.self.Ref)}
}

func (m *Membership) join(view View) Decision {
	switch {
	case m.leaving:
		return Decision{Stop: true}
	case !view.HoldsKey:
		return Decision{CreateKey: true}
	}
	return m.holdUntilAdopted(Decision{RequestConsent: true, NextRoster: view.Roster.With(m.self)})
}

// wroteSinceLeaseLost reports whether this entry has written a roster since it
// acquired its new lease.
func (m *Membership) wroteSinceLeaseLost(roster *ccroster.Roster) bool {
	return roster.Writer == m.self.Ref && roster.Epoch > m.leaseLostEpoch
}

// recoverLease acquires a new lease and then writes a new roster. An entry that
// is about to remove this one has not read that roster, so its write fails.
func (m *Membership) recoverLease(view View) Decision {
	m.quorum.LeaseLost()
	if !view.HoldsKey {
		m.leaseLostEpoch = neverWritten
		return Decision{CreateKey: true}
	}
	m.leaseLostEpoch = view.Roster.Epoch
	return m.holdUntilAdopted(Decision{RequestConsent: true, NextRoster: view.Roster.Renewed()})
}

// removeFailed starts or continues the removal of a member that is dead or whose
// key no longer exists.
func (m *Membership) removeFailed(now time.Time, view View) Decision {
	for _, member := range view.Roster.Entries {
		alive := view.Live[member.Ref.ID] == member.Ref && !m.quorum.isDead(member.Ref)
		if member.Ref == m.self.Ref || alive {
			continue
		}
		if m.removal == nil || m.removal.target != member.Ref || m.removal.epoch != view.Roster.Epoch {
			m.removal = NewRemoval(m.quorum, member.Ref)
		}
		decision := Decision{RequestConsent: true, Removing: []ccnode.Ref{member.Ref}}
		if m.removal.Allowed(now) {
			decision.NextRoster = view.Roster.Without(member.Ref)
		}
		return decision
	}
	m.removal = nil
	return Decision{}
}

func (m *Membership) leave(roster *ccroster.Roster, member ccroster.Member) *ccroster.Roster {
	switch {
	case !member.Leaving:
		return roster.WithLeaving(m.self.Ref)
	case m.handedOverEpoch == roster.Epoch:
		return roster.WithoutHandedOver(m.self.Ref)
	default:
		return nil
	}
}

// holdUntilAdopted withholds the next roster until a majority uses the current
// one, and meanwhile asks the members which roster they use.
func (m *Membership) holdUntilAdopted(decision Decision) Decision {
	if decision.NextRoster == nil {
		return decision
	}
	if !m.quorum.RosterAdopted() {
		decision.NextRoster, decision.RequestConsent = nil, true
		return decision
	}
	decision.NextRoster = decision.NextRoster.WrittenBy(m.self.Ref)
	return decision
}
