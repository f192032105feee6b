package cclease

import "time"

const (
	// lateOrders is how long after an order that had no answer the worker may still
	// carry it out: the longest that the platform takes.
	lateOrders = 12 * time.Second
	// guardInterval is the longest pause between two looks in that time, the same as while
	// runs are alive: a look whose answer is lost costs a connection. It bounds how
	// long a new life of the worker can take such an order for its own.
	guardInterval = lookWait
)

// guard raises the fencing token, so that a start without an answer is refused from
// the next call on, and keeps the worker looked at while the start may still arrive:
// a new life of the worker knows no token before its first call.
func (t *Manager) guard(now time.Time) {
	t.token++
	t.guardUntil = now.Add(lateOrders)
}

// guarding reports whether a start without an answer may still arrive.
func (t *Manager) guarding(now time.Time) bool { return now.Before(t.guardUntil) }

// lookDue reports whether the worker is to be looked at now.
func (t *Manager) lookDue(now time.Time) bool {
	if len(t.runs) > 0 || !t.surveyed || t.acked != t.seen {
		return true
	}
	return t.guarding(now) && now.Sub(t.lookedAt) >= guardInterval
}
