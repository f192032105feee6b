package cclease

import "time"

// claim is a heartbeat of another incarnation than the current one, until the answer to a
// call settles whether that incarnation has replaced the current one. Its zero value is none.
type claim struct {
	worker Worker
	at     time.Time // When the heartbeat arrived.
}

// pending reports whether the claim is not settled.
func (c claim) pending() bool { return !c.at.IsZero() }

// raiseClaim calls the current worker to settle a claim.
func (m *Manager) raiseClaim(now time.Time, worker Worker) {
	if m.claim.pending() && m.claim.worker.sameIncarnation(worker) {
		return
	}
	m.recordHeartbeat(now, worker, "the current worker is asked")
	if worker.ID == m.worker.ID {
		// The new incarnation, if there is one, knows no token before this call.
		m.raiseToken(1, "worker may have a new life")
	}
	m.claim = claim{worker: worker, at: now}
	// A restarted worker can accept late starts until this call, so it waits for no other one.
	if now.Sub(m.claimProbedAt) >= probeInterval {
		m.claimProbedAt = now
		m.sendProbe(now)
	}
}

// refuteClaim drops the claim if the current incarnation has listed its runs in answer to a
// call that was sent after the claim.
func (m *Manager) refuteClaim(now time.Time, call PollCall, response PollResponse) {
	if !m.claim.pending() || response.Status != StatusOK || call.Sent.Before(m.claim.at) {
		return
	}
	m.recordHeartbeat(now, m.claim.worker, "the current worker has answered")
	m.claim = claim{}
}

// acceptClaim processes the claim's heartbeat, if one is pending, after an answer has shown
// that the current incarnation is gone.
func (m *Manager) acceptClaim(now time.Time) {
	accepted := m.claim
	m.claim = claim{}
	if accepted.pending() {
		m.Heartbeat(now, accepted.worker)
	}
}

// heartbeatRecordInterval is the shortest time between two records of heartbeats that are
// ignored or raise a claim. Others in between are counted in the next record.
const heartbeatRecordInterval = 100 * time.Millisecond

// recordHeartbeat records a heartbeat that is not taken for one of the current worker.
func (m *Manager) recordHeartbeat(now time.Time, worker Worker, reason string) {
	m.heartbeatsUnrecorded++
	if !m.heartbeatRecordedAt.IsZero() && now.Sub(m.heartbeatRecordedAt) < heartbeatRecordInterval {
		return
	}
	m.actions.Changes = append(m.actions.Changes, Change{
		Message: "Heartbeat not accepted.", Worker: worker.ID, Reason: reason, Count: m.heartbeatsUnrecorded,
		StartTime: worker.StartTime, Sequence: worker.Sequence, Address: worker.Address,
	})
	m.heartbeatsUnrecorded, m.heartbeatRecordedAt = 0, now
}
