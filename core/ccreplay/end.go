package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// runOver takes the end of a task's run, whatever told it.
func (s *Scheduler) runOver(now time.Time, j *job, i int, ended ccwire.RunResult) {
	tk := &j.tasks[i]
	a := s.agents[tk.agent]
	a.runs--
	j.placed--
	tk.state = taskQueued
	j.queued++
	j.begun = j.begun || ended.Outcome != ccwire.RunNoCapacity && ended.Outcome != ccwire.RunRefused
	switch ended.Outcome {
	case ccwire.RunDone:
		tk.state = taskDone
		j.queued--
		j.done++
	case ccwire.RunFailed:
		tk.failed++
		tk.avoid = a.ref.ID
		s.change(Change{What: "Run failed.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: ended.Reason, Age: now.Sub(tk.sent), Count: tk.failed})
	case ccwire.RunNoCapacity, ccwire.RunRefused:
		// The report that came with it says what room there is; of another reason it
		// may not tell yet.
		if ended.Outcome == ccwire.RunRefused {
			tk.notBefore = now.Add(refusalPause)
		}
		s.change(Change{What: "Start refused.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: ended.Reason, Count: tk.attempt, Quiet: tk.quiet()})
		tk.refused++
	case ccwire.RunStopped, ccwire.RunLost:
		tk.avoid = a.ref.ID
		s.change(Change{What: "Run is over.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Reason: string(ended.Outcome) + " " + ended.Reason, Age: now.Sub(tk.sent)})
	}
	s.next(now, j, tk)
}

// next decides what follows the end of a run.
func (s *Scheduler) next(now time.Time, j *job, tk *task) {
	switch {
	case j.answered:
		s.release(now, j)
	case j.done == len(j.tasks):
		s.answer(now, j, StateComplete, "")
	case j.request.Route.MaxAttempts > 0 && tk.failed >= j.request.Route.MaxAttempts:
		s.answer(now, j, StateFailed, "a task has failed as often as it may")
	case tk.state == taskQueued && !slices.Contains(s.queue, j):
		s.enqueue(now, j)
	}
}
