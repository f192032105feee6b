package ccreplay

import "camphorcroft/core/ccwire"

// domainDue returns what the agent must be told of its failure domain, or nil. Each plan by which
// the domain is out is told, so that a plan from before it can't open the agent. That the domain
// is back is told to an agent that counts it as out by an older plan, whoever sent that.
func (s *Scheduler) domainDue(a *agent) *ccwire.DomainState {
	if s.plan == nil || a.domain == "" || a.toldDomain >= s.plan.Revision {
		return nil
	}
	out := s.plan.DomainsOut[a.domain]
	if !out && (a.domainOutRevision == 0 || a.domainOutRevision >= s.plan.Revision) {
		return nil
	}
	return &ccwire.DomainState{Domain: a.domain, Out: out, Revision: s.plan.Revision}
}

// handleDomain records by which plan an agent counts its failure domain as out.
func (s *Scheduler) handleDomain(a *agent, outRevision uint64) {
	if outRevision > s.planRevision() && outRevision != a.domainOutRevision {
		s.recordChange(Change{Message: "Domain is out by a newer plan.", Agent: a.ref.ID, Count: int(outRevision)})
	}
	a.domainOutRevision = outRevision
	if s.domainDue(a) != nil {
		s.sendNow(a)
	}
}
