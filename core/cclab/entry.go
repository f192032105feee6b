package cclab

import (
	"time"

	"camphorcroft/core/ccforward"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// entry is an entry's process with a limited processor.
type entry struct {
	lab    *Lab
	cfg    EntryConfig
	ref    ccnode.Ref
	domain string

	scheduler   *ccreplay.Scheduler
	sessions    map[ccnode.ID]*session
	lastSession uint64 // The last session number that was issued.
	callers     map[uint64]*caller
	peers       map[ccforward.LinkID]*peerLink
	inbox       []inboxEvent
	busy        bool
	tickPending bool
	frozenUntil time.Time
	// inPool is false once the balancer has removed the entry, which failedChecks counts
	// up to.
	inPool       bool
	failedChecks int
}

// inboxEvent is an event that waits for the processor.
type inboxEvent struct {
	cost time.Duration
	run  func()
}

// start starts the process with an empty state.
func (e *entry) start() {
	e.ref.Incarnation++
	cfg := e.lab.cfg
	e.scheduler = ccreplay.New(ccreplay.Config{
		Self: e.ref, Domain: e.domain, AwayFactor: cfg.AwayFactor, Order: cfg.Order, EndTimePlacement: cfg.EndTimePlacement,
		DemandSummaries: cfg.DemandSummaries, Admission: cfg.Admission, Forwarding: cfg.Forwarding,
	})
	e.closePeers()
	e.sessions, e.callers = map[ccnode.ID]*session{}, map[uint64]*caller{}
	e.inbox, e.tickPending = nil, false
	plan := &ccroute.Plan{Revision: 1, DomainsOut: map[string]bool{}}
	for _, class := range e.lab.cfg.Classes {
		plan.Routes = append(plan.Routes, ccroute.Route{Name: class.Name, Service: serviceName})
	}
	for _, domain := range e.lab.cfg.DomainsOut {
		plan.DomainsOut[DomainName(domain)] = true
	}
	e.scheduler.SetPlan(e.lab.clock.now, plan)
}

func (e *entry) tick() {
	if !e.tickPending {
		e.tickPending = true
		e.enqueue(inboxEvent{cost: costTick, run: func() {
			e.tickPending = false
			e.scheduler.Tick(e.lab.clock.now)
		}})
	}
	e.lab.clock.after(tickInterval, e.tick)
}

// receive handles an event after the network delay, once the processor is free.
func (e *entry) receive(cost time.Duration, run func()) {
	incarnation := e.ref.Incarnation
	e.lab.clock.after(netDelay, func() {
		if e.ref.Incarnation == incarnation {
			e.enqueue(inboxEvent{cost: cost, run: run})
		}
	})
}

func (e *entry) enqueue(event inboxEvent) {
	e.inbox = append(e.inbox, event)
	if !e.busy {
		e.next()
	}
}

// next handles the first event of the inbox.
func (e *entry) next() {
	if len(e.inbox) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	event := e.inbox[0]
	e.inbox = e.inbox[1:]
	wait := max(e.frozenUntil.Sub(e.lab.clock.now), 0)
	incarnation := e.ref.Incarnation
	e.lab.clock.after(wait+e.scaled(event.cost), func() {
		output := time.Duration(0)
		if e.ref.Incarnation == incarnation {
			began := time.Now()
			event.run()
			output = e.flush()
			if e.lab.cfg.MeasureProcessor {
				output += time.Since(began)
			}
			e.lab.result.Processor += event.cost + output
		}
		e.lab.clock.after(e.scaled(output), e.next)
	})
}

// scaled returns the time that the entry needs for an amount of processor time.
func (e *entry) scaled(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) / e.cfg.Share)
}

// attach reports whether the session is accepted.
func (e *entry) attach(s *session, attach ccwire.Attach) bool {
	if s.closed || !e.scheduler.Attach(e.lab.clock.now, attach) {
		return false
	}
	e.sessions[s.agent.ref.ID] = s
	return true
}

func (e *entry) report(s *session, report ccwire.RunReport) {
	if e.sessions[s.agent.ref.ID] == s {
		e.scheduler.Report(e.lab.clock.now, s.agent.ref.ID, report)
	}
}

func (e *entry) sessionClosed(s *session) {
	if id := s.agent.ref.ID; e.sessions[id] == s {
		delete(e.sessions, id)
		e.scheduler.Detach(e.lab.clock.now, id)
	}
}

// flush carries out the scheduler's actions and returns what they cost.
func (e *entry) flush() time.Duration {
	out := e.scheduler.Take(e.lab.clock.now)
	for _, m := range out.Messages {
		s := e.sessions[m.To]
		if s == nil {
			continue
		}
		e.lab.countMessage(m.Orders, e.domain != s.agent.domain)
		e.lab.clock.after(netDelay, func() {
			if a := s.agent; !s.closed && a.sessions[e.ref.ID] == s {
				a.manager.OrdersReceived(e.lab.clock.now, e.ref.ID, m.Orders)
				a.flush()
			}
		})
	}
	for _, answer := range out.Answers {
		if c := e.callers[answer.Token]; c != nil {
			delete(e.callers, answer.Token)
			if answer.State == ccreplay.StateRefused {
				c.record.FreeAtRefusal, c.record.UseAtRefusal = e.lab.freeFor(c.record), e.lab.use()
			}
			e.lab.clock.after(netDelay, func() { c.answered(answer) })
		}
	}
	for _, id := range out.CloseSessions {
		if s := e.sessions[id]; s != nil {
			delete(e.sessions, id)
			s.closed = true
			e.lab.clock.after(netDelay, func() {
				s.agent.sessionClosed(s)
				s.agent.flush()
			})
		}
	}
	for _, c := range out.Changes {
		e.lab.countForwarding(c)
	}
	peerCost := e.flushPeers(out.PeerMessages, out.ClosePeers)
	return peerCost + time.Duration(len(out.Messages))*costMessage + time.Duration(len(out.Answers))*costAnswer
}

// check is the balancer's readiness check.
func (e *entry) check() {
	ready := e.scheduler.UsableAgents(e.lab.clock.now) > 0 && !e.scheduler.Overloaded() && !e.lab.clock.now.Before(e.frozenUntil)
	if e.failedChecks++; ready {
		e.failedChecks = 0
	}
	e.inPool = e.failedChecks < readinessFailures
	e.lab.clock.after(readinessInterval, e.check)
}
