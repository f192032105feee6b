package cclab

import (
	"net/netip"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsubset"
)

// agent is an agent's process beside its worker. Its processor is never busy.
type agent struct {
	lab      *Lab
	ref      ccnode.Ref
	domain   string
	manager  *cclease.Manager
	worker   *worker
	subset   *ccsubset.Subset
	sessions map[ccnode.ID]*session
	beats    uint64
}

// session is a connection between an agent and an entry.
type session struct {
	agent  *agent
	entry  *entry
	closed bool
	opened bool // The agent has registered it.
}

func (a *agent) start() {
	a.heartbeat()
	a.tick()
	for _, addr := range a.subset.Wanted(a.lab.clock.now) {
		e := a.lab.byAddr[addr]
		a.lab.clock.after(a.lab.jitter(200*time.Millisecond), func() { a.dial(e, redialMin) })
	}
}

func (a *agent) heartbeat() {
	a.lab.clock.after(1500*time.Millisecond, a.heartbeat)
	if a.worker.isDown() {
		return
	}
	a.beats++
	var labels []string
	if a.worker.rack != "" {
		labels = []string{a.worker.rack}
	}
	a.manager.Heartbeat(a.lab.clock.now, cclease.Worker{
		ID: a.worker.id, StartTime: a.worker.born, Service: serviceName, Domain: a.domain, Labels: labels, Capacity: a.worker.capacity,
		Sequence: a.beats, Clock: a.worker.response(cclease.StatusOK).Clock,
	})
	a.flush()
}

func (a *agent) tick() {
	a.manager.Tick(a.lab.clock.now)
	a.flush()
	a.lab.clock.after(agentTick, a.tick)
}

// dial opens a session with an entry, and again after a failure.
func (a *agent) dial(e *entry, backoff time.Duration) {
	s := &session{agent: a, entry: e}
	ref := e.ref
	retry := func() {
		if s.closed {
			return
		}
		s.closed = true
		e.receive(costMessage, func() { e.sessionClosed(s) })
		a.lab.clock.after(backoff/2+a.lab.jitter(backoff), func() { a.dial(e, min(2*backoff, redialMax)) })
	}
	a.lab.clock.after(attachTimeout, func() {
		if !s.opened {
			retry()
		}
	})
	e.receive(costMessage, func() {
		e.lastSession++
		number := e.lastSession
		a.lab.clock.after(netDelay, func() {
			if s.closed {
				return
			}
			now := a.lab.clock.now
			if previous := a.sessions[e.ref.ID]; previous != nil {
				a.sessionClosed(previous)
			}
			attach, ok := a.manager.AttachRequest(now, a.ref, ref, number)
			if !ok {
				return
			}
			e.receive(costAttach, func() {
				if !e.attach(s, attach) {
					return
				}
				a.lab.clock.after(netDelay, func() {
					if !s.closed && ref == e.ref && a.manager.SessionOpened(a.lab.clock.now, ref, number) {
						s.opened = true
						a.sessions[e.ref.ID] = s
						a.flush()
					}
				})
			})
		})
	})
}

// sessionClosed handles the end of a session and dials again.
func (a *agent) sessionClosed(s *session) {
	if !s.opened || a.sessions[s.entry.ref.ID] != s {
		return
	}
	delete(a.sessions, s.entry.ref.ID)
	a.manager.SessionClosed(s.entry.ref.ID)
	a.lab.clock.after(redialMin/2+a.lab.jitter(redialMin), func() { a.dial(s.entry, redialMin) })
}

// flush carries out the manager's actions.
func (a *agent) flush() {
	out := a.manager.Take()
	for _, call := range out.Starts {
		a.call(func() cclease.Response { return a.worker.start(call) }, func(r cclease.Response) { a.manager.StartCompleted(a.lab.clock.now, call, r) })
	}
	for _, call := range out.Stops {
		a.call(func() cclease.Response { return a.worker.stop(call) }, func(r cclease.Response) { a.manager.StopCompleted(a.lab.clock.now, call, r) })
	}
	for _, call := range out.Polls {
		a.lab.clock.after(netDelay/2, func() {
			a.worker.poll(call, func(r cclease.PollResponse) {
				a.lab.clock.after(netDelay/2, func() {
					a.manager.PollCompleted(a.lab.clock.now, call, r)
					a.flush()
				})
			})
		})
	}
	for _, report := range out.Reports {
		if s := a.sessions[report.To]; s != nil && !s.closed {
			a.lab.countMessage(report.Report, a.domain != s.entry.domain)
			s.entry.receive(costMessage, func() { s.entry.report(s, report.Report) })
		}
	}
	for _, id := range out.CloseSessions {
		if s := a.sessions[id]; s != nil {
			s.closed = true
			a.sessionClosed(s)
			s.entry.receive(costMessage, func() { s.entry.sessionClosed(s) })
		}
	}
}

// call makes a call to the worker, which is on the same host.
func (a *agent) call(do func() cclease.Response, done func(cclease.Response)) {
	a.lab.clock.after(netDelay/2, func() {
		response := do()
		a.lab.clock.after(netDelay/2, func() {
			done(response)
			a.flush()
		})
	})
}

// entryAddr returns the address of an entry by its number.
func entryAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7720)
}
