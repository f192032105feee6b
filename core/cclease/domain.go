package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// domainOutRevision returns the revision of the newest plan known to the agent if its worker's
// failure domain is out by it, and 0 otherwise. An entry that can't reach the store may have an
// older plan, but the agent hears of its domain from all entries that it has sessions with.
func (m *Manager) domainOutRevision() uint64 {
	switch {
	case m.worker == nil:
		return 0
	case m.plan != nil && m.plan.Revision > m.domain.Revision:
		if m.plan.DomainsOut[m.worker.Domain] {
			return m.plan.Revision
		}
		return 0
	case m.domain.Out && m.domain.Domain == m.worker.Domain:
		return m.domain.Revision
	default:
		return 0
	}
}

// updateDomain adopts the state of a failure domain, unless a later one is known.
func (m *Manager) updateDomain(now time.Time, entry ccnode.ID, state *ccwire.DomainState) {
	if state == nil || state.Revision <= m.domain.Revision {
		return
	}
	before := m.domainOutRevision()
	m.domain = *state
	after := m.domainOutRevision()
	if (before == 0) == (after == 0) {
		return
	}
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Domain is " + outOrBack(after) + ".", Entry: entry, Count: int(state.Revision)})
	m.reportAll(now)
}

func outOrBack(outRevision uint64) string {
	if outRevision == 0 {
		return "back"
	}
	return "out"
}
