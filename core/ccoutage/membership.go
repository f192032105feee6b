package ccoutage

import (
	"math"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

// View is what one look at the store showed. The roster must be read before the
// keys under the entries' leases are.
type View struct {
	Roster *ccroster.Roster // Nil when there is none.
	// HoldsKey is whether this entry's key is there under its own lease.
	HoldsKey bool
	// LeaseUntil is until when that lease holds, counted from when its renewal
	// was sent.
	LeaseUntil time.Time
	// Live names the lives whose keys are there.
	Live map[ccnode.ID]ccnode.Ref
}

// Decision is what to do after a look at the store.
type Decision struct {
	// Stop is set when this life is no longer a member and must stop for good.
	Stop bool
	// CreateKey asks for a lease and a key under it.
	CreateKey bool
	// RequestConsent sends a pulse to all members, with the lives to remove.
	RequestConsent bool
	Removing       []ccnode.Ref
	// NextRoster is the roster to swap in, unless it is nil. Look again afterwards.
	NextRoster *ccroster.Roster
}

// notWritten is a lapsed epoch under which no roster can be written.
const notWritten = math.MaxUint64

// Membership joins an entry to the roster, keeps it there, and removes others.
// It is not safe for use by several goroutines.
type Membership struct {
	rule    *Quorum
	self    ccroster.Member
	joined  bool
	leaving bool
	handed  uint64 // The epoch under which all successors knew this entry's claims.
	// lapsed is not zero after a lease was lost. The next one counts under a later
	// epoch that this entry wrote.
	lapsed  uint64
	removal *Removal
}

// NewMembership returns the membership of an entry that is no member yet.
func NewMembership(rule *Quorum, self ccroster.Member) *Membership {
	return &Membership{rule: rule, self: self}
}

// Leave makes the entry leave: it gives its slots up, and goes once HandedOver
// was called.
func (m *Membership) Leave() { m.leaving = true }

// HandedOver notes that all successors under the roster in use know what this
// entry granted.
func (m *Membership) HandedOver() { m.handed = m.rule.roster.Epoch }

// Removal returns the removal that is under way, or nil. Replies to pulses go to
// its Denied.
func (m *Membership) Removal() *Removal { return m.removal }

// Evaluate takes a look at the store and decides what to do next. The rule must
// have been given the view's roster.
func (m *Membership) Evaluate(now time.Time, view View) Decision {
	if view.Roster == nil {
		return m.found(view)
	}
	m.rule.lapsed(view.Live)
	member, is := view.Roster.Find(m.self.Ref)
	switch {
	case !is && m.joined:
		return Decision{Stop: true}
	case !is:
		return m.join(view)
	case !view.HoldsKey || m.lapsed != 0 && !m.renewed(view.Roster):
		m.joined = true
		return m.comeBack(view)
	}
	m.joined, m.lapsed = true, 0
	m.rule.LeaseRenewed(view.LeaseUntil)
	decision := m.judge(now, view)
	if decision.NextRoster == nil && m.leaving {
		decision.NextRoster = m.leave(view.Roster, member)
	}
	return m.settled(decision)
}

// found makes the first roster of a fleet.
func (m *Membership) found(view View) Decision {
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
	return m.settled(Decision{RequestConsent: true, NextRoster: view.Roster.With(m.self)})
}

// renewed reports whether this entry wrote a roster since it made its new lease.
func (m *Membership) renewed(roster *ccroster.Roster) bool {
	return roster.Writer == m.self.Ref && roster.Epoch > m.lapsed
}

// comeBack makes a new lease, and then a roster that whoever was about to remove
// this entry has not read.
func (m *Membership) comeBack(view View) Decision {
	m.rule.LeaseLost()
	if !view.HoldsKey {
		m.lapsed = notWritten
		return Decision{CreateKey: true}
	}
	m.lapsed = view.Roster.Epoch
	return m.settled(Decision{RequestConsent: true, NextRoster: view.Roster.Renewed()})
}

// judge begins or goes on to remove a member that is dead or whose key is gone.
func (m *Membership) judge(now time.Time, view View) Decision {
	for _, member := range view.Roster.Entries {
		there := view.Live[member.Ref.ID] == member.Ref && !m.rule.isDead(member.Ref)
		if member.Ref == m.self.Ref || there {
			continue
		}
		if m.removal == nil || m.removal.target != member.Ref || m.removal.epoch != view.Roster.Epoch {
			m.removal = NewRemoval(m.rule, member.Ref)
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
	case m.handed == roster.Epoch:
		return roster.WithoutHandedOver(m.self.Ref)
	default:
		return nil
	}
}

// settled withholds a swap until a majority uses the roster in use, and asks
// which one they use.
func (m *Membership) settled(decision Decision) Decision {
	if decision.NextRoster == nil {
		return decision
	}
	if !m.rule.RosterAdopted() {
		decision.NextRoster, decision.RequestConsent = nil, true
		return decision
	}
	decision.NextRoster = decision.NextRoster.WrittenBy(m.self.Ref)
	return decision
}
