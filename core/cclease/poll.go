package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// poll polls the worker if a poll is due, and renews the lease while any run is
// active. Polling continues until the last ends are acknowledged. At most one such poll
// is in flight.
func (m *Manager) poll(now time.Time) {
	if m.worker == nil || m.polling || !m.pollDue(now) || m.pollPaced && now.Sub(m.polledAt) < pollWait {
		return
	}
	m.polling, m.polledAt = true, now
	call := PollCall{Worker: m.worker.ID, Token: m.token, Ack: m.lastEnd, Sent: now}
	if m.missedPolls == 0 && len(m.runs) > 0 {
		call.Wait = pollWait
	}
	if len(m.runs) > m.orphans() && m.canRenewLease(now) {
		call.Incarnation, call.LeaseEnd = m.worker.StartTime, m.extendLease(now)
	}
	if m.anyStopping() {
		call.Wait = min(call.Wait, maxStopDuration)
	}
	m.actions.Polls = append(m.actions.Polls, call)
}

// pollNow sends a poll that does not wait, even while a waiting poll is in flight.
func (m *Manager) pollNow(now time.Time) {
	if m.worker == nil || m.pollingNow {
		return
	}
	m.pollingNow = true
	m.actions.Polls = append(m.actions.Polls, PollCall{Worker: m.worker.ID, Token: m.token, Ack: m.lastEnd, Sent: now})
}

func (m *Manager) anyStopping() bool {
	for _, r := range m.runList {
		if r.phase == phaseStopping || r.phase == phaseStopped {
			return true
		}
	}
	return false
}

// PollCompleted processes the response to a PollCall.
func (m *Manager) PollCompleted(now time.Time, call PollCall, response PollResponse) {
	switch {
	case call.Probe:
		m.probes--
		m.lostWorkerAnswered(now, call, response.Response)
	case call.Wait == 0 && m.pollingNow:
		m.pollingNow = false
	default:
		m.polling = false
	}
	if m.checkResponse(now, call.Worker, call.Token, call.Sent, true, response.Response) != "" {
		return
	}
	m.refuteClaim(now, call, response)
	if call.Probe && (response.Status != StatusOK || response.Clock < m.listClock) {
		// A lost answer says nothing that one to a poll doesn't say. A list that a later one
		// has overtaken shows runs that have ended since.
		return
	}
	if response.Status == StatusConnRefused {
		return // Other polls are in flight. The next tick polls again.
	}
	if response.Status != StatusOK {
		m.pollFailed(now, response.Status)
		return
	}
	unresponsive := m.missedPolls > maxMissedPolls
	m.missedPolls = 0
	m.listClock = max(m.listClock, response.Clock)
	if unresponsive {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker answers again."})
		m.reportAll(now)
	}
	unreadable := false
	if !m.runsListed || !m.listedFenced() {
		if unreadable = !m.listsPriorRuns(now, response); !unreadable {
			m.runsListed, m.listedToken = true, max(m.listedToken, call.Token)
			defer m.reportAll(now)
		}
	}
	if !call.Probe {
		m.ackedEnd = call.Ack
	}
	m.pollPaced = response.EndsUnnumbered || unreadable
	m.processEnds(now, response)
	m.reconcileRuns(now, call, response)
	m.poll(now)
	m.sendDueReports(now)
}

func (m *Manager) pollFailed(now time.Time, status Status) {
	if status == StatusNoResponse || status == StatusNotSent || status == StatusUnhealthy {
		m.missedPolls++
		if m.missedPolls == maxMissedPolls+1 {
			m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker does not answer.", Reason: string(status)})
			m.reportAll(now)
		}
	}
	m.poll(now)
}

// listsPriorRuns reports whether a response shows which runs of earlier incarnations of
// this agent are active. If some runs can't be read, those end with their lease, which
// nobody has renewed since the first response: the worker refuses lower tokens since then.
func (m *Manager) listsPriorRuns(now time.Time, response PollResponse) bool {
	if !hasUnknownRuns(response, m.runs) {
		return true
	}
	if m.unreadSince.IsZero() {
		m.unreadSince = now
	}
	return now.Sub(m.unreadSince) > maxLeaseDuration
}

// hasUnknownRuns reports whether a response may list a run that is not in runs and that
// can't be stopped, because its task or its number could not be read.
func hasUnknownRuns(response PollResponse, runs map[ccwire.TaskRef]*run) bool {
	return response.Incomplete || slices.ContainsFunc(response.Running, func(item ActiveRun) bool { return item.Run == 0 && runs[item.Task] == nil })
}

