package cccell

import (
	"math/rand/v2"
	"time"

	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// Machine is one agent's part in its cell. It is not safe for use by several
// goroutines.
type Machine struct {
	cfg  Config
	self ccwire.Member
	term uint64 // The greatest term seen.
	view *ccsettings.AgentView

	storeBusy bool
	linkBusy  bool

	follow  follower
	current time.Time // When a lead last knew that its view was the newest.
	lead    *leader   // Nil when this agent doesn't lead.
	leave   leaving

	// What the last look found.
	look StoreState
	// pending is a lease whose swap of the lead's key was not answered.
	pending CampaignResult
}

// leaving is how far a graceful leave has come.
type leaving struct {
	wanted bool // Leave was called.
	gone   bool // It was called with gone.
	told   bool // The lead or the store knows of the newest call.
}

// New returns a machine that will look at the store soon.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{cfg: cfg, self: cfg.Self}
	m.follow.lookAt = now
	return m
}

// Next returns what is to be done now. Call it after each event and tick.
func (m *Machine) Next(now time.Time) []Action {
	var actions []Action
	if m.lead != nil && m.lead.announce != nil {
		actions = append(actions, m.announcement())
	}
	if !m.storeBusy {
		if action, ok := m.nextStore(now); ok {
			m.storeBusy = true
			actions = append(actions, action)
		}
	}
	if !m.linkBusy && m.lead == nil {
		if action, ok := m.nextLink(now); ok {
			m.linkBusy = true
			actions = append(actions, action)
		}
	}
	return actions
}

func (m *Machine) nextStore(now time.Time) (Action, bool) {
	if m.lead != nil {
		if action, ok := m.nextLead(now); ok {
			return action, true
		}
	}
	if m.follow.standNow {
		return Action{Op: OpCampaign, Expected: m.look.LeaderRevision}, true
	}
	if at := m.follow.lookAt; !at.IsZero() && !now.Before(at) {
		return Action{Op: OpRead, WithRecord: m.lead != nil}, true
	}
	return Action{}, false
}

// Leading reports whether this agent leads the cell, inside its lease or not.
func (m *Machine) Leading() bool { return m.lead != nil }

// HoldsLease reports whether this agent leads and may act on the record.
func (m *Machine) HoldsLease(now time.Time) bool { return m.lead != nil && m.lead.holding(now) }

// Joined reports whether the agent belongs to its cell: it leads, or its lead
// knows it.
func (m *Machine) Joined() bool { return m.lead != nil || m.follow.joined }

// Cell returns the number of the cell.
func (m *Machine) Cell() int { return m.cfg.Cell }

// Term returns the greatest term seen.
func (m *Machine) Term() uint64 { return m.term }

// Version returns the settings version that the agent holds.
func (m *Machine) Version() uint64 {
	if m.view == nil {
		return 0
	}
	return m.view.Version
}

// SetView gives the machine a settings version to pass on. Versions that are not
// greater than the one held are ignored.
func (m *Machine) SetView(view *ccsettings.AgentView) {
	if view == nil || m.view != nil && view.Version <= m.view.Version {
		return
	}
	m.view = view
	if retention := view.Fleet.Retention.Std(); retention > 0 {
		m.cfg.Retention = retention
	}
}

// ConfirmView notes, at a lead, that its view was the newest at that time. A renewed
// lease doesn't show that: the watch of the settings may fail on its own.
func (m *Machine) ConfirmView(at time.Time) { m.current = at }

// vouches reports whether a lead may tell members that its view is the newest.
func (m *Machine) vouches(now time.Time) bool {
	return now.Sub(m.current) <= currentLimit
}

// SetSlots notes how many tasks the agent runs at once.
func (m *Machine) SetSlots(now time.Time, slots int) {
	if m.self.Slots == slots {
		return
	}
	m.self.Slots = slots
	m.follow.joined = false
	if m.lead != nil {
		m.lead.put(now, m.self)
	}
}

// jitter returns d changed by up to a tenth.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rng.Int64N(int64(d/5)+1))
}
