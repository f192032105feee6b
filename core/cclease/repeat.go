package cclease

import "time"

// maxStartRepeats limits how often a start without an answer is repeated before its run is
// stopped and its entry may rerun the task elsewhere.
const maxStartRepeats = 2

// canRepeatStart reports whether a start without an answer, whose run a later list lacks,
// may be repeated. The worker has received the higher token of that poll, so it refuses
// the first start from then on.
func (m *Manager) canRepeatStart(now time.Time, r *run) bool {
	return !m.ownerSilent(now, r) && r.unanswered && r.repeats < maxStartRepeats && r.stopRequestedAt.IsZero() &&
		!m.draining && !m.leaving && !m.worker.Draining && !now.Before(m.pausedUntil) && !m.workerClockAt.IsZero() &&
		r.need.Fits(m.Free().Plus(r.need)) && m.otherWorkerReason(r.worker) == ""
}

// ownerSilent reports whether the entry of a run has been silent for longer than OwnerTimeout, or
// has a new incarnation. It may have placed the task elsewhere.
func (m *Manager) ownerSilent(now time.Time, r *run) bool {
	o := m.owners[r.owner.ID]
	return o == nil || o.ref != r.owner || now.Sub(o.lastHeard) > OwnerTimeout
}

// repeatStart sends the start again under the same run number, which the worker executes
// once whichever of the calls arrives.
func (m *Manager) repeatStart(now time.Time, r *run) {
	r.repeats++
	r.unanswered = false
	r.started = now
	m.sendStart(now, r)
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Start repeated.", Task: r.task, Run: r.number, Worker: m.worker.ID, Token: m.token})
}
