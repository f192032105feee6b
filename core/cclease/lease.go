package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// canRenewLease reports whether calls may renew the worker's lease. The lease ends all runs of
// a worker that doesn't answer or doesn't confirm a stop, so that no call of any kind may renew
// it then.
func (m *Manager) canRenewLease(now time.Time) bool {
	return m.missedPolls <= maxMissedPolls && !m.stopOverdue(now) && !m.workerClockAt.IsZero()
}

// stopOverdue reports whether the stop of any run has been due for longer than StopGrace and is
// unconfirmed, also if it has not been requested because the agent's ticks are late.
func (m *Manager) stopOverdue(now time.Time) bool {
	return slices.ContainsFunc(m.runList, func(r *run) bool {
		due := m.stopDue(r)
		return r.phase != phaseStopped && !due.IsZero() && now.Sub(due) > StopGrace
	})
}

// stopUnconfirmed reports whether any stop that was requested has been unconfirmed for longer
// than StopGrace.
func (m *Manager) stopUnconfirmed(now time.Time) bool {
	return slices.ContainsFunc(m.runList, func(r *run) bool {
		return r.phase != phaseStopped && !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) > StopGrace
	})
}

// stopDue returns when the stop of a run is due: when it was requested or, if that is sooner,
// when its entry had been silent for OwnerTimeout. Zero is never.
func (m *Manager) stopDue(r *run) time.Time {
	if !r.stopDueAt.IsZero() {
		return r.stopDueAt
	}
	if o := m.owners[r.owner.ID]; o != nil && o.ref == r.owner {
		return o.lastHeard.Add(OwnerTimeout)
	}
	return time.Time{}
}

// workerTime returns the earliest time that the worker's clock may show. It runs slow by up to
// maxClockDrift, and was last read with an answer.
func (m *Manager) workerTime(now time.Time) time.Duration {
	return m.workerClock + now.Sub(m.workerClockAt)*(100-maxClockDrift)/100
}

// extendLease returns the end of a lease that starts now, on the worker's clock, and
// records the latest time at which it expires on the agent's clock. After a long time without
// an answer the lease may be over at once for a worker whose clock runs right; the start is
// repeated then, with the clock of that answer.
func (m *Manager) extendLease(now time.Time) time.Duration {
	if end := now.Add(maxLeaseDuration); end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
	m.leaseGranted = max(m.leaseGranted, m.workerTime(now)+LeaseDuration)
	return m.leaseGranted
}

// startLease returns the end of the lease that a start carries, on the worker's clock: that of
// a renewed lease, or of the one that an earlier call has granted, which it doesn't extend.
func (m *Manager) startLease(now time.Time) time.Duration {
	if m.canRenewLease(now) {
		return m.extendLease(now)
	}
	return m.leaseGranted
}

// expireLease ends all runs once the last lease that the worker may have received has
// expired. An agent that stood still asks its worker first, whose list may name the ends.
func (m *Manager) expireLease(now time.Time) {
	if m.worker == nil || m.missedPolls <= maxMissedPolls && !m.stopUnconfirmed(now) || m.leaseEnd.IsZero() || !now.After(m.leaseEnd) {
		return
	}
	for _, r := range slices.Clone(m.runList) {
		m.endRun(now, r, ccwire.RunLost, "lease is over without an answer from the worker")
	}
}
