package ccreplay

import (
	"sync"
	"time"

	"camphorcroft/core/ccforward"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// session is the connection of an agent that has identified this entry.
type session struct {
	number uint64
	agent  ccnode.ID // Empty until the agent has requested the session.
	conn   *ccsession.Conn
}

// connHandler handles the messages of all connections from agents.
type connHandler struct {
	entry *Entry
	// attaching makes requests for sessions be decoded one at a time. Their senders are
	// unknown, and a decoded list may take far more memory than its message.
	attaching sync.Mutex
	mu        sync.Mutex // Guards sessions and peers.
	sessions  map[*ccsession.Conn]*session
	peers     map[*ccsession.Conn]ccforward.LinkID // Links that other entries have dialed.
}

// identify issues a session number for a connection.
func (h *connHandler) identify(conn *ccsession.Conn) {
	s := &session{number: h.entry.lastSession.Add(1), conn: conn}
	h.mu.Lock()
	if h.sessions == nil {
		h.sessions = map[*ccsession.Conn]*session{}
	}
	if h.sessions[conn] == nil {
		h.sessions[conn] = s
	}
	s = h.sessions[conn]
	h.mu.Unlock()
	conn.Send(ccwire.MessageIdentifyReply, ccwire.IdentifyReply{Node: h.entry.cfg.Node, Session: s.number})
}

// session returns the session on a connection, or nil before the agent has identified this
// entry.
func (h *connHandler) session(conn *ccsession.Conn) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sessions[conn]
}

// Received processes a message from an agent.
func (h *connHandler) Received(conn *ccsession.Conn, message ccwire.MessageKind, body []byte) {
	var err error
	switch message {
	case ccwire.MessageIdentify:
		h.identify(conn)
	case ccwire.MessageAttach:
		var attach ccwire.Attach
		h.attaching.Lock()
		err = ccsession.Decode(body, &attach)
		h.attaching.Unlock()
		if err == nil {
			h.handleAttach(conn, attach)
		}
	case ccwire.MessageReport:
		if s := h.session(conn); s == nil || s.agent == "" {
			return // The sender is unknown, so its report is not decoded.
		}
		var report ccwire.RunReport
		if err = ccsession.Decode(body, &report); err == nil {
			h.handleReport(conn, report)
		}
	case ccwire.MessageIdentifyReply, ccwire.MessageAttachReply, ccwire.MessageOrders:
		// Only entries send these messages.
		conn.Close()
	case ccwire.MessagePeerHello, ccwire.MessageDigest, ccwire.MessageForward, ccwire.MessageForwardReply, ccwire.MessageForwardAnswer, ccwire.MessageForwardCancel:
		h.receivedPeer(conn, message, body)
	}
	if err != nil {
		h.entry.cfg.Log.Error(err, "Message cannot be decoded.", "message", int(message))
		conn.Close()
	}
}

// handleReport passes a report to the scheduler. Reports from a session that has been
// replaced are dropped.
func (h *connHandler) handleReport(conn *ccsession.Conn, report ccwire.RunReport) {
	s := h.session(conn)
	if s == nil {
		return
	}
	if report.Plan != nil {
		h.entry.cfg.Log.Info("Plan received from an agent.", "agent", string(s.agent), "revision", report.Plan.Revision)
		h.entry.offerPlan(report.Plan)
	}
	h.entry.do(func(now time.Time) {
		if h.entry.sessions[s.agent] == s {
			h.entry.scheduler.Report(now, s.agent, report)
		}
	})
}

// handleAttach registers the agent's session, closes its previous one and replies. A
// request that the scheduler does not accept gets no reply: its connection is closed.
func (h *connHandler) handleAttach(conn *ccsession.Conn, attach ccwire.Attach) {
	e := h.entry
	s := h.session(conn)
	if s == nil || attach.Session != s.number || s.agent != "" {
		conn.Close()
		return
	}
	s.agent = attach.Node.ID
	e.do(func(now time.Time) {
		if !e.scheduler.Attach(now, attach) {
			conn.Close()
			return
		}
		if previous := e.sessions[s.agent]; previous != nil {
			previous.conn.Close()
		}
		e.sessions[s.agent] = s
		conn.Identified()
		conn.Send(ccwire.MessageAttachReply, ccwire.AttachReply{Node: e.cfg.Node, Session: s.number, PriorToken: e.scheduler.PriorToken(s.agent)})
	})
}

// Closed removes the session on a closed connection and detaches its agent.
func (h *connHandler) Closed(conn *ccsession.Conn) {
	h.closedPeer(conn)
	h.mu.Lock()
	s := h.sessions[conn]
	delete(h.sessions, conn)
	h.mu.Unlock()
	if s == nil {
		return
	}
	h.entry.do(func(now time.Time) {
		if h.entry.sessions[s.agent] == s {
			delete(h.entry.sessions, s.agent)
			h.entry.scheduler.Detach(now, s.agent)
		}
	})
}
