package ccreplay

import (
	"time"

	"camphorcroft/core/ccwire"
)

// capacityReportInterval returns the shortest time between two reports of an agent that
// only carry free capacity. It grows with the number of attached agents.
func (s *Scheduler) capacityReportInterval() time.Duration {
	return time.Duration(s.attached) * time.Second / capacityReportsPerSecond
}

// sendNow marks an agent to get a message with the next Take.
func (s *Scheduler) sendNow(a *agent) {
	if a.attached && !a.inOutbox {
		a.inOutbox = true
		s.outbox = append(s.outbox, a)
	}
}

// flush queues the messages of the agents in the outbox.
func (s *Scheduler) flush(now time.Time) {
	s.summary.valid = false
	interval := s.capacityReportInterval().Milliseconds()
	for _, a := range s.outbox {
		a.inOutbox = false
		if !a.attached {
			continue
		}
		a.sequence++
		orders := a.orders
		orders.Sequence = a.sequence
		orders.EchoMS = a.clockMS
		orders.CapacityIntervalMS = interval
		if s.plan != nil {
			orders.PlanRevision = s.plan.Revision
			s.addPlan(now, a, &orders)
			if orders.Domain = s.domainDue(a); orders.Domain != nil {
				a.toldDomain = s.plan.Revision
			}
		}
		s.addEntries(a, &orders)
		if s.cfg.DemandSummaries {
			orders.Demand, orders.Summary = s.summaryFor(now, a)
		} else {
			orders.Demand = s.demandFor(now, a)
		}
		if a.toldDemand = orders.Demand != nil; !a.toldDemand {
			a.offer = nil // The agent gives it to others.
		}
		a.orders, a.lastSent = ccwire.Orders{}, now
		s.actions.Messages = append(s.actions.Messages, Message{To: a.ref.ID, Orders: orders})
	}
	s.outbox = s.outbox[:0]
}
