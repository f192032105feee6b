package ccreplay

import (
	"sync"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// session is an agent's connection, once it has attached.
type session struct {
	agent ccnode.ID
	conn  *ccsession.Conn
}

// acceptor takes the messages of all agents' connections.
type acceptor struct {
	entry *Entry
	mu    sync.Mutex // Guards known.
	known map[*ccsession.Conn]*session
}

func (a *acceptor) session(conn *ccsession.Conn) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[conn]
}

// Received takes an agent's message.
func (a *acceptor) Received(conn *ccsession.Conn, message ccwire.MessageKind, body []byte) {
	var err error
	switch message {
	case ccwire.MessageIdentify:
		conn.Send(ccwire.MessageIdentifyReply, ccwire.IdentifyReply{Node: a.entry.cfg.Node})
	case ccwire.MessageAttach:
		var attach ccwire.Attach
		if err = ccsession.Decode(body, &attach); err == nil {
			a.attach(conn, attach)
		}
	case ccwire.MessageReport:
		var report ccwire.RunReport
		if err = ccsession.Decode(body, &report); err == nil {
			a.report(conn, report)
		}
	case ccwire.MessageIdentifyReply, ccwire.MessageAttachReply, ccwire.MessageOrders:
		// An agent sends none of these.
		conn.Close()
	}
	if err != nil {
		a.entry.cfg.Log.Error(err, "Message can't be read.", "message", int(message))
		conn.Close()
	}
}

func (a *acceptor) report(conn *ccsession.Conn, report ccwire.RunReport) {
	s := a.session(conn)
	if s == nil {
		return
	}
	a.entry.do(func(now time.Time) {
		if a.entry.sessions[s.agent] == s {
			a.entry.scheduler.Report(now, s.agent, report)
		}
	})
}

func (a *acceptor) attach(conn *ccsession.Conn, attach ccwire.Attach) {
	e := a.entry
	s := &session{agent: attach.Node.ID, conn: conn}
	a.mu.Lock()
	if a.known == nil {
		a.known = map[*ccsession.Conn]*session{}
	}
	a.known[conn] = s
	a.mu.Unlock()
	e.do(func(now time.Time) {
		if old := e.sessions[s.agent]; old != nil {
			old.conn.Close()
		}
		e.sessions[s.agent] = s
		conn.Send(ccwire.MessageAttachReply, ccwire.AttachReply{Node: e.cfg.Node})
		e.scheduler.Attach(now, attach)
	})
}

// Closed ends an agent's session.
func (a *acceptor) Closed(conn *ccsession.Conn) {
	a.mu.Lock()
	s := a.known[conn]
	delete(a.known, conn)
	a.mu.Unlock()
	if s == nil {
		return
	}
	a.entry.do(func(now time.Time) {
		if a.entry.sessions[s.agent] == s {
			delete(a.entry.sessions, s.agent)
			a.entry.scheduler.Detach(now, s.agent)
		}
	})
}
