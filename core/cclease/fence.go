package cclease

import (
	"time"

	"camphorcroft/core/ccwire"
)

// fenceTask raises the fencing token if a start of the task may still arrive and has the
// present one, so that the worker refuses it once it has received the next call.
func (m *Manager) fenceTask(now time.Time, task ccwire.TaskRef, reason string) {
	if s, found := m.starts.ofTask(now, task); found && s.call.Token >= m.token {
		m.raiseToken(s.call.Token+1-m.token, reason)
	}
}

// tokenMargin is added to the highest token that an entry has known of an earlier
// incarnation. It is one second in microseconds: that incarnation may have raised its token
// by one for each start without an answer since its last report.
const tokenMargin = 1_000_000

// RaiseTokenAbove raises the fencing token above the highest one of an earlier incarnation
// of the agent, whose starts may still arrive. Zero is none.
func (m *Manager) RaiseTokenAbove(prior uint64) {
	if prior > 0 && m.token <= prior+tokenMargin {
		m.raiseToken(prior+tokenMargin+1-m.token, "an earlier incarnation of the agent had a higher one")
		m.minListToken = m.token
	}
}

// listedFenced reports whether the worker has listed its runs in answer to a call whose token
// fences off the starts of earlier incarnations of the agent.
func (m *Manager) listedFenced() bool { return m.listedToken >= m.minListToken }

// raiseToken raises the fencing token of all later calls.
func (m *Manager) raiseToken(by uint64, reason string) {
	m.token += by
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Fencing token raised.", Token: m.token, Reason: reason})
}

// lateStartPossible reports whether the worker may still execute a start without an
// answer. A restarted worker knows no token before its first call, so it is probed until
// then, even if it is idle.
func (m *Manager) lateStartPossible(now time.Time) bool {
	return m.starts.lateAt(now, m.lateStartWorker())
}

// priorStartPossible reports whether a start of an earlier incarnation of the agent, which
// left no record of it, may still arrive.
func (m *Manager) priorStartPossible(now time.Time) bool {
	return now.Sub(m.cfg.StartTime) < maxCallDelay
}

// pollDue reports whether the worker must be polled now. One that did not answer is polled
// until it does, also after its runs have ended with its lease, and an idle one while a
// start of an earlier incarnation of the agent may still arrive.
func (m *Manager) pollDue(now time.Time) bool {
	if len(m.runs) > 0 || !m.runsListed || !m.listedFenced() || m.ackedEnd != m.lastEnd {
		return true
	}
	return now.Sub(m.polledAt) >= pollWait && (m.missedPolls > 0 || m.priorStartPossible(now))
}
