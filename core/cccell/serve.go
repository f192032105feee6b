package cccell

import (
	"time"

	"camphorcroft/core/ccwire"
)

// HandleJoin replies to the join of a member. An agent that doesn't lead replies
// that it doesn't know the member, which then reads the store.
func (m *Machine) HandleJoin(now time.Time, msg ccwire.Join) ccwire.JoinReply {
	if !m.leadsCell(msg.Cell) || !m.leader.putMember(now, msg.Member) {
		return ccwire.JoinReply{Term: m.term, UnknownMember: true}
	}
	return ccwire.JoinReply{Term: m.term, Version: m.Version(), View: m.view, Members: len(m.leader.members)}
}

// HandleHeartbeat replies to the heartbeat of a member. The reply includes the view
// only if the member's version is lower. An agent of another cell gets the view
// too, and learns from it how many cells there are.
func (m *Machine) HandleHeartbeat(now time.Time, msg ccwire.Heartbeat) ccwire.HeartbeatReply {
	if m.leader == nil {
		return ccwire.HeartbeatReply{Term: m.term, UnknownMember: true}
	}
	reply := ccwire.HeartbeatReply{Current: m.viewIsCurrent(now)}
	if msg.Version < m.Version() {
		reply.Version, reply.View = m.Version(), m.view
	}
	known, ok := m.leader.members[msg.Node.ID]
	if m.leadsCell(msg.Cell) && ok && known.Node == msg.Node {
		known.lastHeard = now
		return reply
	}
	reply.Term, reply.UnknownMember = m.term, true
	return reply
}

// HandleLeave replies to the leave of a member.
func (m *Machine) HandleLeave(now time.Time, msg ccwire.Leave) ccwire.LeaveReply {
	reply := ccwire.LeaveReply{Term: m.term}
	if !m.leadsCell(msg.Cell) {
		return reply
	}
	known, ok := m.leader.members[msg.Node.ID]
	if !ok || known.Node != msg.Node {
		return reply
	}
	known.lastHeard = now
	if msg.Exiting {
		if m.leader.addDeparture(now, known.Node) {
			delete(m.leader.members, msg.Node.ID)
		}
		return reply
	}
	if !known.Leaving {
		known.Leaving = true
		m.leader.scheduleWrite(now)
	}
	return reply
}

func (m *Machine) leadsCell(cell int) bool {
	return m.leader != nil && cell == m.cfg.Cell && !m.leader.resigned
}

// Leave announces that this agent is leaving or, with exiting set, that it exits.
// LeaveDone reports when the cell knows.
func (m *Machine) Leave(now time.Time, exiting bool) {
	// If no leader knows this agent, there is no one to notify. A later leader
	// detects that it is silent.
	m.leave = leaveState{requested: true, exiting: exiting, done: !m.Joined()}
	m.self.Leaving = true
	if m.leader != nil {
		m.updateSelf(now)
	}
}

// updateSelf lists this agent in the record, or as departed if it is exiting.
func (m *Machine) updateSelf(now time.Time) {
	if !m.leave.exiting {
		m.leader.putMember(now, m.self)
		return
	}
	if m.leader.addDeparture(now, m.self.Node) {
		delete(m.leader.members, m.self.Node.ID)
	}
}

// Disband gives up the cell because the number of cells has changed: members that
// still send requests are told to read the store, and the record lists no members.
// Departures stay in the record. LeaveDone reports when that is done.
func (m *Machine) Disband(now time.Time) {
	m.leave = leaveState{requested: true, exiting: true, done: m.leader == nil}
	if m.leader != nil {
		clear(m.leader.members)
		m.leader.scheduleWrite(now)
	}
}

// LeaveDone reports whether the latest call of Leave or Disband has reached the
// leader or, if this agent leads, the store.
func (m *Machine) LeaveDone() bool { return m.leave.done }

// HandleLeaveReply processes the leader's reply to OpLeave, or its failure.
func (m *Machine) HandleLeaveReply(now time.Time, ok bool) {
	m.leaderBusy = false
	if ok {
		m.leave.done, m.follower.lastHeard = true, now
		return
	}
	m.follower.joined = false
	m.scheduleRead(now, leaderRetry)
}
