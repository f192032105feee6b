package cccell

import (
	"reflect"
	"time"

	"camphorcroft/core/ccwire"
)

// nextLead returns the lead's next call to the store.
func (m *Machine) nextLead(now time.Time) (Action, bool) {
	l := m.lead
	if !l.resigned && l.lease != 0 && !now.Before(l.renewAt) {
		return Action{Op: OpRenew, Lease: l.lease}, true
	}
	if !l.holding(now) {
		return Action{}, false
	}
	l.expire(now, m.self.Node.ID, m.cfg.Retention)
	if l.dirty && !now.Before(l.writeAt) {
		return Action{Op: OpWrite, Expected: l.revision, Record: l.record(m.cfg.Cell, m.term, m.self.Node)}, true
	}
	if m.leave.gone && !l.dirty && !l.resigned {
		return Action{Op: OpResign, Lease: l.lease}, true
	}
	return Action{}, false
}

// Stood takes the answer to OpStand.
func (m *Machine) Stood(now time.Time, stand Stand) {
	m.storeBusy = false
	m.follow.standNow, m.follow.waited = false, false
	switch stand.Fault {
	case FaultNone:
		m.becomeLead(now, stand)
	case FaultUnknown:
		// The swap may have taken effect: a look tells.
		m.pending = stand
		m.lookSoon(now, linkRetry)
	default:
		m.lookSoon(now, linkRetry)
	}
}

// Renewed takes the answer to OpRenew, which was sent at the given time.
func (m *Machine) Renewed(now time.Time, fault Fault, sent time.Time) {
	m.storeBusy = false
	l := m.lead
	if l == nil {
		return
	}
	switch fault {
	case FaultNone:
		l.until = sent.Add(LeaseTTL)
		l.renewAt = sent.Add(jitter(m.cfg.Rand, renewInterval))
	case FaultGone:
		l.lease = 0
		m.lookSoon(now, linkRetry)
	default:
		l.renewAt = now.Add(jitter(m.cfg.Rand, renewRetry))
		if !l.holding(now) {
			l.renewAt = now.Add(jitter(m.cfg.Rand, renewInterval))
		}
	}
}

// Wrote takes the answer to OpWrite of the record.
func (m *Machine) Wrote(now time.Time, fault Fault, record ccwire.CellRecord, revision uint64) {
	m.storeBusy = false
	l := m.lead
	if l == nil {
		return
	}
	l.written = now
	if fault != FaultNone {
		// Someone else wrote, or the write may have taken effect: a look tells.
		l.writeAt = now.Add(writeGap)
		m.lookSoon(now, linkRetry)
		return
	}
	l.revision = revision
	m.settleWrite(now, record)
}

// settleWrite compares what the store holds with what it should hold.
func (m *Machine) settleWrite(now time.Time, record ccwire.CellRecord) {
	l := m.lead
	l.dirty = false
	if !sameRecord(record, l.record(m.cfg.Cell, m.term, m.self.Node)) {
		l.change(now)
		return
	}
	m.leave.told = m.leave.wanted && !m.leave.gone || m.leave.told
}

func sameRecord(a, b ccwire.CellRecord) bool {
	return a.Term == b.Term && a.Leader == b.Leader && len(a.Departed) == len(b.Departed) &&
		reflect.DeepEqual(a.Members, b.Members) && (len(a.Departed) == 0 || reflect.DeepEqual(a.Departed, b.Departed))
}

// lookedAsLead takes what the store holds while this agent leads.
func (m *Machine) lookedAsLead(now time.Time, look Look) {
	l := m.lead
	switch {
	case look.Lead == nil && l.lease == 0, look.Lead != nil && look.Lead.Node.ID == m.self.Node.ID && l.lease == 0:
		// The lease ended and nobody else stood: stand again.
		m.follow.standNow = !m.leave.gone
	case look.Lead == nil, look.Lead.Node != m.self.Node:
		m.stepDown(now)
	case look.Record.Term > m.term, look.Record.Leader != m.self.Node && look.Record.Term == m.term:
		m.term = look.Record.Term + 1
		l.revision = look.RecordRevision
		l.change(now)
	default:
		l.revision = look.RecordRevision
		m.settleWrite(now, look.Record)
	}
}

// Resigned takes the answer to OpResign.
func (m *Machine) Resigned() {
	m.storeBusy = false
	m.leave.told = true
	if m.lead != nil {
		m.lead.resigned, m.lead.lease = true, 0
	}
}
