package ccreplay

import (
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccshare"
)

// SetOrder replaces the settings of the order of waiting jobs. They apply to the next
// placement.
func (s *Scheduler) SetOrder(now time.Time, settings ccshare.Settings) {
	if s.order.Settings().Equal(settings) {
		return
	}
	s.order.SetSettings(settings)
	s.recordOrder()
	s.checkShares()
	s.refreshRanks(now)
	s.schedule(now)
}

// recordOrder records the order in force and the number of shares.
func (s *Scheduler) recordOrder() {
	settings, name := s.order.Settings(), "deadline"
	if settings.Fair {
		name = "fair"
	}
	s.recordChange(Change{Message: "Queue order is set.", Reason: name, Count: len(settings.Shares)})
}

// checkShares logs the shares that have no effect because the plan has no such route. A
// later plan may have it.
func (s *Scheduler) checkShares() {
	settings := s.order.Settings()
	if !settings.Fair || s.plan == nil {
		return
	}
	unknown := maps.Clone(settings.Shares)
	for _, route := range s.plan.Routes {
		delete(unknown, route.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		s.recordChange(Change{Message: "Share is of no known route.", Route: name})
	}
}

// refreshRanks updates the ranks of the queued jobs and restores the order of the queue.
func (s *Scheduler) refreshRanks(now time.Time) {
	if s.order.Settings().Fair {
		waiting := map[ccshare.Route]bool{}
		for _, j := range s.queue {
			waiting[j.shareRoute()] = true
		}
		over := s.order.OverShare()
		s.order.Refresh(now, waiting)
		if s.order.OverShare() > over {
			s.recordChange(Change{Message: "Route is over its share.", Count: s.order.OverShare(), Quiet: true})
		}
	}
	for _, j := range s.queue {
		j.rank = s.rankOf(j)
	}
	if !slices.IsSortedFunc(s.queue, compareQueueOrder) {
		slices.SortStableFunc(s.queue, compareQueueOrder)
	}
}

// rankOf returns the rank of a job in the fair order. By default all ranks are equal.
func (s *Scheduler) rankOf(j *job) ccshare.Rank {
	if !s.order.Settings().Fair {
		return ccshare.Rank{}
	}
	return s.order.Rank(j.shareJob())
}

func (j *job) shareRoute() ccshare.Route {
	return ccshare.Route{Name: j.request.Route.Name, Priority: j.request.Route.Priority}
}

func (j *job) shareJob() ccshare.Job {
	return ccshare.Job{
		Route: j.shareRoute(), Arrived: j.arrived,
		Work: time.Duration(len(j.tasks)) * j.expected, Placed: time.Duration(len(j.tasks)-j.queued) * j.expected,
	}
}

// countUse records a placed task as use of its route.
func (s *Scheduler) countUse(now time.Time, j *job) {
	if s.order.Settings().Fair {
		s.order.Placed(now, j.shareRoute(), j.expected.Seconds()*float64(j.request.Need.CPU)/1000)
	}
}

// slack returns what orders jobs of the same priority among entries: how much later the
// job could start without missing its objective or, in the fair order, its rank.
func (s *Scheduler) slack(now time.Time, j *job) time.Duration {
	if s.order.Settings().Fair {
		return j.rank.Slack(now)
	}
	return j.objectiveAt.Sub(now.Add(j.expected))
}
