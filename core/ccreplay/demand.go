package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// minDemandInterval is the shortest time between two announcements of demand to all
	// agents. With more agents it grows, so that they cost demandMessagesPerSecond at most.
	minDemandInterval       = 20 * time.Millisecond
	demandMessagesPerSecond = 250
	// maxDemandLateness is the lateness above which an entry tells no demand: what it is
	// offered lapses before it is used, and costs a report each time.
	maxDemandLateness = 20 * time.Millisecond
	// maxDemandJobs is how many queued jobs are considered as the demand at an agent. Jobs
	// that only few workers can run may be before the first one that this worker can run.
	maxDemandJobs = 8
)

// announceDemand sends a message to all agents while jobs are queued, and once they no
// longer are. Agents offer their capacity by what they were told last, so the jobs of the
// fleet run in the right order only if that is fresh.
func (s *Scheduler) announceDemand(now time.Time) {
	if s.cfg.DemandSummaries {
		s.announceSummaries(now)
		return
	}
	demanding := s.hasDemand(now)
	interval := max(minDemandInterval, time.Duration(s.attached)*time.Second/demandMessagesPerSecond)
	if !demanding && !s.announced || now.Sub(s.announcedAt) < interval || s.lateness.current() > maxDemandLateness {
		return
	}
	s.announced, s.announcedAt = demanding, now
	for _, a := range s.agentList {
		s.sendNow(a)
	}
}

// hasDemand reports whether any job of the queue is still to be placed.
func (s *Scheduler) hasDemand(now time.Time) bool {
	return slices.ContainsFunc(s.queue, func(j *job) bool { return s.isWaiting(now, j) })
}

// isWaiting reports whether a job of the queue has tasks to place and can still end in
// time to be of use.
func (s *Scheduler) isWaiting(now time.Time, j *job) bool {
	return j.hasQueuedTasks() && s.jobs[j.request.ID] == j && j.feasibility != infeasible && now.Before(j.request.Deadline)
}

// demandFor returns the demand to announce to an agent, or nil.
func (s *Scheduler) demandFor(now time.Time, a *agent) *ccwire.Demand {
	if s.lateness.current() > maxDemandLateness {
		return nil
	}
	considered := 0
	for _, j := range s.queue {
		if !s.isWaiting(now, j) {
			continue
		}
		if considered++; considered > maxDemandJobs {
			return nil
		}
		if i := j.firstQueuedTask(); !s.mayPlace(now, j, i, a) || !j.request.Need.Fits(a.capacity) || !s.placementTest(now, j, i)(a) {
			continue
		}
		return &ccwire.Demand{
			Late: j.feasibility != feasibleOnTime, Priority: j.request.Route.Priority, Need: j.request.Need, Tasks: j.queued,
			SlackMS: s.slack(now, j).Milliseconds(),
		}
	}
	return nil
}

// firstQueuedTask returns the index of the first task to place.
func (j *job) firstQueuedTask() int {
	for i := range j.tasks {
		if j.tasks[i].state == taskQueued {
			return i
		}
	}
	return 0
}
