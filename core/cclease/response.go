package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// maxStartRetries limits how often a start is retried with another run number,
// token or lease before the order is returned to its entry.
const maxStartRetries = 6

// tokenStep is added to a fencing token that the worker rejected as too low. It is
// ten minutes in microseconds, more than a clock is ever set back.
const tokenStep = 600_000_000

// StartCompleted processes the response to a StartCall.
func (m *Manager) StartCompleted(now time.Time, call StartCall, response Response) {
	// The start outlives its run and its worker, so it is settled whatever became of them.
	m.starts.complete(now, call, response.Status)
	if response.Status == StatusNoResponse {
		m.recordCall("Start has no answer.", call, "")
		m.fenceTask(now, call.Task, "start has no answer")
	}
	dropped := m.checkResponse(now, call.Worker, call.Token, call.Sent, false, response)
	r := m.runs[call.Task]
	if response.Status == StatusNotSent {
		m.startNotSent(now, call, r)
		return
	}
	if dropped != "" {
		m.recordCall("Answer to a start dropped.", call, dropped)
		if r != nil && r.number == call.Run && r.phase == phaseStarting && m.worker.ID == call.Worker {
			// The next list shows whether the current incarnation has the run.
			r.phase, r.absentAfter = phaseUnconfirmed, now
			m.pollNow(now)
		}
		return
	}
	if r == nil || r.number != call.Run {
		m.recordCall("Answer to a start dropped.", call, "run is over")
		return
	}
	if r.phase != phaseStarting {
		return
	}
	r.absentAfter = now
	switch response.Status {
	case StatusOK:
		r.phase = phaseRunning
	case StatusConnRefused:
		m.endRun(now, r, ccwire.RunRefused, "nothing listens at the worker's address")
	case StatusNoResponse:
		r.phase, r.unanswered = phaseUnconfirmed, true
		m.pollNow(now)
	case StatusNoCapacity:
		m.endRun(now, r, ccwire.RunNoCapacity, "worker has no room")
	case StatusStaleRun, StatusLeaseExpired, StatusFenced:
		m.retryStart(now, r, response.Status)
	case StatusUnhealthy:
		m.pausedReason, m.pausedUntil = "worker is unhealthy", now.Add(unhealthyPause)
		m.endRun(now, r, ccwire.RunRefused, m.pausedReason)
	default:
		m.endRun(now, r, ccwire.RunRefused, "worker: "+string(response.Status))
	}
	if r.phase == phaseRunning && !r.stopRequestedAt.IsZero() {
		m.stopRun(now, r)
	}
	m.poll(now)
	m.sendDueReports(now)
}

// startNotSent returns the order of a start that no incarnation of the worker has received.
func (m *Manager) startNotSent(now time.Time, call StartCall, r *run) {
	m.recordCall("Start was not sent.", call, "no connection to the worker's incarnation")
	if r != nil && r.number == call.Run && r.phase == phaseStarting {
		m.endRun(now, r, ccwire.RunRefused, "no connection to the worker's incarnation")
	}
	m.pollNow(now)
	m.poll(now)
	m.sendDueReports(now)
}

// recordCall records a change that concerns a start call.
func (m *Manager) recordCall(message string, call StartCall, reason string) {
	m.actions.Changes = append(m.actions.Changes, Change{
		Message: message, Task: call.Task, Run: call.Run, Worker: call.Worker, StartTime: call.Incarnation, Token: call.Token, LeaseEnd: call.LeaseEnd, Reason: reason,
	})
}

// retryStart repeats a start that the worker refused because of its run number,
// lease or token.
func (m *Manager) retryStart(now time.Time, r *run, status Status) {
	r.retries++
	if r.retries > maxStartRetries || !r.stopRequestedAt.IsZero() || m.workerClockAt.IsZero() || m.ownerSilent(now, r) {
		m.endRun(now, r, ccwire.RunRefused, "worker: "+string(status))
		return
	}
	if reason := m.otherWorkerReason(r.worker); reason != "" {
		m.endRun(now, r, ccwire.RunOtherWorker, reason)
		return
	}
	if !r.need.Fits(m.Free().Plus(r.need)) {
		m.endRun(now, r, ccwire.RunNoCapacity, "worker has less capacity than when the start was ordered")
		return
	}
	if status == StatusStaleRun {
		m.fenceTask(now, r.task, "task is started with another run number")
		r.number *= 2
	}
	m.sendStart(now, r)
}

