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

// Started takes the answer to a StartCall.
func (t *Table) Started(now time.Time, call StartCall, answer Answer) {
	if !t.checkAnswer(now, call.Worker, call.Token, answer) {
		return
	}
	r := t.runs[call.Task]
	if r == nil || r.number != call.Run || r.phase != phaseStarting {
		return
	}
	r.settled = now
	switch answer.Reply {
	case ReplyOK:
		r.phase = phaseRunning
	case ReplyNone:
		r.phase = phaseUnsure
		t.guard(now)
		t.check(now)
	case ReplyNoRoom:
		t.finish(now, r, ccwire.RunNoCapacity, "worker has no room")
	case ReplyOldRun, ReplyLate, ReplyFenced:
		t.again(now, r, answer.Reply)
	case ReplyUnhealthy:
		t.closed, t.opensAt = "worker is unhealthy", now.Add(unhealthyPause)
		t.finish(now, r, ccwire.RunRefused, t.closed)
	default:
		t.finish(now, r, ccwire.RunRefused, "worker: "+string(answer.Reply))
	}
	if r.phase == phaseRunning && !r.stopFrom.IsZero() {
		t.stop(now, r)
	}
	t.look(now)
	t.reportDue(now)
}

// again tries an order that the worker refused for its number, lease or token.
func (t *Table) again(now time.Time, r *run, reply Reply) {
	r.retries++
	if r.retries > maxRetries || !r.stopFrom.IsZero() || t.clockAt.IsZero() {
		t.finish(now, r, ccwire.RunRefused, "worker: "+string(reply))
		return
	}
	if reply == ReplyOldRun {
		r.number *= 2
	}
	t.callStart(now, r)
}

// Stopped takes the answer to a StopCall.
func (t *Table) Stopped(now time.Time, call StopCall, answer Answer) {
	if !t.checkAnswer(now, call.Worker, call.Token, answer) {
		return
	}
	r := t.runs[call.Task]
	if r == nil || r.number != call.Run || r.phase != phaseStopping {
		return
	}
	if answer.Reply == ReplyOK {
		r.phase = phaseStopped
		r.settled = now.Add(stopTime)
	} else {
		r.stopDue = now.Add(stopRetry)
	}
	t.look(now)
}

// checkAnswer learns from any answer: the worker's clock, a new life, a token
// that is too low. It reports whether the answer is the present worker's.
func (t *Table) checkAnswer(now time.Time, worker string, token uint64, answer Answer) bool {
	if t.worker == nil || t.worker.ID != worker {
		return false
	}
	switch {
	case answer.Reply == ReplyGone:
		t.workerGone(now, "nothing listens at the worker's address")
		return false
	case answer.Reply == ReplyOtherLife:
		t.workerGone(now, "another worker answered")
		return false
	case !answer.Born.IsZero() && !t.worker.Born.IsZero() && answer.Born.After(t.worker.Born):
		t.reborn(now, answer.Born)
		t.look(now)
		return false
	case !answer.Born.IsZero() && answer.Born.Before(t.worker.Born):
		return false // A late answer of an earlier life.
	case answer.Reply == ReplyFenced && token == t.token:
		// A lower one was overtaken by a call of this incarnation.
		t.token += tokenStep
	}
	if answer.Clock > 0 {
		t.clock, t.clockAt = answer.Clock, now
	}
	return true
}

// finish ends a run and tells its owner.
func (t *Table) finish(now time.Time, r *run, end ccwire.RunOutcome, reason string) {
	delete(t.runs, r.task)
	t.order = slices.DeleteFunc(t.order, func(other *run) bool { return other == r })
	t.used = t.used.Minus(r.need)
	t.out.Changes = append(t.out.Changes, Change{
		What: "Run ended.", Entry: r.owner, Task: r.task, Reason: reason, Age: now.Sub(r.started), End: end, Run: r.number,
	})
	t.ended(now, r.owner, ccwire.RunResult{
		Task: r.task, Attempt: r.attempt, Outcome: end, Reason: reason, RunMS: now.Sub(r.started).Milliseconds(),
	}, true)
}
