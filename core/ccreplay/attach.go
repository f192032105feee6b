package ccreplay

import (
	"slices"
	"strings"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
)

// Attach opens a session with an agent. Runs of the agent's current incarnation that
// it does not list have ended. Any other incarnation in a later session is a newer one,
// also if its number is lower because the agent's clock was set back.
//
// Attach reports false, and changes nothing, if the agent has opened a later session
// before: the request was delayed, and its list is outdated.
func (s *Scheduler) Attach(now time.Time, attach ccwire.Attach) bool {
	a := s.agents[attach.Node.ID]
	latest := s.forgottenSession
	if a != nil {
		latest = a.session
	}
	if attach.Session <= latest {
		s.recordChange(Change{
			Message: "Session request refused.", Agent: attach.Node.ID, Incarnation: attach.Node.Incarnation,
			Clock: time.Duration(attach.Report.ClockMS) * time.Millisecond, Session: attach.Session, LatestSession: latest,
		})
		return false
	}
	if a == nil {
		a = s.addAgent(attach.Node)
	}
	a.session = attach.Session
	if !a.attached {
		s.attached++
	}
	a.ref = attach.Node
	a.entriesSent = attach.EntriesDigest == ccsubset.Digest(s.entries)
	a.planRevision = 0
	s.relay.stale = true
	a.attached, a.sequence, a.inFlight, a.orders = true, 0, nil, ccwire.Orders{}
	a.clockOffset.reset()
	s.recordChange(Change{
		Message: "Agent attached.", Agent: a.ref.ID, Count: len(attach.Runs), Incarnation: a.ref.Incarnation,
		Clock: time.Duration(attach.Report.ClockMS) * time.Millisecond, Session: a.session,
	})
	s.handleReport(now, a, attach.Report)
	alive := map[ccwire.RunRef]bool{}
	for _, run := range attach.Runs {
		alive[run] = true
		if !s.isPlacedOn(run, a.ref.ID) {
			a.orders.Stops = append(a.orders.Stops, run)
		}
	}
	s.reconcileRuns(now, a, alive, attach)
	s.sendNow(a)
	s.schedule(now)
	return true
}

func (s *Scheduler) addAgent(ref ccnode.Ref) *agent {
	a := &agent{ref: ref, relayRank: relayRank(ref.ID)}
	s.agents[ref.ID] = a
	at, _ := slices.BinarySearchFunc(s.agentList, a, compareAgents)
	s.agentList = slices.Insert(s.agentList, at, a)
	return a
}

func compareAgents(a, b *agent) int { return strings.Compare(string(a.ref.ID), string(b.ref.ID)) }

// reconcileRuns compares the tasks placed on an agent with the runs that it listed
// when it attached. Listed runs continue, and missing runs of its current
// incarnation have ended. Those whose orders the agent had not handled never
// started, since it drops the orders of a session that was replaced, and gets none in one
// that it never opened.
//
// An agent knows nothing of the runs of its earlier incarnations until it is settled:
// those stay unresolved until then, or until cclease.RunsExpireAfter has passed.
func (s *Scheduler) reconcileRuns(now time.Time, a *agent, alive map[ccwire.RunRef]bool, attach ccwire.Attach) {
	for _, p := range slices.Clone(a.runs) {
		tk := &p.job.tasks[p.index]
		run := p.job.runRef(p.index)
		ended := ccwire.RunResult{Outcome: ccwire.RunLost, Reason: "agent attached without it"}
		switch {
		case tk.incarnation != a.ref.Incarnation:
			if tk.lostAt.IsZero() {
				tk.lostAt = now.Add(cclease.RunsExpireAfter)
				a.lostAt = earliest(a.lostAt, tk.lostAt)
			}
		case alive[run]:
			tk.lostAt, tk.session, tk.sequence = time.Time{}, 0, 0
			if tk.stopping {
				a.orders.Stops = append(a.orders.Stops, run)
			}
		case !tk.orderHandled(attach):
			ended.Outcome, ended.Reason = ccwire.RunRefused, "agent attached without having handled the order"
			s.endRun(now, p.job, p.index, ended)
		default:
			s.endRun(now, p.job, p.index, ended)
		}
	}
}

// orderHandled reports whether an agent had handled the orders with the task's start when
// it made a request for a session.
func (tk *task) orderHandled(attach ccwire.Attach) bool {
	return tk.session < attach.PreviousSession || tk.session == attach.PreviousSession && tk.sequence <= attach.Report.HandledSequence
}

// endEarlierRuns ends the runs of an agent's earlier incarnations once the agent has
// reported that none of them is alive.
func (s *Scheduler) endEarlierRuns(now time.Time, a *agent) {
	for _, p := range slices.Clone(a.runs) {
		if tk := &p.job.tasks[p.index]; tk.incarnation != a.ref.Incarnation {
			s.endRun(now, p.job, p.index, ccwire.RunResult{Outcome: ccwire.RunLost, Reason: "agent has a new incarnation"})
		}
	}
}

// Detach ends a session. The agent's runs count as lost cclease.RunsExpireAfter
// after its last report, unless it attaches again before then.
func (s *Scheduler) Detach(now time.Time, id ccnode.ID) {
	a := s.agents[id]
	if a == nil || !a.attached {
		return
	}
	a.attached = false
	s.attached--
	s.relay.stale = true
	s.recordChange(Change{Message: "Agent detached.", Agent: id, Age: now.Sub(a.lastReport), Count: len(a.runs)})
	lostAt := a.lastReport.Add(cclease.RunsExpireAfter)
	a.lostAt = time.Time{}
	for _, p := range a.runs {
		p.job.tasks[p.index].lostAt = lostAt
		a.lostAt = lostAt
	}
	s.schedule(now)
}

// forgetAgent deletes the state of an agent that has been detached for forgetAfter.
func (s *Scheduler) forgetAgent(a *agent) {
	delete(s.agents, a.ref.ID)
	s.forgottenSession = max(s.forgottenSession, a.session)
	s.agentList = slices.DeleteFunc(s.agentList, func(other *agent) bool { return other == a })
	s.recordChange(Change{Message: "Agent forgotten.", Agent: a.ref.ID})
}
