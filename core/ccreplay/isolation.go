package ccreplay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccsubset"
)

const (
	// isolationShare is the part of a service's workers, as one in this many, that an
	// isolated class may use.
	isolationShare = 6
	// isolationRetrySpread is the time over which refused callers of an isolated class are
	// spread, beyond refusalRetryAfter.
	isolationRetrySpread = 3 * time.Second
	// isolationReason is the reason of a refusal while no worker of an isolated class is up.
	isolationReason = "jobs of this kind crash workers, and those kept for them are down"
)

// routeOf returns the route whose jobs are of a class.
func (s *Scheduler) routeOf(class uint32) (ccroute.Route, bool) {
	if s.plan != nil {
		for _, route := range s.plan.Routes {
			if classOf(route) == class {
				return route, true
			}
		}
	}
	return ccroute.Route{}, false
}

// updateIsolation chooses the agents of the isolated classes: those that crashed under the
// class and then those with the highest scores, so that all entries choose the same ones.
func (s *Scheduler) updateIsolation(now time.Time) {
	isolated := s.crashes.Isolated(now)
	if len(isolated) == 0 && len(s.isolated) == 0 {
		return
	}
	for _, class := range slices.Sorted(maps.Keys(s.isolated)) {
		if !slices.Contains(isolated, class) {
			s.recordChange(Change{Message: "Jobs are no longer isolated.", Route: s.isolated[class]})
			delete(s.isolated, class)
		}
	}
	for _, a := range s.agentList {
		a.isolatedFor = 0
	}
	for _, class := range isolated {
		route, known := s.routeOf(class)
		if !known {
			delete(s.isolated, class)
			continue
		}
		chosen := s.isolationAgents(now, route)
		for _, a := range chosen {
			a.isolatedFor = class
		}
		if _, was := s.isolated[class]; !was {
			s.isolated[class] = route.Name
			s.recordChange(Change{Message: "Jobs are isolated.", Route: route.Name, Count: len(chosen)})
		}
	}
	s.refuseIsolated(now)
}

// isolationAgents returns the agents for the jobs of a route that is isolated: first those
// whose workers crashed under it, which the other routes miss anyway. Agents that are down
// for a while keep their place, so that no others take it.
func (s *Scheduler) isolationAgents(now time.Time, route ccroute.Route) []*agent {
	var candidates []*agent
	for _, a := range s.agentList {
		if a.service == route.Service && (a.attached || now.Sub(a.lastReport) < reattachGrace) {
			candidates = append(candidates, a)
		}
	}
	n := (len(candidates) + isolationShare - 1) / isolationShare
	candidates = slices.DeleteFunc(candidates, func(a *agent) bool { return a.isolatedFor != 0 })
	crashed := s.crashes.IsolationAgents(now, classOf(route))
	slices.SortFunc(candidates, func(a, b *agent) int {
		if c := slices.Contains(crashed, a.ref.ID); c != slices.Contains(crashed, b.ref.ID) {
			if c {
				return -1
			}
			return 1
		}
		return cmp.Compare(ccsubset.Score(b.ref.ID, route.Name), ccsubset.Score(a.ref.ID, route.Name))
	})
	return candidates[:min(n, len(candidates))]
}

// trialAgents returns the agents on which suspects of a route should run again: those that
// would be chosen for it if it were isolated. A suspect that crashes its workers thus takes
// no others down.
func (s *Scheduler) trialAgents(now time.Time, route ccroute.Route) map[ccnode.ID]bool {
	trial := map[ccnode.ID]bool{}
	for _, a := range s.isolationAgents(now, route) {
		trial[a.ref.ID] = true
	}
	return trial
}

// isIsolated reports whether the class of a job is isolated.
func (s *Scheduler) isIsolated(j *job) bool {
	_, isolated := s.isolated[j.class]
	return isolated
}

// isolationAllows reports whether a job may run on an agent: jobs of an isolated class only
// on the agents chosen for it, and other jobs only elsewhere.
func (s *Scheduler) isolationAllows(j *job, a *agent) bool {
	if s.isIsolated(j) {
		return a.isolatedFor == j.class
	}
	return a.isolatedFor == 0
}

// isolationDown reports whether a class is isolated and none of its agents may be given
// tasks.
func (s *Scheduler) isolationDown(now time.Time, class uint32) bool {
	if _, isolated := s.isolated[class]; !isolated {
		return false
	}
	return !slices.ContainsFunc(s.agentList, func(a *agent) bool { return a.isolatedFor == class && s.usable(now, a) })
}

// refuseIsolated refuses the queued jobs of isolated classes whose agents are all down. It
// leaves jobs alone of which a task was placed.
func (s *Scheduler) refuseIsolated(now time.Time) {
	for _, class := range slices.Sorted(maps.Keys(s.isolated)) {
		if !s.isolationDown(now, class) {
			continue
		}
		s.crashes.Prolong(now, class)
		for _, j := range slices.Clone(s.queue) {
			if j.class == class && j.hasQueuedTasks() && !j.mayHaveRun() {
				s.answerJob(now, j, StateRefused, isolationReason)
			}
		}
	}
}

// isolationRetryAfter returns when a refused caller of an isolated class should come back.
func isolationRetryAfter(id string) time.Duration {
	spread := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return refusalRetryAfter + time.Duration(spread*float64(isolationRetrySpread))
}
