package cclease

import (
	"context"
	"net/netip"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// attachTimeout bounds connecting to an entry and the handshake with it.
const attachTimeout = 500 * time.Millisecond

// session is a connection to an entry.
type session struct {
	agent *Agent
	addr  netip.AddrPort
	entry ccnode.ID // Empty until the entry has identified itself.
	conn  *ccsession.Conn
	// identified and attached receive the entry's replies during the handshake.
	identified chan ccwire.IdentifyReply
	attached   chan ccwire.AttachReply
	// opened is closed once the manager has registered the session. Orders that arrive
	// earlier wait for it.
	opened chan struct{}
	// closed is closed when the connection has ended and its reader has returned.
	closed chan struct{}
	// ended is closed when the agent is done with the session, which it may not have opened.
	ended chan struct{}
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
			orders.FillPayloads()
			s.handleOrders(orders)
		}
	case ccwire.MessageIdentify, ccwire.MessageAttach, ccwire.MessageReport:
		// Only agents send these messages.
		conn.Close()
	case ccwire.MessagePeerHello, ccwire.MessageDigest, ccwire.MessageForward, ccwire.MessageForwardReply, ccwire.MessageForwardAnswer, ccwire.MessageForwardCancel:
		// Entries send these only to each other.
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
	case <-s.ended:
		return
	}
	s.agent.do(func(now time.Time) {
		if s.agent.sessions[s.entry] == s {
			s.agent.manager.OrdersReceived(now, s.entry, orders)
			s.agent.updateEntries(now, orders)
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

// runSession opens a session and waits until it closes or ctx is done. It reports
// whether the session was opened.
func (a *Agent) runSession(ctx context.Context, addr netip.AddrPort) bool {
	s := &session{
		agent: a, addr: addr, identified: make(chan ccwire.IdentifyReply, 1), attached: make(chan ccwire.AttachReply, 1),
		opened: make(chan struct{}), closed: make(chan struct{}), ended: make(chan struct{}),
	}
	defer close(s.ended)
	attachCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	conn, err := ccsession.Dial(attachCtx, addr, s)
	if err != nil {
		a.cfg.Log.V(1).Info("Cannot connect to entry.", "address", addr, "error", err.Error())
		return false
	}
	s.conn = conn
	defer conn.Close()
	if !a.attach(attachCtx, s, addr) {
		return false
	}
	select {
	case <-s.closed:
	case <-ctx.Done():
	}
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
	a.do(func(now time.Time) {
		attach, ok := a.manager.AttachRequest(now, a.cfg.Node, identity.Node, identity.Session)
		if !ok {
			close(request)
			return
		}
		if previous := a.sessions[identity.Node.ID]; previous != nil {
			previous.conn.Close()
			delete(a.sessions, identity.Node.ID)
		}
		s.entry = identity.Node.ID
		attach.EntriesDigest = a.subset.Digest()
		request <- attach
	})
	var attach ccwire.Attach
	select {
	case attach, ok = <-request:
		if !ok {
			a.cfg.Log.V(1).Info("A later session was requested.", "entry", identity.Node.ID)
			return false
		}
	case <-a.ctx.Done():
		return false
	}
	s.conn.Send(ccwire.MessageAttach, attach)
	attached, ok := awaitReply(ctx, s, s.attached)
	if !ok {
		a.cfg.Log.V(1).Info("Entry did not answer the attach request.", "entry", identity.Node.ID)
		return false
	}
	opened := make(chan bool, 1)
	a.do(func(now time.Time) {
		a.manager.RaiseTokenAbove(attached.PriorToken)
		ok := a.manager.SessionOpened(now, attached.Node, attached.Session)
		if ok {
			a.sessions[s.entry] = s
			a.subset.Reached(addr)
			close(s.opened)
		}
		opened <- ok
	})
	select {
	case ok := <-opened:
		return ok
	case <-a.ctx.Done():
		return false
	}
}
