package cclease

import "time"

const (
	// probeInterval is the time between two probes. It bounds how long a restarted worker
	// can accept a late start, which is why it is shorter than the wait of a poll.
	probeInterval = 20 * time.Millisecond
	// maxProbes limits the probes without an answer so far. A lost answer must not delay
	// the next probe; it costs a connection.
	maxProbes = 3
)

// probe calls the worker while it is leaving, to learn when it is gone, while a heartbeat
// claims that another incarnation has replaced it, and while a start may still arrive, so
// that a restarted one learns the fencing token and shows a start that was quicker. It
// doesn't wait for other polls, and goes on after the worker is lost, under the ID of that
// worker, which may return. It acknowledges no ends, since a restarted worker numbers its
// ends anew.
func (m *Manager) probe(now time.Time) {
	due := m.leaving || m.claim.pending() || m.lateStartPossible(now) || m.worker == nil && m.lost.ID != "" && m.priorStartPossible(now)
	if due && m.probes < maxProbes && now.Sub(m.probedAt) >= probeInterval {
		m.sendProbe(now)
	}
}

func (m *Manager) sendProbe(now time.Time) {
	m.probes++
	m.probedAt = now
	m.actions.Polls = append(m.actions.Polls, PollCall{Worker: m.lateStartWorker(), Token: m.token, Sent: now, Probe: true})
}

// lateStartWorker returns the ID of the worker that may execute late starts: the current
// one, or the last one if it was lost. It is empty before the first one is known.
func (m *Manager) lateStartWorker() string {
	if m.worker != nil {
		return m.worker.ID
	}
	return m.lost.ID
}

// lostWorkerAnswered makes a lost worker that answers a probe in a new incarnation the
// current one, before its first heartbeat. Its list shows a late start that it has executed.
func (m *Manager) lostWorkerAnswered(now time.Time, call PollCall, response Response) {
	if m.worker != nil || m.lost.ID != call.Worker || !response.StartTime.After(m.lost.StartTime) {
		return
	}
	worker := m.lost.restarted(response.StartTime)
	m.replaceWorker(now, worker)
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Lost worker answers.", Worker: worker.ID})
	m.reportAll(now)
}