func (m *Manager) processEnds(now time.Time, response PollResponse) {
	for _, e := range response.Ended {
		if e.Number != 0 && e.Number <= m.lastEnd {
			continue
		}
		m.lastEnd = max(m.lastEnd, e.Number)
		r := m.runs[e.Task]
		if r == nil || r.number != e.Run {
			continue
		}
		// An end without a number may be old, or not the worker's.
		if e.Number == 0 && (response.Incomplete || slices.ContainsFunc(response.Running, func(item ActiveRun) bool { return item.Task == e.Task })) {
			continue
		}
		m.processEnd(now, r, e.End)
	}
}

func (m *Manager) processEnd(now time.Time, r *run, end ccwire.RunOutcome) {
	switch end {
	case ccwire.RunDone:
		if m.health.pause > 0 {
			defer m.reportAll(now)
		}
		m.health.recordSuccess()
		m.pace.observe(now.Sub(r.started), r.estimate)
	case ccwire.RunFailed:
		m.recordFailure(now, r, "worker fails what it starts")
		if m.health.workerSuspected() {
			// A worker that fails every run must not use up the job's attempts.
			m.endRun(now, r, ccwire.RunLost, "worker fails what it starts")
			return
		}
	case ccwire.RunStopped, ccwire.RunLost, ccwire.RunNoCapacity, ccwire.RunRefused, ccwire.RunOtherWorker:
	}
	m.endRun(now, r, end, "")
}

// reconcileRuns compares the runs that the worker listed with those of the manager.
func (m *Manager) reconcileRuns(now time.Time, call PollCall, response PollResponse) {
	listed := make(map[ccwire.TaskRef]bool, len(response.Running))
	for _, item := range response.Running {
		listed[item.Task] = true
		r := m.runs[item.Task]
		if r == nil || r.number != item.Run {
			if r == nil && item.Run != 0 {
				m.stopOrphan(now, item)
			}
			continue
		}
		r.listed = true
		m.updateProgress(now, r, item.Percent)
		if r.phase == phaseUnconfirmed || r.phase == phaseStarting {
			r.phase = phaseRunning
			r.absentAfter = now
			if !r.stopRequestedAt.IsZero() {
				m.stopRun(now, r)
			}
		}
	}
	if m.pace.detectSlowdown(m.runList) {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker pace changed.", Pace: m.pace.value()})
		m.reportAll(now)
	}
	for _, r := range slices.Clone(m.runList) {
		if listed[r.task] || !call.Sent.After(r.absentAfter) {
			continue
		}
		switch r.phase {
		case phaseRunning:
			if response.Incomplete {
				continue
			}
			m.endRun(now, r, ccwire.RunLost, "run is no longer listed")
		case phaseStopped:
			// The worker has confirmed the stop, so the run ends without being listed as
			// ended.
			if response.Incomplete && !call.Sent.After(r.absentAfter.Add(StopGrace)) {
				continue
			}
			m.endRun(now, r, ccwire.RunStopped, "")
		case phaseUnconfirmed:
			if m.canRepeatStart(now, r) {
				m.repeatStart(now, r)
				continue
			}
			// The worker may still execute the start. A stop makes it refuse the run
			// number.
			m.stopRun(now, r)
		case phaseStarting, phaseStopping:
		}
	}
}

// updateProgress records a run's progress and detects a stalled run. A progress that
// could not be read changes nothing.
func (m *Manager) updateProgress(now time.Time, r *run, percent int) {
	if percent < 0 {
		return
	}
	if percent > r.percent || r.percentGrewAt.IsZero() {
		r.percentGrewAt = now
	}
	r.percent, r.percentAt = percent, now
	if r.stalled || r.owner.ID == "" || !r.stopRequestedAt.IsZero() || now.Sub(r.percentGrewAt) < stallTimeout {
		return
	}
	r.stalled = true
	m.recordFailure(now, r, "worker makes no progress")
	if o := m.owners[r.owner.ID]; o != nil {
		o.reportNow = true
	}
}

// recordFailure counts a failed or stalled run against the worker's health.
func (m *Manager) recordFailure(now time.Time, r *run, reason string) {
	if m.health.recordFailure(now, r.task.Job, reason) {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Worker rests.", Reason: reason, Age: m.health.pause})
		m.reportAll(now)
	}
}

// stopOrphan stops a run that no order of this agent incarnation started. It occupies
// capacity until it ends, so it is tracked as a run without an owner.
func (m *Manager) stopOrphan(now time.Time, item ActiveRun) {
	r := &run{task: item.Task, number: item.Run, phase: phaseRunning, listed: true, absentAfter: now, started: now}
	m.addRun(r)
	m.runNumbers[item.Task] = lastRunNumber{number: max(item.Run, m.runNumbers[item.Task].number), at: now}
	m.stopRun(now, r)
}
