package ccreplay

import (
	"slices"
	"time"
)

// Tick handles timeouts and deadlines. It must be called at least every 25 ms while
// there are jobs.
func (s *Scheduler) Tick(now time.Time) {
	s.lateness.tick(now)
	s.updateOverload(now)
	for _, a := range slices.Clone(s.agentList) {
		s.tickAgent(now, a)
	}
	s.requestPlan(now)
	s.updateIsolation(now)
	s.expireJobs(now)
	s.refreshQueue(now)
	s.refreshPaces(now)
	s.schedule(now)
	s.measureBacklog(now)
	if s.admission != nil {
		s.shedQueue(now)
	} else if now.Sub(s.hopelessCheckedAt) >= hopelessInterval {
		s.refuseHopeless(now)
	}
	s.announceDemand(now)
}

// tickAgent ends the runs of an agent that count as lost, closes the session of an agent
// that is silent, and sends what is due to the others.
func (s *Scheduler) tickAgent(now time.Time, a *agent) {
	if !a.lostAt.IsZero() && !now.Before(a.lostAt) {
		a.lostAt = time.Time{}
		s.settleAll(now, a, statedSilent)
	}
	if !a.attached {
		if len(a.runs) == 0 && now.Sub(a.lastReport) > forgetAfter {
			s.forgetAgent(a)
		}
		return
	}
	if silence := s.silenceOfAgent(now, a); silence > suspectAfter && len(a.runs) > 0 || silence > idleSessionTimeout {
		s.actions.CloseSessions = append(s.actions.CloseSessions, a.ref.ID)
		s.Detach(now, a.ref.ID)
		return
	}
	if now.Sub(a.lastSent) >= a.heartbeatPeriod() || s.planDue(now, a) || s.domainDue(a) != nil {
		s.sendNow(a)
	}
}

// earliest returns the earlier of two times. Zero stands for no time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// expireJobs answers the jobs whose deadline has passed.
func (s *Scheduler) expireJobs(now time.Time) {
	var expired []*job
	for _, j := range s.jobList {
		if !j.answered && !now.Before(j.request.Deadline) {
			expired = append(expired, j)
		}
	}
	for _, j := range expired {
		if !j.answered {
			s.expire(now, j)
		}
	}
}
