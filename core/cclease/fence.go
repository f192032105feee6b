package cclease

import "time"

const (
	// maxCallDelay is how long after an unanswered call the worker may still execute
	// it: the longest delay of the platform.
	maxCallDelay = 12 * time.Second
	// fencePollInterval is the longest time between two polls during maxCallDelay, the
	// same as while runs are active: a poll whose response is lost costs a connection.
	// It bounds how long a restarted worker can accept such a call as a new one.
	fencePollInterval = pollWait
)

// fenceLateStart raises the fencing token, so that the worker refuses an unanswered
// start once it has received the next call. It also keeps polling while the start may
// still arrive, because a restarted worker knows no token before its first call.
func (m *Manager) fenceLateStart(now time.Time) {
	m.raiseToken(1, "start has no answer")
	m.lateStartUntil = now.Add(maxCallDelay)
}

// raiseToken raises the fencing token of all later calls.
func (m *Manager) raiseToken(by uint64, reason string) {
	m.token += by
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Fencing token raised.", Token: m.token, Reason: reason})
}

// lateStartPossible reports whether an unanswered start may still arrive at the
// worker.
func (m *Manager) lateStartPossible(now time.Time) bool { return now.Before(m.lateStartUntil) }

// pollDue reports whether the worker must be polled now.
func (m *Manager) pollDue(now time.Time) bool {
	if len(m.runs) > 0 || !m.runsListed || m.ackedEnd != m.lastEnd {
		return true
	}
	return m.lateStartPossible(now) && now.Sub(m.polledAt) >= fencePollInterval
}
