// Package cclimit keeps the clients of a process's listeners within the limits that
// core/cclimit decides.
//
// A Gate belongs to a process. It wraps the listeners: connections are counted, a
// request's header is read whole and checked before net/http parses it, and the bytes of
// headers, bodies and messages are reserved from one budget when they arrive. One
// goroutine closes connections that take too long, so that no request needs a timer.
//
// # Usage
//
//	gate := cclimit.NewGate(cclimit.Config{Limits: limits, Log: log})
//	go server.Serve(gate.HTTP(listener, server, corelimit.ClassRequests, nil))
//	go ccsession.Serve(gate.Streams(listener), handler)
//	defer gate.Close()
package cclimit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/cclimit"
)

const (
	// sweepInterval is how often connections that take too long are looked for. Times are
	// kept to this precision.
	sweepInterval = 500 * time.Millisecond
	// lateSweep is the time since the last sweep above which the process has stood still. Its
	// clients may have sent what it hasn't read yet, so they get one more interval.
	lateSweep = 4 * sweepInterval
	// crowdedPause is how often it is looked whether many connections are still being closed, and
	// crowdedTimeout how long a new one waits for their ends until it is refused.
	crowdedPause   = time.Millisecond
	crowdedTimeout = 250 * time.Millisecond
	// stuckAfter is how long an answer is written before its connection may be closed for
	// another one. An answer fits into the socket's buffer unless the client reads nothing.
	stuckAfter = time.Second
	// silentAfter is how long an identified peer must have sent nothing until its connection may
	// be closed for another one. The fleet's processes send to each other once a second or
	// more.
	silentAfter = 5 * time.Second
	// logInterval is the least time between two log lines on refusals.
	logInterval = 10 * time.Second
)

// Config configures a Gate.
type Config struct {
	Limits cclimit.Limits
	Log    logr.Logger
}

// HTTPLimits are the limits of requests that may change while the process runs.
type HTTPLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// defaults replaces what is not set.
func (l HTTPLimits) defaults() HTTPLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = cclimit.MaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = cclimit.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = cclimit.IdleTimeout
	}
	return l
}

// Gate bounds the connections and bytes of a process's listeners. A nil Gate has no limits.
type Gate struct {
	log logr.Logger
	now atomic.Int64 // In nanoseconds, as of the last sweep.
	end chan struct{}

	endOnce sync.Once
	running sync.WaitGroup

	collectWanted chan struct{}
	collections   atomic.Uint64 // That were asked for.

	mu       sync.Mutex // Guards the fields below.
	table    *cclimit.Table
	conns    map[*Conn]struct{} // Of HTTP, whose answers are watched.
	streams  map[*Stream]struct{}
	timeouts [4]func() cclimit.Timeouts
	logged   map[cclimit.Reason]uint64
	loggedAt time.Time
}

// NewGate returns a gate. Close must be called at its end.
func NewGate(cfg Config) *Gate {
	g := &Gate{
		log: cfg.Log, end: make(chan struct{}), table: cclimit.NewTable(cfg.Limits),
		conns: map[*Conn]struct{}{}, streams: map[*Stream]struct{}{}, logged: map[cclimit.Reason]uint64{}, collectWanted: make(chan struct{}, 1),
	}
	g.now.Store(time.Now().UnixNano())
	g.running.Go(g.sweep)
	g.running.Go(g.collectLoop)
	g.watchCollections()
	return g
}

// Close ends the gate's goroutines. Its listeners go on without timeouts.
func (g *Gate) Close() {
	if g == nil {
		return
	}
	g.endOnce.Do(func() { close(g.end) })
	g.running.Wait()
}

// HTTP returns the listener for a server, whose hooks it sets. limits is called for each
// request and each sweep. It may be nil for the defaults.
func (g *Gate) HTTP(listener net.Listener, server *http.Server, class cclimit.Class, limits func() HTTPLimits) net.Listener {
	if g == nil {
		return listener
	}
	if limits == nil {
		limits = func() HTTPLimits { return HTTPLimits{} }
	}
	current := func() HTTPLimits { return limits().defaults() }
	// The gate keeps these times. It checks the whole header before the server reads it.
	server.ReadHeaderTimeout, server.IdleTimeout, server.ReadTimeout = 0, 0, 0
	// The server would answer these without a change of the connection's state.
	server.DisableGeneralOptionsHandler = true
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.finished()
		}
	}
	g.setTimeouts(class, func() cclimit.Timeouts {
		l := current()
		return cclimit.Timeouts{Header: l.HeaderTimeout, Idle: l.IdleTimeout}
	})
	return &listenerOf{Listener: listener, accept: func(socket net.Conn) net.Conn {
		c := &Conn{stream: stream{Conn: socket, gate: g}, limits: current}
		c.record = newRecord(class, socket)
		if !g.admit(&c.record) {
			_ = socket.Close()
			return nil
		}
		g.mu.Lock()
		g.conns[c] = struct{}{}
		g.mu.Unlock()
		return c
	}}
}

// MaxBody returns the length of the largest body that a class can hold, or most if that is
// less.
func (g *Gate) MaxBody(class cclimit.Class, most int64) int64 {
	if g == nil {
		return most
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(most, g.table.Limits().MaxBody(class))
}

// MaxTasks returns how many tasks the jobs of callers may have together, or 0 without limits.
func (g *Gate) MaxTasks() int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Limits().MaxTasks
}

