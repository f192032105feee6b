package ccreplay

import (
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// moveSample is the least time that a run must have been at work before its
	// progress says how long it will take.
	moveSample = 100 * time.Millisecond
	// moveFactor is how many times as long a run that goes on must take as one that
	// starts anew elsewhere: estimates are off by 40 %.
	moveFactor = 1.5
	// moveCost is what a stop, its report and a start take: the users' 50 ms for the
	// stop, and two messages.
	moveCost = 60 * time.Millisecond
	// maxMoves bounds how often one task is moved.
	maxMoves = 2
)

// progress stops a run that would end later than one started anew elsewhere, if the
// job can earn more by that. A run that is only longer than its estimate
// would end no sooner elsewhere.
func (s *Scheduler) progress(now time.Time, a *agent, p ccwire.Progress) {
	if !s.placedAt(p.Task, a.ref.ID) {
		return
	}
	j := s.jobs[p.Task.Job]
	tk := &j.tasks[p.Task.Index]
	ran := time.Duration(p.ElapsedMS) * time.Millisecond
	if tk.stopping || tk.moves >= maxMoves || ran < moveSample {
		return
	}
	// The worker rounds down, so one percent more is the most that is done.
	left := ran*100/time.Duration(p.Percent+1) - ran
	anew := j.expected + moveCost
	if left < time.Duration(moveFactor*float64(anew)) || j.hopeOf(now.Add(anew)) >= j.hopeOf(now.Add(left)) || !s.elsewhere(now, j, a) {
		return
	}
	tk.moves++
	s.change(Change{What: "Run is moved.", Job: j.request.ID, Index: p.Task.Index, Agent: a.ref.ID, Reason: "too slow", Age: ran, Count: p.Percent})
	s.stopRun(j, p.Task.Index)
}

// elsewhere reports whether another agent than a may run the job's tasks.
func (s *Scheduler) elsewhere(now time.Time, j *job, a *agent) bool {
	for _, id := range s.order {
		if other := s.agents[id]; other != a && other.usable(now) && s.suits(other, j.request) {
			return true
		}
	}
	return false
}
