package cccell

import (
	"math/rand/v2"
	"time"

	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// Machine is the state machine of one agent in its cell. It is not safe for
// concurrent use.
type Machine struct {
	cfg  Config
	self ccwire.Member
	term uint64 // The highest term seen.
	view *ccsettings.AgentView

	storeBusy  bool
	leaderBusy bool

	follower        follower
	viewConfirmedAt time.Time // When this agent, as leader, last knew that its view was the newest.
	leader          *leader   // Nil unless this agent leads.
	leave           leaveState

	// lastRead is the result of the last successful read.
	lastRead StoreState
	// pendingCampaign is a campaign whose swap of the leader's key was not answered, so
	// that its outcome is unknown.
	pendingCampaign CampaignResult
}

// leaveState is the progress of a graceful leave.
type leaveState struct {
	requested bool // Leave or Disband was called.
	exiting   bool // Leave was called with exiting set, or Disband was called.
	done      bool // The leader or the store knows of the latest call.
}

// New returns a machine that is due to read the store.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{cfg: cfg, self: cfg.Self}
	m.follower.readAt = now
	return m
}

// Next returns the actions that are due. Call it after each event and tick.
func (m *Machine) Next(now time.Time) []Action {
	var actions []Action
	if m.leader != nil && m.leader.announceTo != nil {
		actions = append(actions, m.announcement())
	}
	if !m.storeBusy {
		if action, ok := m.nextStoreCall(now); ok {
			m.storeBusy = true
			actions = append(actions, action)
		}
	}
	if !m.leaderBusy && m.leader == nil {
		if action, ok := m.nextLeaderRequest(now); ok {
			m.leaderBusy = true
			actions = append(actions, action)
		}
	}
	return actions
}

func (m *Machine) nextStoreCall(now time.Time) (Action, bool) {
	if m.leader != nil {
		if action, ok := m.nextStoreCallAsLeader(now); ok {
			return action, true
		}
	}
	if m.follower.campaignNow {
		return Action{Op: OpCampaign, Expected: m.lastRead.LeaderRevision}, true
	}
	if at := m.follower.readAt; !at.IsZero() && !now.Before(at) {
		return Action{Op: OpRead, WithRecord: m.leader != nil}, true
	}
	return Action{}, false
}

// Leading reports whether this agent leads the cell, even if its lease has
// expired.
func (m *Machine) Leading() bool { return m.leader != nil }

// HoldsLease reports whether this agent leads and may act on the record.
func (m *Machine) HoldsLease(now time.Time) bool { return m.leader != nil && m.leader.holdsLease(now) }

// Joined reports whether the agent belongs to its cell: it leads the cell, or its
// leader has accepted it as a member.
func (m *Machine) Joined() bool { return m.leader != nil || m.follower.joined }

// Cell returns the number of the cell.
func (m *Machine) Cell() int { return m.cfg.Cell }

// Term returns the highest term seen.
func (m *Machine) Term() uint64 { return m.term }

// Version returns the settings version that the agent holds.
func (m *Machine) Version() uint64 {
	if m.view == nil {
		return 0
	}
	return m.view.Version
}

// SetView sets the settings view to distribute. Views whose version is not greater
// than that of the current one are ignored.
func (m *Machine) SetView(view *ccsettings.AgentView) {
	if view == nil || m.view != nil && view.Version <= m.view.Version {
		return
	}
	m.view = view
	if retention := view.Fleet.Retention.Std(); retention > 0 {
		m.cfg.Retention = retention
	}
}

// ConfirmView records that the leader's view was the newest one at the given time.
// A renewed lease doesn't show that, because the watch of the settings can fail
// independently.
func (m *Machine) ConfirmView(at time.Time) { m.viewConfirmedAt = at }

// viewIsCurrent reports whether a leader may tell members that its view is the
// newest.
func (m *Machine) viewIsCurrent(now time.Time) bool {
	return now.Sub(m.viewConfirmedAt) <= maxViewAge
}

// SetSlots sets how many tasks the agent can run at once.
func (m *Machine) SetSlots(now time.Time, slots int) {
	if m.self.Slots == slots {
		return
	}
	m.self.Slots = slots
	m.follower.joined = false
	if m.leader != nil {
		m.leader.putMember(now, m.self)
	}
}

// jitter varies d randomly by up to 10 percent.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rng.Int64N(int64(d/5)+1))
}
