package ccreplay

import (
	"time"

	"camphorcroft/core/ccfit"
)

// pacesInterval is the time between two looks for the fastest workers. Agents learn a pace
// over ten runs, so it changes more slowly.
const pacesInterval = 50 * time.Millisecond

// SetEndTimePlacement turns the placement by expected end on or off, from the next
// placement on.
func (s *Scheduler) SetEndTimePlacement(now time.Time, on bool) {
	if s.cfg.EndTimePlacement == on {
		return
	}
	s.cfg.EndTimePlacement = on
	s.recordPlacement()
	s.refreshPaces(now)
	s.schedule(now)
}

// recordPlacement records the placement in force.
func (s *Scheduler) recordPlacement() {
	name := "pace"
	if s.cfg.EndTimePlacement {
		name = "endTime"
	}
	s.recordChange(Change{Message: "Placement is set.", Reason: name})
}

// refreshPaces determines the fastest usable workers.
func (s *Scheduler) refreshPaces(now time.Time) {
	if !s.cfg.EndTimePlacement || now.Sub(s.pacesAt) < pacesInterval {
		return
	}
	s.pacesAt = now
	s.paces.Clear()
	for _, a := range s.agentList {
		if s.usable(now, a) && (s.plan == nil || !s.plan.DomainsOut[a.domain]) {
			s.paces.Add(a.service, a.labels, a.pace)
		}
	}
}

// placementTest returns whether a task should be placed on an agent that has capacity for
// it. By default that is any agent. In the placement by expected end, it is one where the
// task ends as well as on the fastest worker. Tasks that may not run on all workers, because
// of a crash or an earlier run, are placed on any, since the fastest may not be for them.
func (s *Scheduler) placementTest(now time.Time, j *job, i int) func(a *agent) bool {
	everywhere := func(*agent) bool { return true }
	task, best, ok := s.fit(now, j, i)
	if !ok {
		return everywhere
	}
	if s.secondPass {
		best = max(best, ccfit.Useful)
	}
	return func(a *agent) bool { return task.Score(a.pace*s.localityFactor(j, a)) <= best }
}

// fit returns what the score of a task depends on, and that on the fastest worker. It
// reports false if the task is placed on any worker.
func (s *Scheduler) fit(now time.Time, j *job, i int) (ccfit.Task, ccfit.Score, bool) {
	if !s.cfg.EndTimePlacement || s.isIsolated(j) || len(j.trial) > 0 || j.tasks[i].avoidAgent != "" {
		return ccfit.Task{}, 0, false
	}
	fastest, ok := s.paces.Fastest(j.request.Route.Service, j.request.Label, j.request.Rack, s.cfg.AwayFactor)
	if !ok {
		return ccfit.Task{}, 0, false
	}
	task := ccfit.Task{
		Waited: now.Sub(j.arrived), Expected: j.expected, Objective: j.objectiveAt.Sub(j.arrived),
		Limit: earliest(j.cutoff, j.request.Deadline).Sub(j.arrived),
	}
	return task, task.Score(fastest), true
}

// slowdownSteps are the slowdowns by which the tasks of a demand summary are told apart.
// Workers of the overload days have 0.6 to 1.4, and twice that outside a rack.
var slowdownSteps = [...]float64{0.7, 0.85, 1, 1.2, 1.45, 1.8, 2.5}

// slowdownLimit returns the rack of a job and the largest of slowdownSteps at which its
// tasks are placed, for the demand summary. Zero is no limit.
func (s *Scheduler) slowdownLimit(now time.Time, j *job) (string, float64) {
	task, best, ok := s.fit(now, j, j.firstQueuedTask())
	if !ok {
		return "", 0
	}
	limit := slowdownSteps[0]
	for _, step := range slowdownSteps {
		if task.Score(step) <= best {
			limit = step
		}
	}
	if limit == slowdownSteps[len(slowdownSteps)-1] {
		return "", 0
	}
	return j.request.Rack, limit
}

// placementPasses returns the values of secondPass for the passes over the queue. While
// more than delayQueueLimit jobs wait, the workers that no job has taken in the first pass
// go to the first jobs of the queue that are of use there: free capacity is worth more than
// an answer in time.
func (s *Scheduler) placementPasses() []bool {
	if s.cfg.EndTimePlacement && len(s.queue) > delayQueueLimit {
		return []bool{false, true}
	}
	return []bool{false}
}
