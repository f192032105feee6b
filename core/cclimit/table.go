package cclimit

import (
	"slices"
	"time"
)

// answerPart is the part of a class's share that answers may take, so that clients which don't
// read them leave room for requests.
const answerPart = 2

// closingPart is the part of a class's connections that may be closing before no other is
// accepted.
const closingPart = 8

// Result is what became of a reservation.
type Result uint8

const (
	// Refused means that nothing is reserved.
	Refused Result = iota
	// Reserved means that the bytes are reserved.
	Reserved
	// Waits means that Conn.Granted will tell.
	Waits
)

// Timeouts are the times that clients of a class may take. They may change while the
// process runs.
type Timeouts struct {
	Header, Idle time.Duration
}

// Use is what a class uses of its share.
type Use struct {
	Connections int   `json:"connections"`
	Bytes       int64 `json:"bytes"`
}

// Table records the connections of a process and the bytes that are reserved for them.
type Table struct {
	limits  Limits
	classes [classes]classTable
	order   uint64
	refused [reasons]uint64
}

// classTable is the table's part of one class.
type classTable struct {
	use          Use
	answers      int64 // The part of the bytes in use that is answers.
	idle         list
	reading      list // Headers and bodies that are not complete.
	serving      list
	closing      int   // Connections that were chosen to be closed.
	closingBytes int64 // What these hold.
	waiting      []*Conn
	wantedBytes  int64 // What the waiting ones want.
	garbage      garbage
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table { return &Table{limits: limits} }

// Limits returns the limits of the process.
func (t *Table) Limits() Limits { return t.limits }

// Use returns what a class uses.
func (t *Table) Use(class Class) Use { return t.classes[class].use }

// Refused returns how many connections were closed or messages refused for a reason.
func (t *Table) Refused(reason Reason) uint64 { return t.refused[reason] }

// Count counts a refusal.
func (t *Table) Count(reason Reason) { t.refused[reason]++ }

// Add records a connection. If the class is at its bound, the connection that has been idle
// or in one message for longest is chosen and returned to be closed. If all others
// are being served, the new one is not recorded and must be closed.
func (t *Table) Add(c *Conn, now time.Time) (victim *Conn, ok bool) {
	class := &t.classes[c.Class]
	if class.use.Connections-class.closing >= t.limits.Shares[c.Class].Connections {
		t.Count(ReasonConnections)
		if victim = class.mostIdle(); victim == nil {
			c.phase = PhaseClosed
			return nil, false
		}
		t.Evict(victim)
	}
	class.use.Connections++
	t.order++
	c.phase, c.order, c.openedAt, c.startedAt, c.progress = PhaseIdle, t.order, now, now, now
	class.idle.push(c)
	return victim, true
}

// Crowded reports whether so many connections of a class are being closed that no other
// should be accepted before they have ended.
func (t *Table) Crowded(class Class) bool {
	return t.classes[class].closing > t.limits.Shares[class].Connections/closingPart+1
}

// Evict chooses a connection to be closed. It keeps what it holds until it is removed.
func (t *Table) Evict(c *Conn) {
	if c.phase >= PhaseClosing {
		return
	}
	class := &t.classes[c.Class]
	c.unlink()
	c.phase = PhaseClosing
	class.closing++
	class.closingBytes += c.held
	class.stopWaiting(c)
}

// stopWaiting tells a connection that it doesn't get the bytes that it waits for.
func (c *classTable) stopWaiting(conn *Conn) {
	if conn.wants == 0 {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(other *Conn) bool { return other == conn })
	c.wantedBytes -= conn.wants
	conn.wants = 0
	conn.Granted <- false
}

// mostIdle returns the connection that has been idle, or in one message, for longest, or
// nil. It passes over identified peers.
func (c *classTable) mostIdle() *Conn {
	idle, reading := unidentified(c.idle.first), unidentified(c.reading.first)
	switch {
	case idle == nil:
		return reading
	case reading == nil || idle.order < reading.order:
		return idle
	default:
		return reading
	}
}

// unidentified returns the first connection whose peer is not identified. Peers of sessions
// are few, and callers are never identified, so the search is short.
func unidentified(c *Conn) *Conn {
	for c != nil && c.Identified {
		c = c.next
	}
	return c
}

// Remove removes a connection that has ended and releases what it held.
func (t *Table) Remove(c *Conn) {
	if c.phase == PhaseClosed {
		return
	}
	t.Evict(c)
	class := &t.classes[c.Class]
	class.use.Connections--
	class.closing--
	class.closingBytes -= c.held
	c.phase = PhaseClosed
	t.release(c, 0)
}

// release gives back the bytes of a connection but for what it keeps, and grants them to those
// that wait, in their order.
func (t *Table) release(c *Conn, kept int64) {
	class := &t.classes[c.Class]
	kept = min(kept, c.held)
	class.use.Bytes -= c.held - kept
	class.garbage.add(c.held - kept)
	class.answers -= c.answer
	c.held, c.answer = kept, 0
	t.grant(c.Class)
}

// grant reserves bytes for those that wait, as far as the share allows.
func (t *Table) grant(of Class) {
	class := &t.classes[of]
	for len(class.waiting) > 0 {
		next := class.waiting[0]
		if class.use.Bytes+class.garbage.bytes()+next.wants > t.limits.Shares[of].Bytes {
			return
		}
		class.waiting = class.waiting[1:]
		class.wantedBytes -= next.wants
		class.use.Bytes += next.wants
		next.held += next.wants
		next.wants = 0
		next.Granted <- true
	}
}

// Finish notes that a connection's message has been acted on. It releases what the message
// held. If kept is not 0, that much of the next message has been received.
func (t *Table) Finish(c *Conn, kept int64, now time.Time) {
	if c.phase >= PhaseClosing {
		return
	}
	if kept == 0 {
		t.Enter(c, PhaseIdle, now)
		return
	}
	t.release(c, kept)
	t.Enter(c, PhaseHeader, now)
}

// Enter notes that a connection has received something, or is done with it.
func (t *Table) Enter(c *Conn, phase Phase, now time.Time) {
	if c.phase >= PhaseClosing {
		return
	}
	c.progress = now
	before := c.list
	c.phase = phase
	class := &t.classes[c.Class]
	to := &class.reading
	switch phase {
	case PhaseIdle:
		to = &class.idle
		t.release(c, 0)
	case PhaseServing:
		to = &class.serving
	case PhaseHeader, PhaseBody, PhaseClosing, PhaseClosed:
	}
	if to == before {
		return
	}
	c.unlink()
	t.order++
	c.order, c.startedAt = t.order, now
	to.push(c)
}

// Reserve reserves bytes for a connection. If the share of the class is used up, messages
// that began before that of the connection and are not complete give way, the oldest
// first: their connections are chosen and returned to be closed, and the connection waits
// for their bytes. If that is not enough, nothing is reserved and none is chosen. If bytes
// that are not collected yet are enough, it waits for their collection only.
func (t *Table) Reserve(c *Conn, bytes int64) (victims []*Conn, result Result) {
	if c.phase >= PhaseClosing {
		return nil, Refused
	}
	class, share := &t.classes[c.Class], t.limits.Shares[c.Class].Bytes
	if class.use.Bytes+class.garbage.bytes()+class.wantedBytes+bytes <= share {
		class.use.Bytes += bytes
		c.held += bytes
		return nil, Reserved
	}
	missing := class.use.Bytes - class.closingBytes + class.wantedBytes + bytes - share
	for older := class.reading.first; older != nil && older != c && older.order < c.order && missing > 0; older = older.next {
		if gain := older.held + older.wants; gain > 0 && (!older.Identified || c.Identified) {
			victims = append(victims, older)
			missing -= gain
		}
	}
	if missing > 0 {
		t.Count(ReasonMemory)
		return nil, Refused
	}
	for _, victim := range victims {
		t.Count(ReasonMemory)
		t.Evict(victim)
	}
	c.wants = bytes
	class.wantedBytes += bytes
	class.waiting = append(class.waiting, c)
	return victims, Waits
}

// ReserveAnswer reserves bytes of an answer that is being written. They are released with what
// the request held. An answer that is larger than all answers may be counts as that.
func (t *Table) ReserveAnswer(c *Conn, bytes int64) bool {
	if c.phase >= PhaseClosing {
		return false
	}
	class, share := &t.classes[c.Class], t.limits.Shares[c.Class].Bytes
	bytes = min(bytes, share/answerPart)
	if class.answers+bytes > share/answerPart || class.use.Bytes+class.garbage.bytes()+class.wantedBytes+bytes > share {
		return false
	}
	class.use.Bytes += bytes
	class.answers += bytes
	c.held += bytes
	c.answer += bytes
	return true
}

// Expired chooses the connections of a class that have taken too long and returns them to be
// closed.
func (t *Table) Expired(class Class, timeouts Timeouts, now time.Time) []*Conn {
	var expired []*Conn
	table := &t.classes[class]
	for _, l := range []*list{&table.idle, &table.reading} {
		for c := l.first; c != nil; c = c.next {
			if reason, late := t.late(c, timeouts, now); late {
				t.Count(reason)
				expired = append(expired, c)
			}
		}
	}
	for _, c := range expired {
		t.Evict(c)
	}
	return expired
}

// late reports whether a connection has taken too long.
func (t *Table) late(c *Conn, timeouts Timeouts, now time.Time) (Reason, bool) {
	switch {
	case c.wants > 0:
		// It waits for others to end, which takes as long as they need to notice.
		return ReasonMemory, now.Sub(c.progress) > t.limits.BodyTimeout
	case c.Class == ClassSessions && !c.Identified && now.Sub(c.openedAt) > t.limits.IdentifyTimeout:
		return ReasonUnidentified, true
	case c.phase == PhaseIdle:
		return ReasonIdle, timeouts.Idle > 0 && now.Sub(c.startedAt) > timeouts.Idle
	case c.phase == PhaseHeader:
		return ReasonHeaderTime, timeouts.Header > 0 && now.Sub(c.startedAt) > timeouts.Header
	case c.phase == PhaseBody:
		return ReasonProgress, now.Sub(c.progress) > t.limits.BodyTimeout
	default:
		return 0, false
	}
}
