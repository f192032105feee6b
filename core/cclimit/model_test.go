package cclimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableModel drives a table with connections of one class, whose owners end at any later time.
type tableModel struct {
	t       *rapid.T
	table   *Table
	now     time.Time
	conns   []*Conn // In the table, the closing ones too.
	waiting map[*Conn]bool
}

// check compares the table with its connections.
func (m *tableModel) check() {
	held, answers, share := int64(0), int64(0), m.table.Limits().Shares[ClassRequests]
	for _, c := range m.conns {
		held += c.Held()
		answers += c.answer
		select {
		case granted := <-c.Granted:
			if !m.waiting[c] || granted == (c.Phase() == PhaseClosing) {
				m.t.Fatalf("granted %v in phase %d", granted, c.Phase())
			}
			delete(m.waiting, c)
		default:
		}
	}
	use := m.table.Use(ClassRequests)
	if use.Bytes != held || use.Connections != len(m.conns) {
		m.t.Fatalf("counted %+v, held %d by %d connections", use, held, len(m.conns))
	}
	if got := m.table.classes[ClassRequests].answers; got != answers || got > share.Bytes/answerPart {
		m.t.Fatalf("%d bytes of answers are counted, and %d held", got, answers)
	}
	if sum := use.Bytes + m.table.Uncollected(ClassRequests); sum > share.Bytes {
		m.t.Fatalf("%d bytes are in use or not collected, of %d", sum, share.Bytes)
	}
}

// draw returns one of the connections, or nil.
func (m *tableModel) draw(open bool) *Conn {
	var some []*Conn
	for _, c := range m.conns {
		if (c.Phase() != PhaseClosing) == open && !m.waiting[c] {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(m.t, "connection")
}

func (m *tableModel) add() {
	c := &Conn{Granted: make(chan bool, 1)}
	if !m.table.Crowded(ClassRequests) {
		if _, ok := m.table.Add(c, m.now); ok {
			m.conns = append(m.conns, c)
		}
	}
}

func (m *tableModel) reserve(c *Conn) {
	if c.Phase() == PhaseServing {
		return
	}
	m.table.Enter(c, PhaseBody, m.now)
	if _, result := m.table.Reserve(c, rapid.Int64Range(1, 120).Draw(m.t, "bytes")); result == Waits {
		m.waiting[c] = true
	}
}

func (m *tableModel) remove(c *Conn) {
	m.table.Remove(c)
	for i, other := range m.conns {
		if other == c {
			m.conns = append(m.conns[:i], m.conns[i+1:]...)
			return
		}
	}
}

func (m *tableModel) step() {
	open := m.draw(true)
	switch kind := rapid.IntRange(0, 10).Draw(m.t, "step"); {
	case kind < 2 || open == nil:
		m.add()
	case kind < 5:
		m.reserve(open)
	case kind == 5:
		m.table.Enter(open, PhaseServing, m.now)
	case kind == 6:
		m.table.Finish(open, rapid.Int64Range(0, 20).Draw(m.t, "kept"), m.now)
	case kind == 7:
		if c := m.draw(false); c != nil {
			m.remove(c)
		}
	case kind == 8:
		m.table.Collected()
	case kind == 9:
		m.table.ReserveAnswer(open, rapid.Int64Range(1, 80).Draw(m.t, "answer"))
	default:
		m.collect()
	}
	m.check()
}

func (m *tableModel) collect() {
	m.table.BeginCollection()
	m.table.EndCollection()
}

// Guards against waits without an end, bytes that are counted twice or not at all, and a share
// that is exceeded by what is in use and what is not collected.
func TestEachWaitEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Derive(Host{Memory: DefaultMemory, Descriptors: DefaultDescriptors})
		limits.Shares[ClassRequests] = Share{Connections: 6, Bytes: 100}
		m := &tableModel{t: t, table: NewTable(limits), now: time.Unix(1000, 0), waiting: map[*Conn]bool{}}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.now = m.now.Add(time.Millisecond)
			m.step()
		}
		for c := m.draw(false); c != nil; c = m.draw(false) {
			m.remove(c)
		}
		for m.table.NeedsCollection() {
			m.collect()
		}
		m.check()
		if len(m.waiting) > 0 {
			t.Fatalf("%d connections wait for nothing", len(m.waiting))
		}
	})
}

// Guards against garbage that counts as free before a collection that began after its release,
// and against connections that are closed where a collection is enough.
func TestGarbageCountsUntilItIsCollected(t *testing.T) {
	table, now := newTestTable(10), time.Unix(1000, 0)
	first, next := &Conn{Granted: make(chan bool, 1)}, &Conn{Granted: make(chan bool, 1)}
	table.Add(first, now)
	table.Add(next, now)
	table.Reserve(first, 70)
	table.Finish(first, 0, now)
	table.Enter(next, PhaseBody, now)
	if victims, result := table.Reserve(next, 60); result != Waits || victims != nil || !table.NeedsCollection() {
		t.Errorf("%d victims, result %d", len(victims), result)
	}
	// The collection may have begun before the release.
	table.Collected()
	if got := table.Uncollected(ClassRequests); got != 70 || len(next.Granted) > 0 {
		t.Errorf("%d bytes are not collected", got)
	}
	table.Collected()
	if table.Uncollected(ClassRequests) != 0 || !<-next.Granted || table.NeedsCollection() {
		t.Error("what was collected is not granted")
	}
	table.Remove(next)
	table.BeginCollection()
	table.Remove(first)
	if got := table.Uncollected(ClassRequests); got != 60 {
		t.Errorf("%d bytes are not collected", got)
	}
	table.EndCollection()
	if table.Uncollected(ClassRequests) != 0 || table.Refused(ReasonMemory) != 0 {
		t.Error("garbage is left, or counted as refused")
	}
}
