package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// endRun records the end of a task's run, whether an agent reported it or the
// scheduler inferred it.
func (s *Scheduler) endRun(now time.Time, j *job, i int, ended ccwire.RunResult) {
	tk := &j.tasks[i]
	a := s.agents[tk.agent]
	a.removeRun(j, i)
	j.placed--
	tk.state = taskQueued
	j.queued++
	j.started = j.started || !neverStarted(ended.Outcome)
	switch ended.Outcome {
	case ccwire.RunDone:
		tk.state = taskDone
		j.queued--
		j.done++
	case ccwire.RunFailed:
		tk.failures++
		tk.avoidAgent = a.ref.ID
		s.recordChange(Change{Message: "Run failed.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: ended.Reason, Age: now.Sub(tk.placedAt), Count: tk.failures, Order: tk.order})
	case ccwire.RunNoCapacity, ccwire.RunRefused, ccwire.RunOtherWorker:
		// The report with a RunNoCapacity also has the current free capacity, and one with a
		// RunOtherWorker describes the worker. After a refusal for another reason, the agent's
		// state may not be in a report yet, so the task waits for the next one.
		if ended.Outcome == ccwire.RunRefused {
			tk.notBefore = now.Add(refusalBackoff)
		}
		s.recordChange(Change{Message: "Start refused.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: ended.Reason, Count: tk.attempt, Order: tk.order, Quiet: tk.suppressLog()})
		tk.refusals++
		if s.admission != nil {
			s.admission.Returned(now, 1)
		}
	case ccwire.RunStopped, ccwire.RunLost:
		tk.avoidAgent = a.ref.ID
		s.markSuspect(now, j, i)
		s.recordChange(Change{Message: "Run is over.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: string(ended.Outcome) + " " + ended.Reason, Age: now.Sub(tk.placedAt), Order: tk.order})
	}
	s.advanceJob(now, j, i)
}

// neverStarted reports whether a run ended before it started.
func neverStarted(outcome ccwire.RunOutcome) bool {
	return outcome == ccwire.RunNoCapacity || outcome == ccwire.RunRefused || outcome == ccwire.RunOtherWorker
}

// advanceJob releases, answers or requeues a job after the end of a task's run.
func (s *Scheduler) advanceJob(now time.Time, j *job, i int) {
	tk := &j.tasks[i]
	switch {
	case j.answered:
		s.releaseIfDone(now, j)
	case j.done == len(j.tasks):
		s.answerJob(now, j, StateComplete, "")
	case j.request.Route.MaxAttempts > 0 && tk.failures >= j.request.Route.MaxAttempts:
		s.answerJob(now, j, StateFailed, "a task has failed as often as it may")
	case tk.state == taskQueued && s.crashes.IsCause(ccwire.TaskRef{Job: j.request.ID, Index: i}):
		s.answerJob(now, j, StateFailed, crashReason)
	case tk.state == taskQueued && !slices.Contains(s.queue, j):
		s.enqueue(now, j)
	}
}
