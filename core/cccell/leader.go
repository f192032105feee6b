package cccell

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// leader is the state of the member that leads the cell.
type leader struct {
	lease          uint64 // Zero when the lease has ended.
	leaseEnd       time.Time
	renewAt        time.Time
	recordRevision uint64 // Store revision of the cell's record.
	members        map[ccnode.ID]*member
	departed       []ccwire.Departure
	dirty          bool
	writeAt        time.Time // Earliest time of the next write.
	lastWrite      time.Time
	resigned       bool
	announceTo     []netip.AddrPort // Members to notify of this leader.
}

// member is the leader's state of one member.
type member struct {
	ccwire.Member
	lastHeard time.Time
}

// holdsLease reports whether the lease is valid for long enough to act on the
// record.
func (l *leader) holdsLease(now time.Time) bool {
	return l.lease != 0 && now.Before(l.leaseEnd.Add(-leaseMargin))
}

// scheduleWrite schedules a write of the record, unless one is scheduled.
func (l *leader) scheduleWrite(now time.Time) {
	if l.dirty {
		return
	}
	l.dirty = true
	l.writeAt = now.Add(batchDelay)
	if earliest := l.lastWrite.Add(minWriteInterval); l.writeAt.Before(earliest) {
		l.writeAt = earliest
	}
}

// putMember adds or updates a member, and lists an earlier incarnation of it as
// departed. It returns false if the update is of an older incarnation, or if a
// bound is reached.
func (l *leader) putMember(now time.Time, update ccwire.Member) bool {
	known, ok := l.members[update.Node.ID]
	switch {
	case ok && known.Member == update:
		known.lastHeard = now
		return true
	case ok && known.Node.Incarnation > update.Node.Incarnation:
		return false
	case !ok && len(l.members) >= maxMembers:
		return false
	case ok && known.Node != update.Node && !l.addDeparture(now, known.Node):
		return false
	}
	l.members[update.Node.ID] = &member{Member: update, lastHeard: now}
	l.departed = slices.DeleteFunc(l.departed, func(d ccwire.Departure) bool { return d.Node == update.Node })
	l.scheduleWrite(now)
	return true
}

// addDeparture lists an incarnation as departed. It returns false if the list is
// full.
func (l *leader) addDeparture(now time.Time, node ccnode.Ref) bool {
	if len(l.departed) >= maxDeparted {
		return false
	}
	l.departed = append(l.departed, ccwire.Departure{Node: node, At: now.UnixMilli()})
	l.scheduleWrite(now)
	return true
}

// expire lists silent members as departed, and removes departures that are older
// than the retention.
func (l *leader) expire(now time.Time, self ccnode.ID, retention time.Duration) {
	for id, known := range l.members {
		if id != self && now.Sub(known.lastHeard) > memberTimeout && l.addDeparture(now, known.Node) {
			delete(l.members, id)
		}
	}
	oldest := now.Add(-retention).UnixMilli()
	total := len(l.departed)
	l.departed = slices.DeleteFunc(l.departed, func(d ccwire.Departure) bool { return d.At < oldest })
	if len(l.departed) != total {
		l.scheduleWrite(now)
	}
}

// record returns the record that the store should hold.
func (l *leader) record(cell int, term uint64, self ccnode.Ref) ccwire.CellRecord {
	record := ccwire.CellRecord{Cell: cell, Term: term, Leader: self, Departed: slices.Clone(l.departed)}
	for _, known := range l.members {
		record.Members = append(record.Members, known.Member)
	}
	slices.SortFunc(record.Members, func(a, b ccwire.Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	slices.SortFunc(record.Departed, func(a, b ccwire.Departure) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Node.ID, b.Node.ID), cmp.Compare(a.Node.Incarnation, b.Node.Incarnation))
	})
	return record
}

// announcement returns the action that notifies the members of their new leader.
func (m *Machine) announcement() Action {
	addrs := m.leader.announceTo
	m.leader.announceTo = nil
	return Action{Op: OpAnnounce, Addrs: addrs, Announcement: ccwire.LeaderAnnouncement{
		Cell: m.cfg.Cell, Term: m.term, Node: m.self.Node, Addr: m.self.Addr,
	}}
}

// becomeLeader makes this agent the leader under a lease that it has just won. The
// members in the record count as heard from now, so that they have time to send a
// heartbeat.
func (m *Machine) becomeLeader(now time.Time, won CampaignResult) {
	m.follower = follower{}
	m.pendingCampaign = CampaignResult{}
	previous := m.leader
	m.term = max(m.term, m.lastRead.Record.Term) + 1
	m.leader = &leader{
		lease: won.Lease, leaseEnd: won.Sent.Add(LeaseTTL), renewAt: won.Sent.Add(jitter(m.cfg.Rand, renewInterval)),
		recordRevision: m.lastRead.RecordRevision, members: make(map[ccnode.ID]*member),
	}
	m.adoptRecord(now, previous)
	m.updateSelf(now)
	m.leader.dirty, m.leader.writeAt = true, now
}

// adoptRecord takes over the members and departures of the record, and the state
// of this agent's previous leadership, if any.
func (m *Machine) adoptRecord(now time.Time, previous *leader) {
	l := m.leader
	l.departed = slices.Clone(m.lastRead.Record.Departed)
	for _, listed := range m.lastRead.Record.Members {
		if listed.Node.ID != m.self.Node.ID {
			l.announceTo = append(l.announceTo, listed.Addr)
		}
		l.members[listed.Node.ID] = &member{Member: listed, lastHeard: now}
	}
	if previous == nil {
		return
	}
	l.announceTo = nil // The members already know this leader.
	for _, known := range previous.members {
		l.putMember(now, known.Member)
	}
	for _, departure := range previous.departed {
		listed, ok := l.members[departure.Node.ID]
		if ok && listed.Node == departure.Node {
			delete(l.members, departure.Node.ID)
		}
		if !slices.ContainsFunc(l.departed, func(d ccwire.Departure) bool { return d.Node == departure.Node }) {
			l.departed = append(l.departed, departure)
		}
	}
}

// stepDown makes this agent a follower. Members that still send requests are told
// to read the store.
func (m *Machine) stepDown(now time.Time) {
	m.leader = nil
	m.follower = follower{lastHeard: now}
	m.scheduleRead(now, 0)
}
