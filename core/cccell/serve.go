package cccell

import (
	"time"

	"camphorcroft/core/ccwire"
)

// HandleJoin answers a member that announces itself. An agent that doesn't lead
// answers that it doesn't know the member, who then looks at the store.
func (m *Machine) HandleJoin(now time.Time, msg ccwire.Join) ccwire.JoinReply {
	if !m.serves(msg.Cell) || !m.lead.put(now, msg.Member) {
		return ccwire.JoinReply{Term: m.term, UnknownMember: true}
	}
	return ccwire.JoinReply{Term: m.term, Version: m.Version(), View: m.view, Members: len(m.lead.members)}
}

// HandleHeartbeat answers a member's sign of life. The view goes along only when the
// member's version is lower. An agent of another cell gets it too, and learns from it
// how many cells there are.
func (m *Machine) HandleHeartbeat(now time.Time, msg ccwire.Heartbeat) ccwire.HeartbeatReply {
	if m.lead == nil {
		return ccwire.HeartbeatReply{Term: m.term, UnknownMember: true}
	}
	reply := ccwire.HeartbeatReply{Current: m.vouches(now)}
	if msg.Version < m.Version() {
		reply.Version, reply.View = m.Version(), m.view
	}
	known, ok := m.lead.members[msg.Node.ID]
	if m.serves(msg.Cell) && ok && known.Node == msg.Node {
		known.heard = now
		return reply
	}
	reply.Term, reply.UnknownMember = m.term, true
	return reply
}

// HandleLeave takes a member's Leave.
func (m *Machine) HandleLeave(now time.Time, msg ccwire.Leave) ccwire.LeaveReply {
	reply := ccwire.LeaveReply{Term: m.term}
	if !m.serves(msg.Cell) {
		return reply
	}
	known, ok := m.lead.members[msg.Node.ID]
	if !ok || known.Node != msg.Node {
		return reply
	}
	known.heard = now
	if msg.Exiting {
		if m.lead.depart(now, known.Node) {
			delete(m.lead.members, msg.Node.ID)
		}
		return reply
	}
	if !known.Leaving {
		known.Leaving = true
		m.lead.change(now)
	}
	return reply
}

func (m *Machine) serves(cell int) bool {
	return m.lead != nil && cell == m.cfg.Cell && !m.lead.resigned
}

// Leave makes this agent known as leaving, and with gone as departed. Call Told
// to learn when that is done.
func (m *Machine) Leave(now time.Time, gone bool) {
	// Nobody can be told when no lead knows this agent. A later lead notices its
	// silence.
	m.leave = leaving{wanted: true, gone: gone, told: !m.Joined()}
	m.self.Leaving = true
	if m.lead != nil {
		m.list(now)
	}
}

// list enters this agent itself into the record, or takes it out once it is gone.
func (m *Machine) list(now time.Time) {
	if !m.leave.gone {
		m.lead.put(now, m.self)
		return
	}
	if m.lead.depart(now, m.self.Node) {
		delete(m.lead.members, m.self.Node.ID)
	}
}

// Disband gives the cell up, since the number of cells has changed: members that
// still ask are told to look, and the record lists nobody. Departures stay in
// the record. Told tells when that is done.
func (m *Machine) Disband(now time.Time) {
	m.leave = leaving{wanted: true, gone: true, told: m.lead == nil}
	if m.lead != nil {
		clear(m.lead.members)
		m.lead.change(now)
	}
}

// LeaveDone reports whether the newest call of Leave has reached the lead or, from a
// lead, the store.
func (m *Machine) LeaveDone() bool { return m.leave.told }

// HandleLeaveReply takes the lead's answer to OpLeave, or its failure.
func (m *Machine) HandleLeaveReply(now time.Time, ok bool) {
	m.linkBusy = false
	if ok {
		m.leave.told, m.follow.heard = true, now
		return
	}
	m.follow.joined = false
	m.lookSoon(now, linkRetry)
}
