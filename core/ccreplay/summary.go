package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccdemand"
	"camphorcroft/core/ccwire"
)

const (
	// summariesPerSecond limits the messages that only announce demand, as without summaries.
	// 100 gave the most urgent class of a fleet with 19 workers 0.08 less credit, 1,000 gave it
	// 0.03 more (docs/design/demand.md).
	summariesPerSecond = demandMessagesPerSecond
	// offerBinding is how long after an offer its worker takes no less urgent jobs, unless the
	// next report comes before: as long as the agent keeps it at most. Binding it for 50 ms gave
	// 0.010 less of a day's value on competing-callers and 0.011 more on uneven-domains.
	offerBinding = 20 * time.Millisecond
	// maxSummaryJobs is how many queued jobs a summary counts, which bounds its cost. An entry
	// with more gets no larger share.
	maxSummaryJobs = 1000
	// maxLimitedJobs is how many queued jobs with a limit of tasks per worker are considered
	// for the summary of an agent. Whether it can run them is checked job by job.
	maxLimitedJobs = 8
	// maxAnnouncements is how many agents are told at one tick at most.
	maxAnnouncements = 10
)

// demandSummary is what waits in the queue at one time.
type demandSummary struct {
	groups  []demandGroup
	limited []*job // Jobs with a limit of tasks per worker.
	valid   bool   // groups are those of the messages that are being made.
	// allowance is the number of announcements that may be sent at refilledAt.
	allowance  float64
	refilledAt time.Time
}

// demandGroup is the waiting tasks that the same agents can run, by urgency.
type demandGroup struct {
	service, label string
	isolatedFor    uint32 // The isolated class, or 0.
	// rack is that of the tasks' data, and maxSlowdown the largest slowdown at which they are
	// placed. Both are only set in the placement by expected end.
	rack        string
	maxSlowdown float64
	slack       time.Duration
	rows        []ccdemand.Row
}

// refreshSummary groups the waiting tasks of the queue, once for all messages of a flush.
func (s *Scheduler) refreshSummary(now time.Time) {
	if s.summary.valid {
		return
	}
	s.summary.valid = true
	s.summary.groups, s.summary.limited = s.summary.groups[:0], s.summary.limited[:0]
	counted := 0
	for _, j := range s.queue {
		if !s.isWaiting(now, j) {
			continue
		}
		if counted++; counted > maxSummaryJobs {
			return
		}
		if j.request.MaxPerWorker > 0 {
			if len(s.summary.limited) < maxLimitedJobs {
				s.summary.limited = append(s.summary.limited, j)
			}
			continue
		}
		isolatedFor := uint32(0)
		if s.isIsolated(j) {
			isolatedFor = j.class
		}
		rack, maxSlowdown := s.slowdownLimit(now, j)
		at := slices.IndexFunc(s.summary.groups, func(g demandGroup) bool {
			return g.rack == rack && g.maxSlowdown == maxSlowdown && g.service == j.request.Route.Service && g.label == j.request.Label && g.isolatedFor == isolatedFor
		})
		if at < 0 {
			at = len(s.summary.groups)
			s.summary.groups = append(s.summary.groups, demandGroup{
				rack: rack, maxSlowdown: maxSlowdown,
				service: j.request.Route.Service, label: j.request.Label, isolatedFor: isolatedFor, slack: j.objectiveAt.Sub(now.Add(j.expected)),
			})
		}
		g := &s.summary.groups[at]
		g.rows = ccdemand.Add(g.rows, j.row())
	}
}

// row returns the job's waiting tasks as a row of a summary.
func (j *job) row() ccdemand.Row {
	return ccdemand.Row{Late: j.feasibility != feasibleOnTime, Priority: j.request.Route.Priority, Tasks: j.queued, Need: j.request.Need}
}

// summaryFor returns the demand to announce to an agent and the summary of the queue, or nil
// if nothing waits that the agent's worker can run.
func (s *Scheduler) summaryFor(now time.Time, a *agent) (*ccwire.Demand, []byte) {
	if s.lateness.current() > maxDemandLateness || s.plan != nil && s.plan.DomainsOut[a.domain] {
		return nil, nil
	}
	s.refreshSummary(now)
	var rows []ccdemand.Row
	var slack time.Duration
	for _, g := range s.summary.groups {
		if g.service != a.service || g.isolatedFor != a.isolatedFor || g.label != "" && !slices.Contains(a.labels, g.label) {
			continue
		}
		if g.maxSlowdown > 0 && a.pace*s.localityFactorFor(g.rack, a) > g.maxSlowdown {
			continue
		}
		for _, row := range g.rows {
			if !row.Need.Fits(a.capacity) {
				continue
			}
			if len(rows) == 0 || ccdemand.Compare(row, rows[0]) < 0 {
				slack = g.slack
			}
			rows = ccdemand.Add(rows, row)
		}
	}
	for _, j := range s.summary.limited {
		if s.mayPlace(now, j, j.firstQueuedTask(), a) && j.request.Need.Fits(a.capacity) {
			row := j.row()
			row.Tasks = min(row.Tasks, j.request.MaxPerWorker-j.tasksOn(a))
			rows = ccdemand.Add(rows, row)
		}
	}
	if len(rows) == 0 {
		return nil, nil
	}
	first := rows[0]
	demand := &ccwire.Demand{Late: first.Late, Priority: first.Priority, SlackMS: slack.Milliseconds(), Need: first.Need, Tasks: first.Tasks}
	return demand, ccdemand.Encode(ccdemand.Predict(rows, s.backlogRate(now)))
}

// announceSummaries tells the agents that have got no message for the longest time, at
// summariesPerSecond at most, while jobs are queued and once they no longer are.
func (s *Scheduler) announceSummaries(now time.Time) {
	s.summary.allowance = min(s.summary.allowance+now.Sub(s.summary.refilledAt).Seconds()*summariesPerSecond, maxAnnouncements)
	s.summary.refilledAt = now
	if s.lateness.current() > maxDemandLateness {
		return
	}
	for demanding := s.hasDemand(now); s.summary.allowance >= 1; s.summary.allowance-- {
		var next *agent
		for _, a := range s.agentList {
			if a.attached && !a.inOutbox && (demanding || a.toldDemand) && now.Sub(a.lastSent) >= minDemandInterval && (next == nil || a.lastSent.Before(next.lastSent)) {
				next = a
			}
		}
		if next == nil {
			return
		}
		s.sendNow(next)
	}
}

// mayUseOffer reports whether the job is as urgent as the agent's offer demands, or there is
// none. Without this, an entry would use capacity that it was offered for urgent jobs, which
// it has placed elsewhere meanwhile, before the urgent jobs of other entries.
func (j *job) mayUseOffer(now time.Time, a *agent) bool {
	return a.offer == nil || now.Sub(a.lastReport) >= offerBinding || ccdemand.Compare(j.row(), ccdemand.Row{Late: a.offer.Late, Priority: a.offer.Priority}) <= 0
}

// handleOffer records the offer in an agent's report.
func (s *Scheduler) handleOffer(a *agent, offer *ccwire.Offer) {
	a.offer = nil
	if s.cfg.DemandSummaries {
		a.offer = offer
	}
}

// answerOffer sends the agent the orders that end its offer, also if they have no starts.
func (s *Scheduler) answerOffer(a *agent) {
	if a.offer == nil {
		return
	}
	if !a.inOutbox {
		s.recordChange(Change{Message: "Offer not used.", Agent: a.ref.ID, Quiet: true})
	}
	s.sendNow(a)
}
