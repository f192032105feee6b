package ccreplay

import (
	"time"

	"camphorcroft/core/ccwire"
)

// maxIgnoredLogged limits the results of one report that are logged as ignored. An agent
// that opens a session repeats the ends of its latest runs.
const maxIgnoredLogged = 4

// handleResults ends the runs whose ends an agent has reported.
func (s *Scheduler) handleResults(now time.Time, a *agent, results []ccwire.RunResult) {
	logged := 0
	for _, ended := range results {
		reason := s.ignoreReason(a, ended)
		if reason == "" {
			s.endRun(now, s.jobs[ended.Task.Job], ended.Task.Index, ended)
			continue
		}
		// Most results of unknown jobs are repetitions: the job is answered.
		quiet := s.jobs[ended.Task.Job] == nil || logged >= maxIgnoredLogged
		if !quiet {
			logged++
		}
		s.recordChange(Change{
			Message: "Result ignored.", Job: ended.Task.Job, Index: ended.Task.Index, Agent: a.ref.ID, Order: ended.Order,
			Reason: string(ended.Outcome) + ", " + reason, Quiet: quiet,
		})
	}
}

// ignoreReason returns why a result does not end a run, or "" if it does.
func (s *Scheduler) ignoreReason(a *agent, ended ccwire.RunResult) string {
	j := s.jobs[ended.Task.Job]
	if j == nil || !j.hasTask(ended.Task.Index) {
		return "no such task"
	}
	switch tk := &j.tasks[ended.Task.Index]; {
	case tk.state != taskPlaced:
		return "the task has no run"
	case tk.agent != a.ref.ID:
		return "the task runs at another agent"
	case tk.order != ended.Order:
		return "the task has another run"
	default:
		return ""
	}
}
