package cclimit

import (
	"io"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

const (
	// PhaseIdle waits for the first byte of a message.
	PhaseIdle Phase = iota
	// PhaseHeader has a part of a header.
	PhaseHeader
	// PhaseBody has a header and a part of a body, or a part of a message.
	PhaseBody
	// PhaseServing has a whole message that is acted on. Such a connection is not closed
	// for the sake of others.
	PhaseServing
	// PhaseClosing was chosen to be closed. What it holds counts until it is removed, since
	// its memory is in use until its goroutine has ended.
	PhaseClosing
	// PhaseClosed is not in the table, or not any more.
	PhaseClosed
)

// Conn is the table's record of a connection.
type Conn struct {
	Class Class
	// Closer closes the connection's socket when it is chosen to be closed. The owner
	// removes the connection once it has ended.
	Closer io.Closer
	// Granted is told whether bytes that it waits for are reserved. It has room for one
	// message.
	Granted chan bool
	// Identified is whether the peer is known to belong to the fleet. Its connection is not
	// closed for the sake of others.
	Identified bool

	phase     Phase
	held      int64
	answer    int64  // The part of held that is its answer.
	wants     int64  // What it waits for.
	order     uint64 // Grows with each change between idle, reading and serving.
	openedAt  time.Time
	startedAt time.Time // When the connection got idle or its message began.
	progress  time.Time // When it last received something.

	list       *list
	prev, next *Conn
}

// Held returns the bytes that are reserved for the connection.
func (c *Conn) Held() int64 { return c.held }

// Phase returns what the connection is doing.
func (c *Conn) Phase() Phase { return c.phase }

// list is a doubly linked list of connections, oldest first. A linked list allows a
// connection to be moved to another list in constant time.
type list struct{ first, last *Conn }

func (l *list) push(c *Conn) {
	c.list, c.prev, c.next = l, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (c *Conn) unlink() {
	l := c.list
	if l == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.list, c.prev, c.next = nil, nil, nil
}
