package ccproof

import (
	"time"

	"camphorcroft/core/cclease"
)

const (
	// These are the constants of io/ccsession and io/cclease.
	dialTimeout  = 150 * time.Millisecond
	redialMin    = 20 * time.Millisecond
	redialMax    = 400 * time.Millisecond
	retireDelay  = 500 * time.Millisecond
	syncInterval = 100 * time.Millisecond
	dialSpread   = 200 * time.Millisecond
)

// dialer keeps a session of an agent with an entry open, as maintainSession of io/cclease
// does.
type dialer struct {
	net       *searchNetwork
	agent     *replayAgent
	manager   *cclease.Manager // That of the agent's life.
	entry     *replayEntry
	backoff   time.Duration
	current   *connection // Nil while none is open.
	retiredAt time.Time   // When the end of the session was announced. Zero is not.
	surplus   bool        // The session is not wanted.
	canceled  bool
}

// connect begins to keep a session open.
func (n *searchNetwork) connect(a *replayAgent, e *replayEntry, delay time.Duration) {
	d := &dialer{net: n, agent: a, manager: a.manager, entry: e, backoff: redialMin}
	n.links[a][e.ref.ID] = d
	d.after(delay, d.dial)
}

// after runs an event of the agent's current life, once its process doesn't stand still.
func (d *dialer) after(delay time.Duration, run func()) {
	d.net.schedule(delay, func() {
		d.agent.deliver(func() {
			if d.agent.manager == d.manager {
				run()
			}
		})
	})
}

func (d *dialer) opened() { d.backoff = redialMin }

func (d *dialer) dialAgain() {
	d.current = nil
	if d.canceled {
		return
	}
	delay := d.backoff/2 + time.Duration(d.net.rng.Int64N(int64(d.backoff)))
	d.backoff = min(2*d.backoff, redialMax)
	d.after(delay, d.dial)
}

func (d *dialer) dial() {
	n := d.net
	switch {
	case d.canceled:
		return
	case n.now.Before(d.agent.links[d.entry.ref.ID].cutUntil):
		d.after(dialTimeout, d.dialAgain)
		return
	case n.now.Before(d.entry.downUntil):
		d.after(n.networkDelay(), d.dialAgain)
		return
	}
	c := &connection{dialer: d, entry: d.entry}
	c.toEntry = &lane{net: n, process: func() *process { return d.entry.process }, frozenUntil: func() time.Time { return d.entry.frozenUntil }}
	c.toAgent = &lane{net: n, process: func() *process { return d.agent.process }, frozenUntil: func() time.Time { return d.agent.frozenUntil }}
	d.current = c
	n.connections = append(n.connections, c)
	c.toEntry.send(n.cfg.holds.identify, func() { n.identify(c) })
	d.after(n.cfg.handshakeTimeout, func() {
		if c.phase == phaseIdentify || c.phase == phaseAttach {
			n.logf("%s: gives up the handshake with %s", d.agent.ref, d.entry.ref)
			n.agentLearnsClosed(c)
		}
	})
}

// turnAway closes the session of an agent with an entry in steps, as closeSurplus of
// io/cclease does. The agent wants it again after span.
func (n *searchNetwork) turnAway(a *replayAgent, e *replayEntry, span time.Duration) {
	d := n.links[a][e.ref.ID]
	if d == nil || d.surplus {
		return
	}
	d.surplus = true
	d.closeSurplus()
	d.after(span, func() {
		d.surplus = false
		switch {
		case d.canceled:
			n.connect(a, e, n.between(0, dialSpread))
		case !d.retiredAt.IsZero():
			d.retiredAt = time.Time{}
			d.manager.Restore(n.now, e.ref.ID)
		}
	})
}

func (d *dialer) closeSurplus() {
	open := d.current != nil && d.current.phase == phaseOpen
	switch {
	case !d.surplus || d.canceled || d.agent.manager != d.manager:
		return
	case open && d.retiredAt.IsZero():
		d.retiredAt = d.net.now
		d.manager.Retire(d.net.now, d.entry.ref.ID)
		d.agent.flush()
		d.after(retireDelay, d.closeSurplus)
		return
	case open && d.manager.RunsOf(d.entry.ref.ID) > 0:
		d.after(syncInterval, d.closeSurplus)
		return
	}
	d.net.logf("%s: turns away from %s", d.agent.ref, d.entry.ref)
	d.canceled = true
	if d.current != nil {
		d.net.agentLearnsClosed(d.current)
	}
}
