package cclease

import (
	"time"

	"camphorcroft/core/ccrelay"
	"camphorcroft/core/ccwire"
)

// pieceTimeout is how long the agent waits for a piece of a plan before it asks the next entry that
// has the plan.
const pieceTimeout = 500 * time.Millisecond

// planRelay is the state of the plan's way from and to entries.
type planRelay struct {
	holder   ccrelay.Holder
	assembly ccrelay.Assembly
	// startedAt and progressAt are when the first and the last piece came.
	startedAt, progressAt time.Time
	requests              int // Requests without an answer in time.
}

// handlePiece handles a piece of an entry's plan, and asks the entry for the next one.
func (m *Manager) handlePiece(now time.Time, o *owner, piece *ccwire.PlanPiece) {
	if m.plan != nil && piece.Revision <= m.plan.Revision {
		return
	}
	o.holdsPlan = piece.Revision
	if begun := m.relay.assembly.Revision(); piece.Revision < begun && len(m.planHolders(begun)) == 0 {
		m.relay.assembly = ccrelay.Assembly{}
	}
	before := m.relay.assembly.Revision()
	progress, err := m.relay.assembly.Add(piece)
	if err != nil {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Plan cannot be read.", Entry: o.ref.ID, Reason: err.Error(), Count: int(piece.Revision)})
		return
	}
	if !progress {
		return
	}
	if before != m.relay.assembly.Revision() {
		m.relay.startedAt = now
	}
	m.relay.progressAt, m.relay.requests = now, 0
	if plan := m.relay.assembly.Plan(); plan != nil {
		m.actions.Changes = append(m.actions.Changes, Change{
			Message: "Plan is complete.", Entry: o.ref.ID, Count: piece.Size, Age: now.Sub(m.relay.startedAt),
		})
		m.relay.assembly = ccrelay.Assembly{}
		m.setPlan(now, o, plan)
		return
	}
	o.asksPiece, o.reportNow = true, true
}

// resumePlan asks another entry for the rest of a plan if no piece came in time.
func (m *Manager) resumePlan(now time.Time) {
	revision := m.relay.assembly.Revision()
	if revision == 0 || now.Sub(m.relay.progressAt) < pieceTimeout {
		return
	}
	m.relay.progressAt = now
	if m.plan != nil && m.plan.Revision >= revision {
		m.relay.assembly = ccrelay.Assembly{}
		return
	}
	holders := m.planHolders(revision)
	if len(holders) == 0 {
		return
	}
	m.relay.requests++
	o := holders[m.relay.requests%len(holders)]
	o.asksPiece, o.reportNow = true, true
}

// planHolders returns the entries with a session that have a plan, or a later one.
func (m *Manager) planHolders(revision uint64) []*owner {
	var holders []*owner
	for _, o := range m.ownerList {
		if o.connected && o.holdsPlan >= revision {
			holders = append(holders, o)
		}
	}
	return holders
}

// addPieces adds the piece that the entry wants, and the request for the next one, to a report.
func (m *Manager) addPieces(o *owner, report *ccwire.RunReport) {
	if o.asksPiece && m.relay.assembly.Revision() != 0 {
		position := m.relay.assembly.Position()
		report.PlanWant = &position
	}
	if o.pieceWanted != nil && m.plan != nil {
		piece, err := m.relay.holder.Answer(m.plan, *o.pieceWanted)
		if err != nil {
			m.actions.Changes = append(m.actions.Changes, Change{Message: "Plan cannot be sent.", Entry: o.ref.ID, Reason: err.Error()})
		}
		report.PlanPiece = piece
		if piece != nil {
			// The entry asks for the first piece once.
			m.actions.Changes = append(m.actions.Changes, Change{Message: "Plan sent.", Entry: o.ref.ID, Count: int(m.plan.Revision), Quiet: piece.Offset > 0})
		}
	}
	o.asksPiece, o.pieceWanted = false, nil
}
