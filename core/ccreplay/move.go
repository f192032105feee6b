package ccreplay

import (
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// minMoveSample is how long a run must have been running before its progress is
	// used to predict its end.
	minMoveSample = 100 * time.Millisecond
	// moveThreshold is how many times longer the rest of a run must take than a new run
	// elsewhere before the task is moved, because estimates are off by 40 %.
	moveThreshold = 1.5
	// moveCost is the time for a stop, its report and a start: up to 50 ms for the stop,
	// as the users have specified, and two messages.
	moveCost = 60 * time.Millisecond
	// maxMoves limits how often one task is moved.
	maxMoves = 2
)

// handleProgress stops a run that would end later than a new run elsewhere, if moving the
// task improves the job's feasibility. A run that merely takes longer than its
// estimate would end no sooner elsewhere.
func (s *Scheduler) handleProgress(now time.Time, a *agent, p ccwire.Progress) {
	if s.ignoreReason(a, p.Run()) != "" {
		return
	}
	j := s.jobs[p.Task.Job]
	tk := &j.tasks[p.Task.Index]
	ran := time.Duration(p.ElapsedMS) * time.Millisecond
	if tk.stopping || tk.moves >= maxMoves || ran < minMoveSample {
		return
	}
	// The worker rounds the percentage down, so the run may be almost one percent further.
	remaining := ran*100/time.Duration(max(p.Percent, 0)+1) - ran
	restarted := j.expected + moveCost
	if remaining < time.Duration(moveThreshold*float64(restarted)) || j.feasibilityIfEnded(now.Add(restarted)) >= j.feasibilityIfEnded(now.Add(remaining)) || !s.otherAgentUsable(now, j, a) {
		return
	}
	tk.moves++
	s.recordChange(Change{Message: "Run is moved.", Job: j.request.ID, Index: p.Task.Index, Agent: a.ref.ID, Reason: "too slow", Age: ran, Count: p.Percent, Order: p.Order})
	s.stopRun(j, p.Task.Index)
}

// otherAgentUsable reports whether an agent other than a can run a task of the job.
func (s *Scheduler) otherAgentUsable(now time.Time, j *job, a *agent) bool {
	for _, other := range s.agentList {
		if other != a && s.usable(now, other) && s.compatible(other, j.request) && s.isolationAllows(j, other) {
			return true
		}
	}
	return false
}