// StopCompleted processes the response to a StopCall.
func (m *Manager) StopCompleted(now time.Time, call StopCall, response Response) {
	if m.checkResponse(now, call.Worker, call.Token, call.Sent, false, response) != "" {
		return
	}
	r := m.runs[call.Task]
	if r == nil || r.number != call.Run || r.phase != phaseStopping {
		return
	}
	if response.Status == StatusOK {
		r.phase = phaseStopped
		r.absentAfter = now.Add(maxStopDuration)
	} else {
		r.stopRetryAt = now.Add(stopRetryInterval)
	}
	m.poll(now)
}

// checkResponse handles what every response may reveal: the worker's clock, a
// restart of the worker, or a fencing token that is too low. It returns why
// the response must be dropped. Empty means that it comes from the current incarnation of
// the current worker. A response that names no incarnation is from an earlier one, or from
// none, if the call was sent before the current one was known. poll is set for the answer to a
// poll.
func (m *Manager) checkResponse(now time.Time, worker string, token uint64, sent time.Time, poll bool, response Response) string {
	switch {
	case m.worker == nil:
		return "worker is lost"
	case m.worker.ID != worker:
		return "worker has been replaced"
	}
	switch {
	case response.StartTime.IsZero() && sent.Before(m.workerSince):
		return "call was sent to an earlier incarnation of the worker"
	case response.Status == StatusConnRefused:
		if m.connRefused(now, poll) {
			return "worker is gone"
		}
	case response.Status == StatusWrongInstance:
		m.workerLost(now, "another worker answered")
		m.acceptClaim(now)
		return "another worker answered"
	case !response.StartTime.IsZero() && !m.worker.StartTime.IsZero() && response.StartTime.After(m.worker.StartTime):
		m.workerRestarted(now, response.StartTime)
		m.answered = true
		m.acceptClaim(now)
		m.poll(now)
		return "worker has restarted"
	case !response.StartTime.IsZero() && response.StartTime.Before(m.worker.StartTime):
		if m.answered || sent.Before(m.workerSince) {
			return "an earlier incarnation of the worker answered"
		}
		// Only a heartbeat has named the current incarnation, and the worker denies it.
		m.workerRestarted(now, response.StartTime)
		m.answered = true
		m.poll(now)
		return "worker is of an earlier incarnation than its heartbeat"
	case response.Status == StatusFenced && token == m.token:
		// A token below the current one was only overtaken by a later call of this
		// agent incarnation, so it needs no increase.
		m.raiseToken(tokenStep, "worker knows a higher one")
	}
	if !response.StartTime.IsZero() {
		m.answered = true
		if m.worker.StartTime.IsZero() {
			// Its heartbeat named no incarnation. The next one describes it.
			m.worker, m.heartbeatSeen = m.worker.restarted(response.StartTime), false
		}
	}
	if response.Clock > 0 {
		m.workerClock, m.workerClockAt = response.Clock, now
	}
	return ""
}

// connRefused handles a refused connection to the current worker, and reports whether the
// worker is gone. A worker may refuse new connections while its runs go on, but it answers on the
// open ones; those of a worker that is gone are reset. So a refused start or stop raises a poll,
// which uses an open connection if there is one, and a refused poll is proof if no other poll is
// in flight.
func (m *Manager) connRefused(now time.Time, poll bool) bool {
	if !poll {
		m.pollNow(now)
		return false
	}
	if m.polling || m.pollingNow || m.probes > 0 {
		return false
	}
	m.workerLost(now, "nothing listens at the worker's address")
	m.acceptClaim(now)
	return true
}

// endRun removes a run, releases its capacity and queues its end for the owner. A start
// of it that may still arrive is fenced off, since the owner may rerun the task elsewhere.
func (m *Manager) endRun(now time.Time, r *run, end ccwire.RunOutcome, reason string) {
	m.fenceTask(now, r.task, "run ended while its start may still arrive")
	m.starts.abandon(r.task)
	delete(m.runs, r.task)
	m.runList = slices.DeleteFunc(m.runList, func(other *run) bool { return other == r })
	m.reserved = m.reserved.Minus(r.need)
	m.actions.Changes = append(m.actions.Changes, Change{
		Message: "Run ended.", Entry: r.owner.ID, Task: r.task, Reason: reason, Age: now.Sub(r.started), End: end, Run: r.number, Order: r.order,
	})
	m.queueEnd(now, r.owner, ccwire.RunResult{
		Task: r.task, Order: r.order, Outcome: end, Reason: reason, RunMS: now.Sub(r.started).Milliseconds(),
	}, true)
}
