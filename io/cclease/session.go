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
	// attachTimeout bounds the request that opens a session.
	attachTimeout = 500 * time.Millisecond
	// redialMin and redialMax bound the pause before an entry is dialed again; it
	// doubles from one to the other.
	redialMin = 20 * time.Millisecond
	redialMax = 400 * time.Millisecond
	// forgetAfter is how long an entry that was only named by others is dialed
	// without success.
	forgetAfter = time.Minute
	// searchInterval is how often the store is asked while no entry is attached.
	searchInterval = time.Second
)

// session is an open connection to an entry.
type session struct {
	agent *Agent
	entry ccnode.ID // Empty until the entry has answered.
	conn  *ccsession.Conn
	// who and attached take the entry's two replies.
	who      chan ccwire.IdentifyReply
	attached chan ccwire.AttachReply
	// opened is closed once the table knows the session. Orders wait for that.
	opened chan struct{}
	// closed is closed when the connection has ended.
	closed chan struct{}
}

// Received takes the entry's message.
func (s *session) Received(conn *ccsession.Conn, message ccwire.MessageKind, body []byte) {
	var err error
	switch message {
	case ccwire.MessageIdentifyReply:
		err = take(body, s.who)
	case ccwire.MessageAttachReply:
		err = take(body, s.attached)
	case ccwire.MessageOrders:
		var orders ccwire.Orders
		if err = ccsession.Decode(body, &orders); err == nil {
			s.ordered(orders)
		}
	case ccwire.MessageIdentify, ccwire.MessageAttach, ccwire.MessageReport:
		// An entry sends none of these.
		conn.Close()
	}
	if err != nil {
		s.agent.cfg.Log.Error(err, "Message can't be read.", "entry", s.entry, "message", int(message))
		conn.Close()
	}
}

// take hands a reply to the one who waits for it. Only the first counts.
func take[T any](body []byte, to chan<- T) error {
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

func (s *session) ordered(orders ccwire.Orders) {
	select {
	case <-s.opened:
	case <-s.closed:
		return
	case <-s.agent.ctx.Done():
		return
	}
	s.agent.do(func(now time.Time) {
		if s.agent.sessions[s.entry] == s {
			s.agent.table.OrdersReceived(now, s.entry, orders)
			s.agent.dialAll(orders.Entries)
		}
	})
}

// Closed ends the session.
func (s *session) Closed(*ccsession.Conn) { close(s.closed) }

// reply waits for one of the entry's replies.
func reply[T any](ctx context.Context, s *session, from <-chan T) (T, bool) {
	var none T
	select {
	case got := <-from:
		return got, true
	case <-s.closed:
		return none, false
	case <-ctx.Done():
		return none, false
	}
}

// dialAll keeps a session with each of the entries.
func (a *Agent) dialAll(entries []netip.AddrPort) {
	for _, addr := range entries {
		if !a.dialing[addr] {
			a.dialing[addr] = true
			a.spawn(func() { a.keep(addr) })
		}
	}
}

// keep opens a session with the entry at addr again and again.
func (a *Agent) keep(addr netip.AddrPort) {
	pause := redialMin
	reached := time.Now()
	for a.ctx.Err() == nil {
		if a.run(addr) {
			pause = redialMin
			reached = time.Now()
		} else if time.Since(reached) > forgetAfter && !a.isSeed(addr) {
			a.do(func(time.Time) { delete(a.dialing, addr) })
			return
		}
		select {
		case <-time.After(pause):
		case <-a.ctx.Done():
		}
		pause = min(2*pause, redialMax)
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

// run keeps one session until it ends. It reports whether it was opened.
func (a *Agent) run(addr netip.AddrPort) bool {
	s := &session{
		agent: a, who: make(chan ccwire.IdentifyReply, 1), attached: make(chan ccwire.AttachReply, 1),
		opened: make(chan struct{}), closed: make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(a.ctx, attachTimeout)
	defer cancel()
	conn, err := ccsession.Dial(ctx, addr, s)
	if err != nil {
		a.cfg.Log.V(1).Info("Entry is not reached.", "address", addr, "error", err.Error())
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
			a.table.SessionClosed(s.entry)
		}
	})
	return true
}

// attach opens the session: the entry says who it is, and hears which of its
// runs are alive.
func (a *Agent) attach(ctx context.Context, s *session, addr netip.AddrPort) bool {
	s.conn.Send(ccwire.MessageIdentify, struct{}{})
	who, ok := reply(ctx, s, s.who)
	if !ok {
		a.cfg.Log.V(1).Info("Entry does not answer.", "address", addr)
		return false
	}
	opened := make(chan ccwire.Attach, 1)
	var asked time.Time
	a.do(func(now time.Time) {
		if old := a.sessions[who.Node.ID]; old != nil {
			old.conn.Close()
			delete(a.sessions, who.Node.ID)
			a.table.SessionClosed(who.Node.ID)
		}
		asked = now
		s.entry = who.Node.ID
		opened <- a.table.AttachRequest(now, a.cfg.Node, who.Node.ID)
	})
	var attach ccwire.Attach
	select {
	case attach = <-opened:
	case <-a.ctx.Done():
		return false
	}
	s.conn.Send(ccwire.MessageAttach, attach)
	attached, ok := reply(ctx, s, s.attached)
	if !ok {
		a.cfg.Log.V(1).Info("Entry does not attach.", "entry", who.Node.ID)
		return false
	}
	a.do(func(now time.Time) {
		a.sessions[s.entry] = s
		a.table.SessionOpened(now, attached.Node, asked)
		close(s.opened)
	})
	select {
	case <-s.opened:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// search asks the store for entries while none is attached.
func (a *Agent) search() {
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-a.ctx.Done():
			return
		}
		lone := make(chan bool, 1)
		a.do(func(time.Time) { lone <- len(a.sessions) == 0 })
		select {
		case alone := <-lone:
			if !alone {
				continue
			}
		case <-a.ctx.Done():
			return
		}
		entries, err := a.cfg.Directory.Entries(a.ctx)
		if err != nil {
			a.cfg.Log.Info("Store names no entries.", "error", err.Error())
			continue
		}
		a.do(func(time.Time) { a.dialAll(entries) })
	}
}
