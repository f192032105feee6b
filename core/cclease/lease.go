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

// stopOverdue reports whether any stop has been unconfirmed for longer than StopGrace. The stop
// of a run whose entry is silent counts from when it was due: an agent that stood still requests
// it later.
func (m *Manager) stopOverdue(now time.Time) bool {
	return slices.ContainsFunc(m.runList, func(r *run) bool {
		switch o := m.owners[r.owner.ID]; {
		case r.phase == phaseStopped:
			return false
		case !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) > StopGrace:
			return true
		default:
			return o != nil && o.ref == r.owner && now.Sub(o.lastHeard) > OwnerTimeout+StopGrace
		}
	})
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
// expired.
func (m *Manager) expireLease(now time.Time) {
	if m.worker == nil || m.missedPolls <= maxMissedPolls && !m.stopOverdue(now) || m.leaseEnd.IsZero() || !now.After(m.leaseEnd) {
		return
	}
	for _, r := range slices.Clone(m.runList) {
		m.endRun(now, r, ccwire.RunLost, "lease is over without an answer from the worker")
	}
}
