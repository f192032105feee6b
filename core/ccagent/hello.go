package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Hello opens a session. It ends the earlier session of the same entry. The
// error is an *Error of KindStaleSession or KindFull.
func (c *Controller) Hello(now time.Time, msg ccwire.Hello) (ccwire.HelloReply, error) {
	c.observe(now)
	known, ok := c.sessions[msg.Entry.ID]
	switch {
	case ok && !known.before(msg):
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindStaleSession}
	case !ok && !c.makeRoom():
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindFull}
	case !ok:
		known = &session{}
		c.sessions[msg.Entry.ID] = known
	}
	known.reset()
	known.entry, known.number, known.connected = msg.Entry, msg.Session, true
	c.noteVersion(known, msg.Version)
	return ccwire.HelloReply{
		Agent: c.cfg.Self, Domain: c.cfg.Domain, Service: c.cfg.Service, Slots: c.Slots(),
		MemorySince: c.cfg.StartedAt.UnixMilli(), Clock: c.Clock(now).Milliseconds(),
		Version: c.Version(), Leaving: c.leaving,
	}, nil
}

// SessionClosed tells that the connection of a session has ended. Results that
// were not reported stay in memory, where a revoke or a recover finds them.
func (c *Controller) SessionClosed(now time.Time, entry ccnode.Ref, number uint64) {
	c.observe(now)
	s, ok := c.sessions[entry.ID]
	if !ok || s.entry != entry || s.number != number {
		return
	}
	s.connected = false
	s.reset()
	c.fill(now, nil)
}

// before reports whether the hello is newer than the session.
func (s *session) before(msg ccwire.Hello) bool {
	if s.entry.Incarnation != msg.Entry.Incarnation {
		return s.entry.Incarnation < msg.Entry.Incarnation
	}
	return s.number < msg.Session
}

// makeRoom forgets an ended session if the table is at its bound.
func (c *Controller) makeRoom() bool {
	if len(c.sessions) < maxSessions {
		return true
	}
	for id, s := range c.sessions {
		if !s.connected {
			delete(c.sessions, id)
			return true
		}
	}
	return false
}

// noteVersion notes the settings version that an entry named.
func (c *Controller) noteVersion(s *session, version uint64) {
	s.version = max(s.version, version)
	c.newest = max(c.newest, version)
}
