package ccproof

import (
	"slices"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccwire"
)

// searchNetwork carries sessions as io/cclease and io/ccreplay do: with a handshake of
// messages, each on a connection of its own.
type searchNetwork struct {
	*replayWorld
	cfg         searchConfig
	connections []*connection
	// agentSessions and entrySessions are the sessions maps of io/cclease and io/ccreplay.
	agentSessions map[*replayAgent]map[ccnode.ID]*connection
	entrySessions map[*replayEntry]map[ccnode.ID]*connection
	// lastRequest is when the newest request for a session was sent, by the life of the
	// entry that it has reached.
	lastRequest map[*replayEntry]map[ccnode.ID]time.Time
	// links are those of io/cclease.
	links        map[*replayAgent]map[ccnode.ID]*dialer
	orderNumbers orderNumbers
}

// orderNumbers has the attempts in orders replaced by numbers that no two orders share, and
// those in reports by the attempts again. It is disabled if it is nil.
type orderNumbers map[int]*numberedOrder

type numberedOrder struct {
	scheduler *ccreplay.Scheduler
	task      ccwire.TaskRef
	attempt   int
	replaced  bool // A later order of the scheduler has the same task.
}

// replace numbers the starts of a scheduler.
func (o orderNumbers) replace(e *replayEntry, starts []ccwire.StartOrder) {
	if o == nil {
		return
	}
	for i := range starts {
		for _, other := range o {
			if other.scheduler == e.scheduler && other.task == starts[i].Task {
				other.replaced = true
			}
		}
		number := len(o) + 1
		o[number] = &numberedOrder{scheduler: e.scheduler, task: starts[i].Task, attempt: starts[i].Attempt}
		starts[i].Attempt = number
	}
}

// restore removes the results of orders that were replaced or are of another life of the
// entry, and restores the attempts of the others.
func (o orderNumbers) restore(e *replayEntry, report *ccwire.RunReport) {
	if o == nil {
		return
	}
	var kept []ccwire.RunResult
	for _, result := range report.Results {
		if order := o[result.Attempt]; order.scheduler == e.scheduler && !order.replaced {
			result.Attempt = order.attempt
			kept = append(kept, result)
		}
	}
	report.Results = kept
}

// The sessions of io/ccreplay/session.go.

// identify handles a request to identify.
func (n *searchNetwork) identify(c *connection) {
	reply := ccwire.IdentifyReply{Node: c.entry.ref}
	c.toAgent.send(n.cfg.holds.identifyReply, func() { n.identified(c, reply) })
}

// attach registers a session and closes the one before.
func (n *searchNetwork) attach(c *connection, sent time.Time, attach ccwire.Attach) {
	e, id := c.entry, attach.Node.ID
	if n.cfg.assumed.sessionOrder && sent.Before(n.lastRequest[e][id]) {
		n.closeByEntry(c)
		return
	}
	n.lastRequest[e][id] = sent
	c.session = id
	if previous := n.entrySessions[e][id]; previous != nil {
		n.closeByEntry(previous)
	}
	n.entrySessions[e][id] = c
	reply := ccwire.AttachReply{Node: e.ref}
	c.toAgent.send(n.cfg.holds.attachReply, func() { n.attached(c, reply) })
	n.logf("%s: request for a session of %s with %d runs, clock %d ms", e.ref, attach.Node, len(attach.Runs), attach.Report.ClockMS)
	n.orderNumbers.restore(e, &attach.Report)
	e.scheduler.Attach(n.now, attach)
	e.flush()
}

// report passes on a report of the current session.
func (n *searchNetwork) report(c *connection, report ccwire.RunReport) {
	if c.session != "" && (n.entrySessions[c.entry][c.session] == c || n.cfg.off.entryReports) {
		n.orderNumbers.restore(c.entry, &report)
		c.entry.scheduler.Report(n.now, c.session, report)
		c.entry.flush()
	}
}

// entryLearnsClosed ends the session on a connection that has closed.
func (n *searchNetwork) entryLearnsClosed(c *connection) {
	n.closeByEntry(c)
	if c.session != "" && (n.entrySessions[c.entry][c.session] == c || n.cfg.off.entryClose) {
		delete(n.entrySessions[c.entry], c.session)
		c.entry.scheduler.Detach(n.now, c.session)
		c.entry.flush()
	}
}

func (n *searchNetwork) sendOrders(e *replayEntry, m ccreplay.Message) {
	n.orderNumbers.replace(e, m.Orders.Starts)
	if c := n.entrySessions[e][m.To]; c != nil {
		sent := n.now
		c.toAgent.send(n.cfg.holds.orders, func() { n.orders(c, sent, m.Orders) })
	}
}

func (n *searchNetwork) closeFromEntry(e *replayEntry, agent ccnode.ID) {
	if c := n.entrySessions[e][agent]; c != nil {
		delete(n.entrySessions[e], agent)
		n.closeByEntry(c)
	}
}

// closeByEntry closes the entry's end of a connection, of which its session learns a little
// later. What has been read before is still handled.
func (n *searchNetwork) closeByEntry(c *connection) {
	if c.closedByEntry {
		return
	}
	c.closedByEntry = true
	c.toAgent.end(func() { n.agentLearnsClosed(c) })
	scheduler := c.entry.scheduler
	n.schedule(n.networkDelay(), func() {
		c.toEntry.closed = true
		c.entry.deliver(func() {
			if c.entry.scheduler == scheduler {
				n.entryLearnsClosed(c)
			}
		})
	})
}

