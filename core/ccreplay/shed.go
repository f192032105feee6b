package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccadmission"
)

// refusalLogInterval is the shortest time between two log lines about refusals.
const refusalLogInterval = time.Second

// SetAdmission turns admission control on or off. It knows no rates when it is turned on.
func (s *Scheduler) SetAdmission(on bool) {
	switch {
	case !on:
		s.admission = nil
	case s.admission == nil:
		s.admission = ccadmission.New()
	}
}

// shedArrival refuses a job that has just arrived and couldn't be placed, if it can't be served
// in time.
func (s *Scheduler) shedArrival(now time.Time, id string) {
	j := s.jobs[id]
	if s.admission == nil || j == nil || !s.isWaiting(now, j) || !s.canShed(now) {
		return
	}
	s.admission.Backlog(now, true, false)
	ahead := 0
	for _, other := range s.queue {
		if other == j {
			s.shed(now, j, ahead)
			return
		}
		if s.isWaiting(now, other) && !s.isIsolated(other) {
			ahead += other.queued
		}
	}
}

// shedQueue refuses the jobs of the queue that can't be served in time any more. Jobs before a
// refused one are not affected, and those behind it wait less, so that a more urgent job is
// never refused for a less urgent one.
func (s *Scheduler) shedQueue(now time.Time) {
	if !s.canShed(now) {
		return
	}
	s.admission.Backlog(now, s.hasDemand(now), s.isStrained(now))
	ahead := 0
	for _, j := range slices.Clone(s.queue) {
		if !s.isWaiting(now, j) || s.isIsolated(j) {
			continue
		}
		if !s.shed(now, j, ahead) {
			ahead += j.queued
		}
	}
}

// shed refuses a job of which nothing was placed if the verdict says so. It reports whether it
// did.
func (s *Scheduler) shed(now time.Time, j *job, ahead int) bool {
	if j.queued < len(j.tasks) || j.mayHaveRun() || !s.isWaiting(now, j) || s.isIsolated(j) {
		return false
	}
	verdict := s.admission.Verdict(now, s.admissionJob(j, ahead))
	if !verdict.Refuse {
		return false
	}
	s.admission.Refused(now, j.request.Route.Priority, len(j.tasks))
	j.retryAfter = verdict.RetryAfter
	s.recordRefusal(now, j)
	s.answerJob(now, j, StateRefused, ccadmission.Reason)
	return true
}

// recordRefusal counts a refusal, and logs at most once per refusalLogInterval.
func (s *Scheduler) recordRefusal(now time.Time, j *job) {
	s.recordChange(Change{Message: "Job refused by admission.", Job: j.request.ID, Quiet: true})
	s.refusedUnlogged++
	if now.Sub(s.refusalLoggedAt) >= refusalLogInterval {
		s.recordChange(Change{Message: "Admission refuses jobs.", Route: j.request.Route.Name, Count: s.refusedUnlogged})
		s.refusalLoggedAt, s.refusedUnlogged = now, 0
	}
}

func (s *Scheduler) admissionJob(j *job, ahead int) ccadmission.Job {
	return ccadmission.Job{
		ID: j.request.ID, Priority: j.request.Route.Priority, Waiting: len(j.tasks), Ahead: ahead,
		Expected: j.expected, Arrived: j.arrived, ObjectiveAt: j.objectiveAt,
	}
}

// canShed reports whether the entry knows enough to refuse a job. It doesn't while its agents
// attach, without any usable agent, and after a pause of the process. Its jobs then wait for
// capacity as without admission control.
func (s *Scheduler) canShed(now time.Time) bool {
	if now.Before(s.holdUntil) || now.Sub(s.firstEvent) < startupGrace || s.UsableAgents(now) == 0 {
		s.admission.Reset()
		return false
	}
	return true
}

// isStrained reports whether any job has waited for a large part of the time after which it
// misses its objective.
func (s *Scheduler) isStrained(now time.Time) bool {
	return slices.ContainsFunc(s.queue, func(j *job) bool {
		return s.isWaiting(now, j) && now.Sub(j.arrived) >= time.Duration(ccadmission.StrainShare*float64(j.objectiveAt.Sub(j.arrived)-j.expected))
	})
}
