package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// Heartbeat processes a heartbeat of the worker. Any process can send one, and it may have
// been delayed, so one of another incarnation than the current one ends no run: the answer to
// a call settles whether that incarnation has replaced the current one.
func (m *Manager) Heartbeat(now time.Time, worker Worker) {
	current := m.worker
	switch {
	case current == nil && m.lost.sent(worker):
		m.recordHeartbeat(now, worker, "sent before the worker was lost")
		return
	case current != nil && startedBefore(worker, *current):
		m.recordHeartbeat(now, worker, "of an incarnation before the current one")
		return
	case current == nil:
		m.replaceWorker(now, &worker)
	case current.ID != worker.ID || worker.StartTime.After(current.StartTime):
		m.raiseClaim(now, worker)
		return
	case worker.StartTime.Before(current.StartTime):
		m.recordHeartbeat(now, worker, "names no incarnation")
		return
	case worker.Sequence < current.Sequence:
		m.recordHeartbeat(now, worker, "delayed")
		return
	}
	changed := current == nil || current.Draining != worker.Draining || !m.heartbeatSeen
	if !m.heartbeatSeen {
		// An answer may have made this incarnation known. It does not describe the worker.
		m.setWorkerInfo(&worker)
	}
	if m.workerInfo.Capacity != worker.Capacity {
		m.setWorkerInfo(&worker)
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker capacity changed.", Reason: worker.ID, Count: int(worker.Capacity.CPU)})
		changed = true
	}
	if m.leaving && !worker.Draining && worker.Sequence > current.Sequence {
		m.leaving, changed = false, true
	}
	m.worker = &worker
	m.heartbeatSeen = true
	m.heartbeatAt = now
	if worker.Clock > 0 && m.workerClockAt.IsZero() {
		m.workerClock, m.workerClockAt = worker.Clock, now
	}
	if changed {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker heard.", Reason: worker.ID})
		m.reportAll(now)
	}
	m.poll(now)
}

// startedBefore reports whether a worker is from before the current one, under any ID.
func startedBefore(worker, current Worker) bool {
	return !worker.StartTime.IsZero() && worker.StartTime.Before(current.StartTime)
}

// WorkerLeft processes the worker's notice that it is shutting down. Until nothing listens
// at its address, its runs may be active, and the notice may be of an earlier incarnation. A
// later heartbeat that does not drain shows that it was.
func (m *Manager) WorkerLeft(now time.Time, id string) {
	if m.worker == nil || m.worker.ID != id || m.leaving {
		return
	}
	m.leaving = true
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker is leaving.", Worker: id, Count: len(m.runs)})
	m.reportAll(now)
	m.probe(now)
}

// replaceWorker starts tracking a worker after the previous one was lost. Calls to that one
// carry its ID, so the new one refuses them.
func (m *Manager) replaceWorker(now time.Time, worker *Worker) {
	m.worker = worker
	m.pace = pace{}
	m.setWorkerInfo(worker)
	runNumbers := m.runNumbers
	m.resetWorkerState(now)
	if m.lost.isIncarnation(*worker) {
		m.runNumbers = runNumbers
	}
}

// setWorkerInfo sets the description of the worker that is sent to entries.
func (m *Manager) setWorkerInfo(worker *Worker) {
	m.workerInfo = &ccwire.WorkerInfo{
		Domain: worker.Domain, Service: worker.Service, Labels: worker.Labels, Capacity: worker.Capacity,
	}
	m.workerNumber = m.workerInfo.Number()
}

// resetWorkerState discards the state of an earlier incarnation of the worker.
func (m *Manager) resetWorkerState(now time.Time) {
	m.workerSince = now
	m.runNumbers = map[ccwire.TaskRef]lastRunNumber{}
	m.workerClockAt = time.Time{}
	m.lastEnd, m.ackedEnd, m.missedPolls = 0, 0, 0
	m.listClock, m.leaseGranted = 0, 0
	m.answered, m.runsListed, m.heartbeatSeen, m.polling, m.pollingNow = false, false, false, false, false
	m.leaseEnd, m.unreadSince, m.pollPaced = time.Time{}, time.Time{}, false
	m.listedToken = 0
}

// workerRestarted switches to a new incarnation of the same worker. Runs that the
// previous incarnation listed ended with it. Starts that no list has shown may have
// reached the new incarnation, which accepts them; the next poll shows them. A higher
// token fences off those that are still in transit.
func (m *Manager) workerRestarted(now time.Time, startTime time.Time) {
	m.raiseToken(1, "worker has a new life")
	m.recordLateStarts(now, "worker has a new life")
	m.resetWorkerState(now)
	n := 0
	m.recordCrash(now, confirmedRuns(m.runList))
	m.worker = m.worker.restarted(startTime)
	m.leaving = false
	for _, r := range slices.Clone(m.runList) {
		if r.listed {
			n++
			m.endRun(now, r, ccwire.RunLost, "worker has a new life")
			continue
		}
		r.unanswered = false
		m.runNumbers[r.task] = lastRunNumber{number: r.number, at: now}
		if r.phase != phaseStarting {
			r.phase, r.absentAfter, r.stopRetryAt = phaseUnconfirmed, now, time.Time{}
		}
	}
	if len(m.runList) > 0 {
		// Their starts carry the end of a lease on the clock of the previous incarnation.
		m.leaseEnd = now.Add(longestLeaseDuration)
	}
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker lost.", Reason: "worker has a new life", Count: n})
	m.reportAll(now)
}

// recordLateStarts records how many starts the next incarnation of the worker may execute.
func (m *Manager) recordLateStarts(now time.Time, reason string) {
	if n := m.starts.at(now, m.worker.ID); n > 0 {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Starts may still arrive.", Worker: m.worker.ID, Reason: reason, Count: n})
	}
}

// confirmedRuns returns the runs that the worker has listed or whose start it has answered.
func confirmedRuns(runs []*run) []*run {
	return slices.DeleteFunc(slices.Clone(runs), func(r *run) bool {
		return !r.listed && (r.phase == phaseStarting || r.phase == phaseUnconfirmed)
	})
}

// answeredRuns returns the runs whose start is no longer in flight. A start that is, when
// nothing listens at the worker's address any more, came too late for the worker.
func answeredRuns(runs []*run) []*run {
	return slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.phase == phaseStarting })
}

// workerLost ends all runs, because the worker that executed them no longer exists. It
// either crashed or left.
func (m *Manager) workerLost(now time.Time, reason string) {
	n := len(m.runs)
	m.recordLateStarts(now, reason)
	m.recordCrash(now, answeredRuns(m.runList))
	for _, r := range slices.Clone(m.runList) {
		m.endRun(now, r, ccwire.RunLost, reason)
	}
	m.lost, m.worker, m.leaving = lostWorker{Worker: *m.worker, left: m.leaving}, nil, false
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker lost.", Reason: reason, Count: n})
	m.reportAll(now)
}
