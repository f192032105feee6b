package cccell

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// leader is the state of the member that leads.
type leader struct {
	lease    uint64 // Zero when the lease has ended.
	until    time.Time
	renewAt  time.Time
	revision uint64 // Of the cell's record.
	members  map[ccnode.ID]*member
	departed []ccwire.Departure
	dirty    bool
	writeAt  time.Time // Not before.
	written  time.Time
	resigned bool
	announce []netip.AddrPort // Members to tell of this lead.
}

// member is what the lead knows of one member.
type member struct {
	ccwire.Member
	heard time.Time
}

// holding reports whether the lead may act on the record.
func (l *leader) holding(now time.Time) bool {
	return l.lease != 0 && now.Before(l.until.Add(-leaseMargin))
}

// change plans a write of the record.
func (l *leader) change(now time.Time) {
	if l.dirty {
		return
	}
	l.dirty = true
	l.writeAt = now.Add(batchDelay)
	if earliest := l.written.Add(writeGap); l.writeAt.Before(earliest) {
		l.writeAt = earliest
	}
}

// put adds or replaces a member. An earlier life of it has departed.
func (l *leader) put(now time.Time, joined ccwire.Member) bool {
	known, ok := l.members[joined.Node.ID]
	switch {
	case ok && known.Member == joined:
		known.heard = now
		return true
	case ok && known.Node.Incarnation > joined.Node.Incarnation:
		return false
	case !ok && len(l.members) >= maxMembers:
		return false
	case ok && known.Node != joined.Node && !l.depart(now, known.Node):
		return false
	}
	l.members[joined.Node.ID] = &member{Member: joined, heard: now}
	l.departed = slices.DeleteFunc(l.departed, func(d ccwire.Departure) bool { return d.Node == joined.Node })
	l.change(now)
	return true
}

// depart notes the end of a life. It returns false at the bound.
func (l *leader) depart(now time.Time, node ccnode.Ref) bool {
	if len(l.departed) >= maxDeparted {
		return false
	}
	l.departed = append(l.departed, ccwire.Departure{Node: node, At: now.UnixMilli()})
	l.change(now)
	return true
}

// expire lets silent members depart, and forgets old departures.
func (l *leader) expire(now time.Time, self ccnode.ID, retention time.Duration) {
	for id, known := range l.members {
		if id != self && now.Sub(known.heard) > memberSilence && l.depart(now, known.Node) {
			delete(l.members, id)
		}
	}
	oldest := now.Add(-retention).UnixMilli()
	before := len(l.departed)
	l.departed = slices.DeleteFunc(l.departed, func(d ccwire.Departure) bool { return d.At < oldest })
	if len(l.departed) != before {
		l.change(now)
	}
}

// record returns what the store should hold.
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

// announcement returns the message that tells the members of their new lead.
func (m *Machine) announcement() Action {
	addrs := m.lead.announce
	m.lead.announce = nil
	return Action{Op: OpAnnounce, Addrs: addrs, Announcement: ccwire.LeaderAnnouncement{
		Cell: m.cfg.Cell, Term: m.term, Node: m.self.Node, Addr: m.self.Addr,
	}}
}

// becomeLead takes the lead under a lease that was just won. Members that the
// record lists get time to be heard.
func (m *Machine) becomeLead(now time.Time, won CampaignResult) {
	m.follow = follower{}
	m.pending = CampaignResult{}
	before := m.lead
	m.term = max(m.term, m.look.Record.Term) + 1
	m.lead = &leader{
		lease: won.Lease, until: won.Sent.Add(LeaseTTL), renewAt: won.Sent.Add(jitter(m.cfg.Rand, renewInterval)),
		revision: m.look.RecordRevision, members: make(map[ccnode.ID]*member),
	}
	m.adopt(now, before)
	m.list(now)
	m.lead.dirty, m.lead.writeAt = true, now
}

// adopt takes over the record's members and departures, and what this agent
// knows from a lead that it held before.
func (m *Machine) adopt(now time.Time, before *leader) {
	l := m.lead
	l.departed = slices.Clone(m.look.Record.Departed)
	for _, listed := range m.look.Record.Members {
		if listed.Node.ID != m.self.Node.ID {
			l.announce = append(l.announce, listed.Addr)
		}
		l.members[listed.Node.ID] = &member{Member: listed, heard: now}
	}
	if before == nil {
		return
	}
	l.announce = nil // They know.
	for _, known := range before.members {
		l.put(now, known.Member)
	}
	for _, departure := range before.departed {
		listed, ok := l.members[departure.Node.ID]
		if ok && listed.Node == departure.Node {
			delete(l.members, departure.Node.ID)
		}
		if !slices.ContainsFunc(l.departed, func(d ccwire.Departure) bool { return d.Node == departure.Node }) {
			l.departed = append(l.departed, departure)
		}
	}
}

// stepDown follows another lead. Members that still ask are told to look.
func (m *Machine) stepDown(now time.Time) {
	m.lead = nil
	m.follow = follower{heard: now}
	m.lookSoon(now, 0)
}
