package cclease

import (
	"context"
	"net/netip"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

const (
	// attachTimeout bounds connecting to an entry and the handshake with it.
	attachTimeout = 500 * time.Millisecond
	// redialMin and redialMax bound the exponential backoff between connection
	// attempts to an entry.
	redialMin = 20 * time.Millisecond
	redialMax = 400 * time.Millisecond
	// forgetAfter is how long the agent keeps dialing an unreachable entry that is not
	// one of Config.Seeds.
	forgetAfter = time.Minute
	// searchInterval is how often the store is queried while no session is open.
	searchInterval = time.Second
)

// session is a connection to an entry.
type session struct {
	agent *Agent
	entry ccnode.ID // Empty until the entry has identified itself.
	conn  *ccsession.Conn
	// identified and attached receive the entry's replies during the handshake.
	identified chan ccwire.IdentifyReply
	attached   chan ccwire.AttachReply
	// opened is closed once the manager has registered the session. Orders that arrive
	// earlier wait for it.
	opened chan struct{}
	// closed is closed when the connection has ended.
	closed chan struct{}
}

// Received processes a message from the entry.
func (s *session) Received(conn *ccsession.Conn, message ccwire.MessageKind, body []byte) {
	var err error
	switch message {
	case ccwire.MessageIdentifyReply:
		err = deliverReply(body, s.identified)
	case ccwire.MessageAttachReply:
		err = deliverReply(body, s.attached)
	case ccwire.MessageOrders:
		var orders ccwire.Orders
		if err = ccsession.Decode(body, &orders); err == nil {
			s.handleOrders(orders)
		}
	case ccwire.MessageIdentify, ccwire.MessageAttach, ccwire.MessageReport:
		// Only agents send these messages.
		conn.Close()
	}
	if err != nil {
		s.agent.cfg.Log.Error(err, "Message cannot be decoded.", "entry", s.entry, "message", int(message))
		conn.Close()
	}
}

// deliverReply decodes a reply and sends it to the channel. Replies after the first
// are dropped.
func deliverReply[T any](body []byte, to chan<- T) error {
	var reply T
	if err := ccsession.Decode(body, &reply); err != nil {
		return err
	}
	select {
	case to <- reply:
	default:
	}
	return nil
}

// handleOrders passes orders to the manager once the session is open. Orders from a
// session that has been replaced are dropped.
func (s *session) handleOrders(orders ccwire.Orders) {
	select {
	case <-s.opened:
	case <-s.closed:
		return
	case <-s.agent.ctx.Done():
		return
	}
	s.agent.do(func(now time.Time) {
		if s.agent.sessions[s.entry] == s {
			s.agent.manager.OrdersReceived(now, s.entry, orders)
			s.agent.dialAll(orders.Entries)
		}
	})
}

// Closed marks the session as closed.
func (s *session) Closed(*ccsession.Conn) { close(s.closed) }

// awaitReply waits for a reply from the entry. It reports false if the session closes
// or ctx ends first.
func awaitReply[T any](ctx context.Context, s *session, from <-chan T) (T, bool) {
	var zero T
	select {
	case reply := <-from:
		return reply, true
	case <-s.closed:
		return zero, false
	case <-ctx.Done():
		return zero, false
	}
}

// dialAll starts to maintain a session with each entry that has none yet.
func (a *Agent) dialAll(entries []netip.AddrPort) {
	for _, addr := range entries {
		if !a.dialing[addr] {
			a.dialing[addr] = true
			a.spawn(func() { a.maintainSession(addr) })
		}
	}
}

// maintainSession keeps a session with the entry at addr open and reconnects with
// backoff. It gives up on an entry that is not a seed after forgetAfter.
func (a *Agent) maintainSession(addr netip.AddrPort) {
	backoff := redialMin
	lastReached := time.Now()
	for a.ctx.Err() == nil {
		if a.runSession(addr) {
			backoff = redialMin
			lastReached = time.Now()
		} else if time.Since(lastReached) > forgetAfter && !a.isSeed(addr) {
			a.do(func(time.Time) { delete(a.dialing, addr) })
			return
		}
		select {
		case <-time.After(backoff):
		case <-a.ctx.Done():
		}
		backoff = min(2*backoff, redialMax)
	}
}

func (a *Agent) isSeed(addr netip.AddrPort) bool {
	for _, seed := range a.cfg.Seeds {
		if seed == addr {
			return true
		}
	}
	return false
}

// runSession opens a session and waits until it closes. It reports whether the
// session was opened.
func (a *Agent) runSession(addr netip.AddrPort) bool {
	s := &session{
		agent: a, identified: make(chan ccwire.IdentifyReply, 1), attached: make(chan ccwire.AttachReply, 1),
		opened: make(chan struct{}), closed: make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(a.ctx, attachTimeout)
	defer cancel()
	conn, err := ccsession.Dial(ctx, addr, s)
	if err != nil {
		a.cfg.Log.V(1).Info("Cannot connect to entry.", "address", addr, "error", err.Error())
		return false
	}
	s.conn = conn
	defer conn.Close()
	if !a.attach(ctx, s, addr) {
		return false
	}
	<-s.closed
	a.do(func(time.Time) {
		if a.sessions[s.entry] == s {
			delete(a.sessions, s.entry)
			a.manager.SessionClosed(s.entry)
		}
	})
	return true
}

// attach performs the handshake: the entry identifies itself, and the agent reports
// which of that entry's runs are active.
func (a *Agent) attach(ctx context.Context, s *session, addr netip.AddrPort) bool {
	s.conn.Send(ccwire.MessageIdentify, struct{}{})
	identity, ok := awaitReply(ctx, s, s.identified)
	if !ok {
		a.cfg.Log.V(1).Info("Entry did not answer the identify request.", "address", addr)
		return false
	}
	request := make(chan ccwire.Attach, 1)
	var sentAt time.Time
	a.do(func(now time.Time) {
		if previous := a.sessions[identity.Node.ID]; previous != nil {
			previous.conn.Close()
			delete(a.sessions, identity.Node.ID)
			a.manager.SessionClosed(identity.Node.ID)
		}
		sentAt = now
		s.entry = identity.Node.ID
		request <- a.manager.AttachRequest(now, a.cfg.Node, identity.Node.ID)
	})
	var attach ccwire.Attach
	select {
	case attach = <-request:
	case <-a.ctx.Done():
		return false
	}
	s.conn.Send(ccwire.MessageAttach, attach)
	attached, ok := awaitReply(ctx, s, s.attached)
	if !ok {
		a.cfg.Log.V(1).Info("Entry did not answer the attach request.", "entry", identity.Node.ID)
		return false
	}
	a.do(func(now time.Time) {
		a.sessions[s.entry] = s
		a.manager.SessionOpened(now, attached.Node, sentAt)
		close(s.opened)
	})
	select {
	case <-s.opened:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// searchDirectory looks up entries in the store while no session is open.
func (a *Agent) searchDirectory() {
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-a.ctx.Done():
			return
		}
		noSessions := make(chan bool, 1)
		a.do(func(time.Time) { noSessions <- len(a.sessions) == 0 })
		select {
		case none := <-noSessions:
			if !none {
				continue
			}
		case <-a.ctx.Done():
			return
		}
		entries, err := a.cfg.Directory.Entries(a.ctx)
		if err != nil {
			a.cfg.Log.Info("Cannot list entries in the store.", "error", err.Error())
			continue
		}
		a.do(func(time.Time) { a.dialAll(entries) })
	}
}
