package ccreplay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccrelay"
	"camphorcroft/core/ccroute"
)

const (
	// relayCount is the number of agents to which an entry sends a plan, so that entries
	// that can't reach the store get it from there. The same agents serve all entries
	// that they are attached to.
	relayCount = 8
	// planDelaySteps and planDelayStep spread the sending of a plan over 300 ms, well
	// within the 2 s in which a plan must take effect.
	planDelaySteps = 16
	planDelayStep  = 20 * time.Millisecond
	// planRequestDelay is how long an entry waits for a plan from the store before it asks
	// an agent for it.
	planRequestDelay = 300 * time.Millisecond
	// planRequestRetry is how long it waits for the answer before it asks another agent.
	planRequestRetry = 250 * time.Millisecond
)

// planRelay is the state of the plan's way between entries over agents.
type planRelay struct {
	// stale is set when the agents that relay plans must be chosen again.
	stale bool
	// heard is the highest revision that an agent has, and heardAt when an agent first
	// had a newer plan than the entry.
	heard   uint64
	heardAt time.Time
	// heardVersion is the highest operators' version that an agent has had.
	heardVersion uint64
	askedAt      time.Time
	requests     int
	// holder sends the current plan in pieces, and assembly gets a newer one from agents.
	holder   ccrelay.Holder
	assembly ccrelay.Assembly
}

// planDue reports whether the agent must be sent the plan now.
func (s *Scheduler) planDue(now time.Time, a *agent) bool {
	if s.plan == nil || a.planRevision >= s.plan.Revision || !s.relaysPlans(a) {
		return false
	}
	return a.planRevision == 0 || now.Sub(s.planSetAt) >= s.planDelay(a.ref.ID)
}

// planDelay is how long the entry waits before it sends a plan to an agent, which may
// get it from another entry in the meantime. It differs for each pair of entry and
// agent.
func (s *Scheduler) planDelay(id ccnode.ID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.cfg.Self.ID)+string(id))%planDelaySteps) * planDelayStep
}

// relaysPlans reports whether the agent is one of those that relay plans: the attached
// agents with the lowest hashes.
func (s *Scheduler) relaysPlans(a *agent) bool {
	if s.relay.stale {
		s.relay.stale = false
		var attached []*agent
		for _, other := range s.agentList {
			other.relay = false
			if other.attached {
				attached = append(attached, other)
			}
		}
		slices.SortFunc(attached, func(a, b *agent) int { return cmp.Compare(a.relayRank, b.relayRank) })
		for _, other := range attached[:min(relayCount, len(attached))] {
			other.relay = true
		}
	}
	return a.relay
}

// relayRank orders the agents for the choice of those that relay plans. It is the same at
// all entries.
func relayRank(id ccnode.ID) uint64 { return xxhash.Sum64String(string(id)) }

// handlePlanRevision records the revision and the version of the plan that an agent has.
func (s *Scheduler) handlePlanRevision(now time.Time, a *agent, revision, version uint64) {
	a.heldPlan = revision
	s.relay.heardVersion = max(s.relay.heardVersion, version)
	a.planRevision = max(a.planRevision, revision)
	if revision > s.planRevision() && revision > s.relay.heard {
		if s.relay.heard <= s.planRevision() {
			s.relay.heardAt = now
		}
		s.relay.heard = revision
		s.recordChange(Change{Message: "Newer plan reported.", Agent: a.ref.ID, Count: int(revision)})
	}
}

// PlanLag returns the highest revision of a plan that an agent has reported, and how long
// ago the first report of a plan came that is newer than the current one. The time is zero
// if there is none.
func (s *Scheduler) PlanLag(now time.Time) (uint64, time.Duration) {
	if s.relay.heard <= s.planRevision() {
		return s.relay.heard, 0
	}
	return s.relay.heard, now.Sub(s.relay.heardAt)
}

// PlanBehind reports whether a later version of the operators' configuration is known than
// that of the current plan. A route that the plan lacks may then exist.
func (s *Scheduler) PlanBehind() bool { return s.plan != nil && s.relay.heardVersion > s.plan.Version }

// requestPlan asks an agent for its plan if the store has not sent it in time.
func (s *Scheduler) requestPlan(now time.Time) {
	own := s.planRevision()
	if s.relay.heard <= own || now.Sub(s.relay.heardAt) < planRequestDelay || now.Sub(s.relay.askedAt) < planRequestRetry {
		return
	}
	var holders []*agent
	for _, a := range s.agentList {
		if a.attached && a.heldPlan > own {
			holders = append(holders, a)
		}
	}
	if len(holders) == 0 {
		s.relay.heard = own
		return
	}
	// An agent that relays plans no longer may have an old one.
	slices.SortStableFunc(holders, func(a, b *agent) int { return cmp.Compare(b.heldPlan, a.heldPlan) })
	a := holders[s.relay.requests%len(holders)]
	s.relay.requests++
	s.relay.askedAt = now
	if a.planPieces {
		if a.heldPlan < s.relay.assembly.Revision() {
			// No attached agent has the plan that was begun.
			s.relay.assembly = ccrelay.Assembly{}
		}
		position := s.relay.assembly.Position()
		a.orders.PlanWant = &position
	} else {
		a.orders.WantPlan = true
	}
	s.recordChange(Change{Message: "Plan requested.", Agent: a.ref.ID, Age: now.Sub(s.relay.heardAt), Count: int(s.relay.heard)})
	s.sendNow(a)
}

// planRevision returns the revision of the current plan, or 0.
func (s *Scheduler) planRevision() uint64 {
	if s.plan == nil {
		return 0
	}
	return s.plan.Revision
}

func (s *Scheduler) setPlan(now time.Time, plan *ccroute.Plan) {
	plan.BuildIndex()
	_, lag := s.PlanLag(now)
	s.plan, s.planSetAt, s.relay.requests = plan, now, 0
	s.relay.assembly = ccrelay.Assembly{}
	s.checkShares()
	s.recordChange(Change{Message: "Plan in force.", Age: lag, Count: int(plan.Revision), Reported: s.relay.heard})
}