func (n *searchNetwork) entryKilled(e *replayEntry) {
	for _, c := range n.connections {
		if c.entry == e {
			c.toEntry.closed = true
			c.toAgent.end(func() { n.agentLearnsClosed(c) })
		}
	}
	n.entrySessions[e] = map[ccnode.ID]*connection{}
	n.lastRequest[e] = map[ccnode.ID]time.Time{}
}

// The sessions of io/cclease/session.go.

// identified sends the request for a session.
func (n *searchNetwork) identified(c *connection, reply ccwire.IdentifyReply) {
	if c.phase != phaseIdentify {
		return
	}
	a, id := c.dialer.agent, reply.Node.ID
	if previous := n.agentSessions[a][id]; previous != nil {
		n.closeByAgent(previous)
		delete(n.agentSessions[a], id)
		a.manager.SessionClosed(id)
	}
	sent := n.now
	c.phase, c.sentAt = phaseAttach, sent
	attach := a.manager.AttachRequest(n.now, a.ref, id)
	n.logf("%s: requests a session with %s", a.ref, reply.Node)
	c.toEntry.send(n.cfg.holds.attach, func() { n.attach(c, sent, attach) })
	a.flush()
}

// attached opens the session.
func (n *searchNetwork) attached(c *connection, reply ccwire.AttachReply) {
	if c.phase != phaseAttach {
		return
	}
	a := c.dialer.agent
	c.phase = phaseOpen
	c.dialer.opened()
	n.agentSessions[a][reply.Node.ID] = c
	a.manager.SessionOpened(n.now, reply.Node, c.sentAt)
	a.flush()
}

// orders passes on orders of the current session.
func (n *searchNetwork) orders(c *connection, sent time.Time, orders ccwire.Orders) {
	a, id := c.dialer.agent, c.entry.ref.ID
	if n.agentSessions[a][id] == c || n.cfg.off.agentOrders {
		for _, start := range orders.Starts {
			a.orders[start.Task] = orderOrigin{entry: id, sent: sent}
		}
		a.manager.OrdersReceived(n.now, id, orders)
		a.flush()
	}
}

// agentLearnsClosed ends the session on a connection that has closed.
func (n *searchNetwork) agentLearnsClosed(c *connection) {
	n.closeByAgent(c)
	if c.phase == phaseClosed {
		return
	}
	wasOpen := c.phase == phaseOpen
	c.phase = phaseClosed
	a, id := c.dialer.agent, c.entry.ref.ID
	if wasOpen && (n.agentSessions[a][id] == c || n.cfg.off.agentClose) {
		delete(n.agentSessions[a], id)
		a.manager.SessionClosed(id)
		a.flush()
	}
	c.dialer.dialAgain()
}

func (n *searchNetwork) sendReport(a *replayAgent, r cclease.Report) {
	if c := n.agentSessions[a][r.To]; c != nil {
		c.toEntry.send(n.cfg.holds.report, func() { n.report(c, r.Report) })
	}
}

func (n *searchNetwork) closeFromAgent(a *replayAgent, entry ccnode.ID) {
	if c := n.agentSessions[a][entry]; c != nil {
		n.closeByAgent(c)
	}
}

// closeByAgent closes the agent's end of a connection, of which its session learns a little
// later. What has been read before is still handled.
func (n *searchNetwork) closeByAgent(c *connection) {
	if c.closedByAgent {
		return
	}
	c.closedByAgent = true
	c.toEntry.end(func() { n.entryLearnsClosed(c) })
	n.schedule(n.networkDelay(), func() {
		c.toAgent.closed = true
		c.dialer.agent.deliver(func() {
			if c.dialer.agent.manager == c.dialer.manager {
				n.agentLearnsClosed(c)
			}
		})
	})
}

func (n *searchNetwork) agentKilled(a *replayAgent) {
	for _, c := range n.connections {
		if c.dialer.agent == a {
			c.toAgent.closed, c.phase = true, phaseClosed
			c.toEntry.end(func() { n.entryLearnsClosed(c) })
		}
	}
	n.agentSessions[a] = map[ccnode.ID]*connection{}
	n.links[a] = map[ccnode.ID]*dialer{}
}

// The faults of connections.

// resetSession resets the connection of a session. Each side learns of it separately.
func (n *searchNetwork) resetSession(a *replayAgent, e *replayEntry) {
	c := n.agentSessions[a][e.ref.ID]
	if c == nil || c.reset {
		return
	}
	c.reset = true
	lose := func(l *lane, closed func()) {
		if n.rng.IntN(2) == 0 {
			l.hold(n.now.Add(n.between(0, n.cfg.minSpan)))
		}
		l.end(closed)
	}
	lose(c.toEntry, func() { n.entryLearnsClosed(c) })
	lose(c.toAgent, func() { n.agentLearnsClosed(c) })
}

// cut cuts an agent off from an entry. What is under way on a connection arrives after the
// cut, and up to as long again later: the sender waits longer before each repetition.
func (n *searchNetwork) cut(a *replayAgent, e *replayEntry, span time.Duration) {
	a.links[e.ref.ID].cutUntil = n.now.Add(span)
	n.connections = slices.DeleteFunc(n.connections, func(c *connection) bool { return c.toAgent.closed && c.toEntry.closed })
	for _, c := range n.connections {
		if c.dialer.agent != a || c.entry != e {
			continue
		}
		for _, l := range []*lane{c.toEntry, c.toAgent} {
			l.hold(n.now.Add(span + n.between(0, max(span, time.Millisecond))))
		}
	}
}
