package cccell

import (
	"reflect"
	"time"

	"camphorcroft/core/ccwire"
)

// nextStoreCallAsLeader returns the leader's next store call.
func (m *Machine) nextStoreCallAsLeader(now time.Time) (Action, bool) {
	l := m.leader
	if !l.resigned && l.lease != 0 && !now.Before(l.renewAt) {
		return Action{Op: OpRenew, Lease: l.lease}, true
	}
	if !l.holdsLease(now) {
		return Action{}, false
	}
	l.expire(now, m.self.Node.ID, m.cfg.Retention)
	if l.dirty && !now.Before(l.writeAt) {
		return Action{Op: OpWrite, Expected: l.recordRevision, Record: l.record(m.cfg.Cell, m.term, m.self.Node)}, true
	}
	if m.leave.exiting && !l.dirty && !l.resigned {
		return Action{Op: OpResign, Lease: l.lease}, true
	}
	return Action{}, false
}

// HandleCampaign processes the result of OpCampaign.
func (m *Machine) HandleCampaign(now time.Time, result CampaignResult) {
	m.storeBusy = false
	m.follower.campaignNow, m.follower.electionDelayed = false, false
	switch result.Outcome {
	case OutcomeOK:
		m.becomeLeader(now, result)
	case OutcomeUnknown:
		// The swap may have taken effect: read the store to find out.
		m.pendingCampaign = result
		m.scheduleRead(now, leaderRetry)
	default:
		m.scheduleRead(now, leaderRetry)
	}
}

// HandleRenew processes the result of an OpRenew that was sent at the given time.
func (m *Machine) HandleRenew(now time.Time, outcome Outcome, sent time.Time) {
	m.storeBusy = false
	l := m.leader
	if l == nil {
		return
	}
	switch outcome {
	case OutcomeOK:
		l.leaseEnd = sent.Add(LeaseTTL)
		l.renewAt = sent.Add(jitter(m.cfg.Rand, renewInterval))
	case OutcomeLeaseGone:
		l.lease = 0
		m.scheduleRead(now, leaderRetry)
	default:
		l.renewAt = now.Add(jitter(m.cfg.Rand, renewRetry))
		if !l.holdsLease(now) {
			l.renewAt = now.Add(jitter(m.cfg.Rand, renewInterval))
		}
	}
}

// HandleWrite processes the result of an OpWrite of the record.
func (m *Machine) HandleWrite(now time.Time, outcome Outcome, record ccwire.CellRecord, revision uint64) {
	m.storeBusy = false
	l := m.leader
	if l == nil {
		return
	}
	l.lastWrite = now
	if outcome != OutcomeOK {
		// Another agent wrote the record, or this write may have taken effect: read the
		// store to find out.
		l.writeAt = now.Add(minWriteInterval)
		m.scheduleRead(now, leaderRetry)
		return
	}
	l.recordRevision = revision
	m.reconcileRecord(now, record)
}

// reconcileRecord compares the record in the store with the one that it should
// hold, and schedules another write if they differ.
func (m *Machine) reconcileRecord(now time.Time, record ccwire.CellRecord) {
	l := m.leader
	l.dirty = false
	if !recordsEqual(record, l.record(m.cfg.Cell, m.term, m.self.Node)) {
		l.scheduleWrite(now)
		return
	}
	m.leave.done = m.leave.requested && !m.leave.exiting || m.leave.done
}

func recordsEqual(a, b ccwire.CellRecord) bool {
	return a.Term == b.Term && a.Leader == b.Leader && len(a.Departed) == len(b.Departed) &&
		reflect.DeepEqual(a.Members, b.Members) && (len(a.Departed) == 0 || reflect.DeepEqual(a.Departed, b.Departed))
}

// handleReadAsLeader processes the result of OpRead while this agent leads.
func (m *Machine) handleReadAsLeader(now time.Time, state StoreState) {
	l := m.leader
	switch {
	case state.Leader == nil && l.lease == 0, state.Leader != nil && state.Leader.Node.ID == m.self.Node.ID && l.lease == 0:
		// The lease ended and no other agent took over: campaign again.
		m.follower.campaignNow = !m.leave.exiting
	case state.Leader == nil, state.Leader.Node != m.self.Node:
		m.stepDown(now)
	case state.Record.Term > m.term, state.Record.Leader != m.self.Node && state.Record.Term == m.term:
		m.term = state.Record.Term + 1
		l.recordRevision = state.RecordRevision
		l.scheduleWrite(now)
	default:
		l.recordRevision = state.RecordRevision
		m.reconcileRecord(now, state.Record)
	}
}

// HandleResign records that OpResign was executed.
func (m *Machine) HandleResign() {
	m.storeBusy = false
	m.leave.done = true
	if m.leader != nil {
		m.leader.resigned, m.leader.lease = true, 0
	}
}
