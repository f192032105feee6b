package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Hello opens a session. It ends the earlier session of the same entry. The
// error is an *Error of KindStaleSession or KindFull.
func (t *Table) Hello(now time.Time, msg ccwire.Hello) (ccwire.HelloReply, error) {
	t.observe(now)
	known, ok := t.sessions[msg.Entry.ID]
	switch {
	case ok && !known.before(msg):
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindStaleSession}
	case !ok && !t.makeRoom():
		return ccwire.HelloReply{}, &Error{Op: "hello", Kind: KindFull}
	case !ok:
		known = &session{}
		t.sessions[msg.Entry.ID] = known
	}
	known.reset()
	known.entry, known.number, known.connected = msg.Entry, msg.Session, true
	t.noteVersion(known, msg.Version)
	return ccwire.HelloReply{
		Agent: t.cfg.Self, Domain: t.cfg.Domain, Service: t.cfg.Service, Slots: t.Slots(),
		MemorySince: t.cfg.Since.UnixMilli(), Clock: t.Clock(now).Milliseconds(),
		Version: t.Version(), Leaving: t.leaving,
	}, nil
}

// Disconnected tells that the connection of a session has ended. Results that
// were not reported stay in memory, where a revoke or a recover finds them.
func (t *Table) Disconnected(now time.Time, entry ccnode.Ref, number uint64) {
	t.observe(now)
	s, ok := t.sessions[entry.ID]
	if !ok || s.entry != entry || s.number != number {
		return
	}
	s.connected = false
	s.reset()
	t.fill(now, nil)
}

// before reports whether the hello is newer than the session.
func (s *session) before(msg ccwire.Hello) bool {
	if s.entry.Incarnation != msg.Entry.Incarnation {
		return s.entry.Incarnation < msg.Entry.Incarnation
	}
	return s.number < msg.Session
}

// makeRoom forgets an ended session if the table is at its bound.
func (t *Table) makeRoom() bool {
	if len(t.sessions) < maxSessions {
		return true
	}
	for id, s := range t.sessions {
		if !s.connected {
			delete(t.sessions, id)
			return true
		}
	}
	return false
}

// noteVersion notes the settings version that an entry named.
func (t *Table) noteVersion(s *session, version uint64) {
	s.version = max(s.version, version)
	t.newest = max(t.newest, version)
}
