package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Hello opens a session and ends the earlier session of the same entry. The error
// is an *Error of KindStaleSession or KindFull.
func (c *Controller) Hello(now time.Time, msg ccwire.Hello) (ccwire.HelloReply, error) {
	c.advanceClock(now)
	s, ok := c.sessions[msg.Entry.ID]
	switch {
	case ok && !s.olderThan(msg):
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindStaleSession}
	case !ok && !c.makeRoom():
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindFull}
	case !ok:
		s = &session{}
		c.sessions[msg.Entry.ID] = s
	}
	s.reset()
	s.entry, s.number, s.connected = msg.Entry, msg.Session, true
	c.noteVersion(s, msg.Version)
	return ccwire.HelloReply{
		Agent: c.cfg.Self, Domain: c.cfg.Domain, Service: c.cfg.Service, Slots: c.Slots(),
		MemorySince: c.cfg.StartedAt.UnixMilli(), Clock: c.Clock(now).Milliseconds(),
		Version: c.Version(), Leaving: c.leaving,
	}, nil
}

// SessionClosed handles the end of a session's connection. Results that were not
// reported stay in the job table, where Revoke and Recover find them.
func (c *Controller) SessionClosed(now time.Time, entry ccnode.Ref, number uint64) {
	c.advanceClock(now)
	s, ok := c.sessions[entry.ID]
	if !ok || s.entry != entry || s.number != number {
		return
	}
	s.connected = false
	s.reset()
	c.assignFreeSlots(now, nil)
}

// olderThan reports whether the session is older than the one that the hello
// opens.
func (s *session) olderThan(msg ccwire.Hello) bool {
	if s.entry.Incarnation != msg.Entry.Incarnation {
		return s.entry.Incarnation < msg.Entry.Incarnation
	}
	return s.number < msg.Session
}

// makeRoom removes a session without a connection if there are maxSessions. It
// reports whether another session may be added.
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

// noteVersion records the settings version that an entry has sent.
func (c *Controller) noteVersion(s *session, version uint64) {
	s.version = max(s.version, version)
	c.newestVersion = max(c.newestVersion, version)
}
