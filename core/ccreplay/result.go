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
		reason := s.ignoreReason(a, ended.Run())
		if reason == "" {
			s.settle(now, a, statement{kind: statedEnded, run: ended.Run(), ended: ended})
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
