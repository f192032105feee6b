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

// HandleCampaign takes the answer to OpStand.
func (m *Machine) HandleCampaign(now time.Time, stand CampaignResult) {
	m.storeBusy = false
	m.follow.standNow, m.follow.waited = false, false
	switch stand.Outcome {
	case OutcomeOK:
		m.becomeLead(now, stand)
	case OutcomeUnknown:
		// The swap may have taken effect: a look tells.
		m.pending = stand
		m.lookSoon(now, linkRetry)
	default:
		m.lookSoon(now, linkRetry)
	}
}

// HandleRenew takes the answer to OpRenew, which was sent at the given time.
func (m *Machine) HandleRenew(now time.Time, fault Outcome, sent time.Time) {
	m.storeBusy = false
	l := m.lead
	if l == nil {
		return
	}
	switch fault {
	case OutcomeOK:
		l.until = sent.Add(LeaseTTL)
		l.renewAt = sent.Add(jitter(m.cfg.Rand, renewInterval))
	case OutcomeLeaseGone:
		l.lease = 0
		m.lookSoon(now, linkRetry)
	default:
		l.renewAt = now.Add(jitter(m.cfg.Rand, renewRetry))
		if !l.holding(now) {
			l.renewAt = now.Add(jitter(m.cfg.Rand, renewInterval))
		}
	}
}

// HandleWrite takes the answer to OpWrite of the record.
func (m *Machine) HandleWrite(now time.Time, fault Outcome, record ccwire.CellRecord, revision uint64) {
	m.storeBusy = false
	l := m.lead
	if l == nil {
		return
	}
	l.written = now
	if fault != OutcomeOK {
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
func (m *Machine) lookedAsLead(now time.Time, look StoreState) {
	l := m.lead
	switch {
	case look.Leader == nil && l.lease == 0, look.Leader != nil && look.Leader.Node.ID == m.self.Node.ID && l.lease == 0:
		// The lease ended and nobody else stood: stand again.
		m.follow.standNow = !m.leave.gone
	case look.Leader == nil, look.Leader.Node != m.self.Node:
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

// HandleResign takes the answer to OpResign.
func (m *Machine) HandleResign() {
	m.storeBusy = false
	m.leave.told = true
	if m.lead != nil {
		m.lead.resigned, m.lead.lease = true, 0
	}
}
