package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// maxRetries bounds how often one order is tried again with another number,
// token or lease before it is given back.
const maxRetries = 6

// tokenStep is how far a fencing token that was too low is raised: ten minutes
// in microseconds, more than a clock is ever set back.
const tokenStep = 600_000_000

// StartCompleted takes the answer to a StartCall.
func (t *Manager) StartCompleted(now time.Time, call StartCall, answer Response) {
	if !t.checkAnswer(now, call.Worker, call.Token, answer) {
		return
	}
	r := t.runs[call.Task]
	if r == nil || r.number != call.Run || r.phase != phaseStarting {
		return
	}
	r.settled = now
	switch answer.Status {
	case StatusOK:
		r.phase = phaseRunning
	case StatusNoResponse:
		r.phase = phaseUnsure
		t.guard(now)
		t.check(now)
	case StatusNoCapacity:
		t.finish(now, r, ccwire.RunNoRoom, "worker has no room")
	case StatusStaleRun, StatusLeaseExpired, StatusFenced:
		t.again(now, r, answer.Status)
	case StatusUnhealthy:
		t.closed, t.opensAt = "worker is unhealthy", now.Add(unhealthyPause)
		t.finish(now, r, ccwire.RunRefused, t.closed)
	default:
		t.finish(now, r, ccwire.RunRefused, "worker: "+string(answer.Status))
	}
	if r.phase == phaseRunning && !r.stopFrom.IsZero() {
		t.stop(now, r)
	}
	t.look(now)
	t.reportDue(now)
}

// again tries an order that the worker refused for its number, lease or token.
func (t *Manager) again(now time.Time, r *run, reply Status) {
	r.retries++
	if r.retries > maxRetries || !r.stopFrom.IsZero() || t.clockAt.IsZero() {
		t.finish(now, r, ccwire.RunRefused, "worker: "+string(reply))
		return
	}
	if reply == StatusStaleRun {
		r.number *= 2
	}
	t.callStart(now, r)
}

// StopCompleted takes the answer to a StopCall.
func (t *Manager) StopCompleted(now time.Time, call StopCall, answer Response) {
	if !t.checkAnswer(now, call.Worker, call.Token, answer) {
		return
	}
	r := t.runs[call.Task]
	if r == nil || r.number != call.Run || r.phase != phaseStopping {
		return
	}
	if answer.Status == StatusOK {
		r.phase = phaseStopped
		r.settled = now.Add(stopTime)
	} else {
		r.stopDue = now.Add(stopRetry)
	}
	t.look(now)
}

// checkAnswer learns from any answer: the worker's clock, a new life, a token
// that is too low. It reports whether the answer is the present worker's.
func (t *Manager) checkAnswer(now time.Time, worker string, token uint64, answer Response) bool {
	if t.worker == nil || t.worker.ID != worker {
		return false
	}
	switch {
	case answer.Status == StatusConnRefused:
		t.workerGone(now, "nothing listens at the worker's address")
		return false
	case answer.Status == StatusWrongInstance:
		t.workerGone(now, "another worker answered")
		return false
	case !answer.StartTime.IsZero() && !t.worker.StartTime.IsZero() && answer.StartTime.After(t.worker.StartTime):
		t.reborn(now, answer.StartTime)
		t.look(now)
		return false
	case !answer.StartTime.IsZero() && answer.StartTime.Before(t.worker.StartTime):
		return false // A late answer of an earlier life.
	case answer.Status == StatusFenced && token == t.token:
		// A lower one was overtaken by a call of this incarnation.
		t.token += tokenStep
	}
	if answer.Clock > 0 {
		t.clock, t.clockAt = answer.Clock, now
	}
	return true
}

// finish ends a run and tells its owner.
func (t *Manager) finish(now time.Time, r *run, end ccwire.RunEnd, reason string) {
	delete(t.runs, r.task)
	t.order = slices.DeleteFunc(t.order, func(other *run) bool { return other == r })
	t.used = t.used.Minus(r.need)
	t.out.Changes = append(t.out.Changes, Change{
		Message: "Run ended.", Entry: r.owner, Task: r.task, Reason: reason, Age: now.Sub(r.started), End: end, Run: r.number,
	})
	t.ended(now, r.owner, ccwire.Ended{
		Task: r.task, Attempt: r.attempt, End: end, Reason: reason, RanMS: now.Sub(r.started).Milliseconds(),
	}, true)
}