// Streams returns the listener for connections of other processes. They are *Stream.
func (g *Gate) Streams(listener net.Listener) net.Listener {
	if g == nil {
		return listener
	}
	g.setTimeouts(cclimit.ClassSessions, func() cclimit.Timeouts { return cclimit.Timeouts{} })
	return &listenerOf{Listener: listener, accept: func(socket net.Conn) net.Conn {
		s := &Stream{stream: stream{Conn: socket, gate: g}}
		s.record = newRecord(cclimit.ClassSessions, socket)
		s.received.Store(g.now.Load())
		if !g.admit(&s.record) {
			_ = socket.Close()
			return nil
		}
		g.mu.Lock()
		g.streams[s] = struct{}{}
		g.mu.Unlock()
		return s
	}}
}

// newRecord returns the record of a connection. If it is chosen to be closed, its socket is
// closed; its owner notices that and closes the connection.
func newRecord(class cclimit.Class, socket net.Conn) cclimit.Conn {
	return cclimit.Conn{Class: class, Closer: socket, Granted: make(chan bool, 1)}
}

func (g *Gate) setTimeouts(class cclimit.Class, timeouts func() cclimit.Timeouts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timeouts[class] = timeouts
}

// coarseNow returns the time of the last sweep, which costs no look at the clock.
func (g *Gate) coarseNow() time.Time { return time.Unix(0, g.now.Load()) }

// admit records a connection and closes another one for it if that is necessary. It waits
// while too many are being closed, but not for good: a server that stops waits for the call.
func (g *Gate) admit(c *cclimit.Conn) bool {
	g.mu.Lock()
	for pauses := 0; g.table.Crowded(c.Class); pauses++ {
		if pauses == int(crowdedTimeout/crowdedPause) {
			g.table.Count(cclimit.ReasonConnections)
			g.mu.Unlock()
			return false
		}
		g.mu.Unlock()
		time.Sleep(crowdedPause)
		g.mu.Lock()
	}
	victim, ok := g.table.Add(c, g.coarseNow())
	if !ok {
		if victim = g.lastResort(c.Class); victim != nil {
			g.table.Evict(victim)
			_, ok = g.table.Add(c, g.coarseNow())
		}
	}
	g.mu.Unlock()
	if victim != nil {
		_ = victim.Closer.Close()
	}
	return ok
}

// lastResort returns a connection to close when the table knows none, or nil.
func (g *Gate) lastResort(class cclimit.Class) *cclimit.Conn {
	if class == cclimit.ClassSessions {
		return g.silentPeer()
	}
	return g.stuckWriter(class)
}

// silentPeer returns the connection of a peer of sessions that has sent nothing for longest, or
// nil. It is called only when all of them are identified.
func (g *Gate) silentPeer() *cclimit.Conn {
	var silent *Stream
	oldest := g.now.Load() - int64(silentAfter)
	for s := range g.streams {
		if received := s.received.Load(); received <= oldest && s.record.Phase() < cclimit.PhaseClosing {
			silent, oldest = s, received
		}
	}
	if silent == nil {
		return nil
	}
	return &silent.record
}

// stuckWriter returns the connection whose client has not read its answer for longest, or
// nil. It is called only when all connections of a class are being served, or there is no room
// for another answer.
func (g *Gate) stuckWriter(class cclimit.Class) *cclimit.Conn {
	var stuck *Conn
	oldest := g.now.Load() - int64(stuckAfter)
	for c := range g.conns {
		since := c.writingSince.Load()
		if c.record.Class == class && c.record.Phase() < cclimit.PhaseClosing && since != 0 && since <= oldest {
			stuck, oldest = c, since
		}
	}
	if stuck == nil {
		return nil
	}
	return &stuck.record
}

// reserve reserves bytes of a message that a connection has begun to receive. If they are
// reserved and the message is whole, the connection is then being served, and gives way to
// no other.
func (g *Gate) reserve(c *cclimit.Conn, phase cclimit.Phase, bytes int64, whole bool) bool {
	now := g.coarseNow()
	g.mu.Lock()
	g.table.Enter(c, phase, now)
	victims, result := g.table.Reserve(c, bytes)
	if result == cclimit.Reserved && whole {
		g.table.Enter(c, cclimit.PhaseServing, now)
	}
	if result == cclimit.Waits {
		g.collectIfNeeded()
	}
	g.mu.Unlock()
	if result != cclimit.Waits {
		return result == cclimit.Reserved
	}
	for _, victim := range victims {
		_ = victim.Closer.Close()
	}
	// The goroutines of the victims end at once, since their sockets are closed.
	granted := <-c.Granted
	if granted && whole {
		g.enter(c, cclimit.PhaseServing)
	}
	return granted
}

func (g *Gate) enter(c *cclimit.Conn, phase cclimit.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Enter(c, phase, g.coarseNow())
}

// finish notes that a message has been acted on, and that bytes of the next one are kept.
func (g *Gate) finish(c *cclimit.Conn, kept int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Finish(c, kept, g.coarseNow())
	g.collectIfNeeded()
}

// reserveAnswer reserves bytes of an answer. If there is no room, an answer that its client doesn't
// read gives way to the next one. This one doesn't wait, since it is in memory meanwhile.
func (g *Gate) reserveAnswer(c *cclimit.Conn, bytes int64) bool {
	g.mu.Lock()
	if g.table.ReserveAnswer(c, bytes) {
		g.mu.Unlock()
		return true
	}
	g.table.Count(cclimit.ReasonMemory)
	victim := g.stuckWriter(c.Class)
	if victim != nil {
		g.table.Evict(victim)
	}
	g.collectIfNeeded()
	g.mu.Unlock()
	if victim != nil {
		_ = victim.Closer.Close()
	}
	return false
}

func (g *Gate) count(reason cclimit.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Count(reason)
}
