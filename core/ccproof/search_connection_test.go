package ccproof

import (
	"time"

	"camphorcroft/core/ccnode"
)

// phase is how far an agent has come with the handshake on a connection.
type phase int

const (
	phaseIdentify phase = iota
	phaseAttach
	phaseOpen
	phaseClosed
)

// connection is a connection between an agent and an entry, in the lives that they had when
// it was opened.
type connection struct {
	dialer *dialer
	entry  *replayEntry
	// toEntry and toAgent carry the messages in order, each on its own.
	toEntry, toAgent *lane
	// phase is the agent's state of the connection.
	phase  phase
	number uint64 // The number that the entry has issued for the session, or 0.
	// session is the agent whose session the entry has on the connection. Empty is none.
	session ccnode.ID
	reset   bool
	// closedByAgent and closedByEntry are set once that end is closed.
	closedByAgent, closedByEntry bool
}

// lane delivers the messages of one direction in order.
type lane struct {
	net         *searchNetwork
	process     func() *process  // The receiver's.
	frozenUntil func() time.Time // Until when the receiver's process stands still.
	heldUntil   time.Time
	queue       []laneMessage
	pumping     bool
	closed      bool // The receiver reads no more.
	ending      bool // The sender has closed the connection.
}

type laneMessage struct {
	at  time.Time
	run func()
}

// send queues a message. One in 100/percent is held up, and with it all that follow.
func (l *lane) send(percent int, run func()) {
	if l.closed || l.ending {
		return
	}
	if percent > 0 && l.net.rng.IntN(100) < percent {
		l.hold(l.net.now.Add(l.net.between(l.net.cfg.minSpan, l.net.cfg.maxSpan)))
	}
	l.queue = append(l.queue, laneMessage{at: l.net.now.Add(l.net.networkDelay()), run: run})
	l.pump()
}

// hold delivers nothing until the given time.
func (l *lane) hold(until time.Time) {
	if until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// end closes the lane at its sender. The receiver learns of it after all messages, or after
// some of them if the connection is reset.
func (l *lane) end(closed func()) {
	if l.closed || l.ending {
		return
	}
	if len(l.queue) > 0 && l.net.rng.IntN(2) == 0 {
		l.queue = l.queue[:l.net.rng.IntN(len(l.queue))]
	}
	l.send(0, closed)
	l.ending = true
}

func (l *lane) pump() {
	if l.pumping || l.closed || len(l.queue) == 0 {
		return
	}
	at := l.queue[0].at
	for _, other := range []time.Time{l.heldUntil, l.net.now} {
		if other.After(at) {
			at = other
		}
	}
	if frozen := l.frozenUntil(); frozen.After(at) {
		at = frozen.Add(l.net.networkDelay())
	}
	l.pumping = true
	l.net.schedule(at.Sub(l.net.now), func() {
		l.pumping = false
		if !l.closed && len(l.queue) > 0 && !l.net.now.Before(l.heldUntil) && !l.net.now.Before(l.frozenUntil()) {
			next := l.queue[0]
			l.queue = l.queue[1:]
			l.process().handle(next.run)
		}
		l.pump()
	})
}
