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
	if reason := s.refuseAgent(attach, a == nil); reason != "" {
		s.recordChange(Change{Message: "Session request refused.", Agent: attach.Node.ID[:min(len(attach.Node.ID), maxAgentID)], Reason: reason, Session: attach.Session})
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
	a.planRevision, a.toldDomain = 0, 0
	a.planPieces, a.pieceWanted = attach.PlanPieces, nil
	s.relay.stale = true
	a.attached, a.sequence, a.inFlight, a.orders = true, 0, nil, ccwire.Orders{}
	a.clockOffset.reset()
	s.recordChange(Change{
		Message: "Agent attached.", Agent: a.ref.ID, Count: len(attach.Runs), Incarnation: a.ref.Incarnation,
		Clock: time.Duration(attach.Report.ClockMS) * time.Millisecond, Session: a.session,
	})
	s.handleReport(now, a, attach.Report)
	s.settleListed(now, a, &attach)
	s.sendNow(a)
	s.schedule(now)
	return true
}

// refuseAgent returns why an agent gets no session, or "". It makes room for one that is new.
func (s *Scheduler) refuseAgent(attach ccwire.Attach, isNew bool) string {
	switch w := attach.Report.Worker; {
	case len(attach.Node.ID) > maxAgentID:
		return "its ID is too long"
	case w != nil && w.TextBytes() > ccwire.MaxWorkerText:
		return "its worker's names and labels are too long"
	case isNew && len(s.agents) >= maxAgents && !s.forgetOldest():
		return "entry knows as many agents as it may"
	default:
		return ""
	}
}

// forgetOldest deletes the state of the agent that has been detached for longest, if any has no
// runs.
func (s *Scheduler) forgetOldest() bool {
	var oldest *agent
	for _, a := range s.agentList {
		if !a.attached && len(a.runs) == 0 && (oldest == nil || a.lastReport.Before(oldest.lastReport)) {
			oldest = a
		}
	}
	if oldest == nil {
		return false
	}
	s.forgetAgent(oldest)
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
