// Package ccsession implements the message transport for sessions between agents and
// entries.
//
// Each message is one frame: a 4-byte big-endian body length, a 1-byte message kind, and
// a CBOR-encoded body. Sessions exchange several messages per task. jsonrpc2 makes three
// passes over each message, which costs an entry a third more CPU time
// (docs/decisions/platform.md).
//
// # Usage
//
//	conn, err := ccsession.Dial(ctx, addr, handler)
//	conn.Send(ccwire.MessageReport, report)
//	conn.Close()
package ccsession

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/ccwire"
	"camphorcroft/io/cclimit"
)

const (
	// dialTimeout limits how long connecting may take. It is three times the round trip
	// between regions. A host that is powered off never refuses a connection, and the
	// operating system retransmits the SYN only after a second.
	dialTimeout = 150 * time.Millisecond
	// keepAliveInterval is the TCP keep-alive interval. It is far longer than the silence
	// after which either end drops a session on its own.
	keepAliveInterval = 5 * time.Second
	// headerSize is the size in bytes of a message's length and kind.
	headerSize = 5
	// maxBodySize limits the encoded body of a received message. A plan is a value in the
	// store and takes up to 1 MiB.
	maxBodySize = 4 << 20
	// reserved is the size above which a message's memory is reserved. Most messages are
	// smaller, and a connection keeps a buffer of that size. Until its peer is identified the
	// size is reservedUnidentified.
	reserved             = 16 << 10
	reservedUnidentified = 256
	// sendQueueSize limits the messages queued for one peer. It holds one second of the
	// highest rate at which an entry sends to one agent. A connection whose queue
	// overflows is closed.
	sendQueueSize = 1024
)

// Handler processes incoming messages. Messages of one connection are delivered one at a
// time.
type Handler interface {
	// Received is called for each message. The body is valid only during the call.
	Received(conn *Conn, kind ccwire.MessageKind, body []byte)
	// Closed is called once, after the connection has closed.
	Closed(conn *Conn)
}

// limiter bounds what the peer of an accepted connection makes the process hold. A
// *cclimit.Stream is one.
type limiter interface {
	MaxFrame() int
	Reserve(bytes int) bool
	Done()
	Identified()
	RefuseFrame()
}

// Conn is one end of a TCP connection that carries framed messages. Its methods are safe
// for concurrent use.
type Conn struct {
	socket      net.Conn
	limiter     limiter // Nil without limits.
	identified  atomic.Bool
	sendQueue   *queue
	startWriter sync.Once
	done        chan struct{}
	closeOnce   sync.Once
}

// outgoingMessage is a queued message. The writer goroutine encodes its value.
type outgoingMessage struct {
	kind  ccwire.MessageKind
	value any
}

// Dial connects to addr. The context applies only to dialing, not to the returned
// connection.
func Dial(ctx context.Context, addr netip.AddrPort, handler Handler) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	socket, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
	}
	return newConn(socket, handler), nil
}

// Serve accepts connections until the listener is closed.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// No file descriptor is free. Back off; the peer dials again.
			time.Sleep(dialTimeout)
			continue
		}
		newConn(socket, handler)
	}
}

func newConn(socket net.Conn, handler Handler) *Conn {
	c := &Conn{socket: socket, sendQueue: newQueue(), done: make(chan struct{})}
	c.limiter, _ = socket.(limiter)
	go func() {
		c.readLoop(handler)
		c.Close()
		handler.Closed(c)
	}()
	return c
}

// Send queues a message for sending and never blocks. If the peer reads too slowly and
// the queue is full, Send closes the connection.
func (c *Conn) Send(kind ccwire.MessageKind, value any) {
	if !c.sendQueue.put(outgoingMessage{kind: kind, value: value}) {
		c.Close()
		return
	}
	// Strangers mostly get no message, and need no goroutine for it.
	c.startWriter.Do(func() { go c.writeLoop() })
}

// Identified tells the limits of an accepted connection that its peer belongs to the fleet.
func (c *Conn) Identified() {
	c.identified.Store(true)
	if c.limiter != nil {
		c.limiter.Identified()
	}
}

// Close closes the connection. Messages still queued may be lost.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.socket.Close()
	})
}

// writeLoop sends queued messages until the connection closes.
func (c *Conn) writeLoop() {
	buffered := bufio.NewWriter(c.socket)
	for {
		select {
		case <-c.sendQueue.wake:
			if !c.writeQueued(buffered) {
				c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeQueued writes the queued messages and those that are queued meanwhile, then flushes them
// together. It reports whether all writes succeeded.
func (c *Conn) writeQueued(buffered *bufio.Writer) bool {
	var messages []outgoingMessage
	for {
		messages = c.sendQueue.take(messages)
		if len(messages) == 0 {
			return buffered.Flush() == nil
		}
		for _, m := range messages {
			if err := writeMessage(buffered, m); err != nil {
				return false
			}
		}
	}
}

func writeMessage(w io.Writer, m outgoingMessage) error {
	body, err := cbor.Marshal(m.value)
	if err != nil {
		return &Error{Op: "write message", Kind: KindUnreadable, Err: err}
	}
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	header[headerSize-1] = byte(m.kind)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}

// readLoop passes incoming messages to handler until the connection closes or a message
// exceeds maxBodySize.
func (c *Conn) readLoop(handler Handler) {
	buffered := bufio.NewReader(c.socket)
	var header [headerSize]byte
	body := []byte{}
	for {
		if _, err := io.ReadFull(buffered, header[:]); err != nil {
			return
		}
		size := int(binary.BigEndian.Uint32(header[:]))
		if size > maxBodySize {
			return
		}
		if c.limiter != nil && size > c.unreservedSize() {
			if !c.receiveReserved(handler, buffered, ccwire.MessageKind(header[headerSize-1]), size) {
				return
			}
			continue
		}
		if cap(body) < size {
			body = make([]byte, size)
		}
		body = body[:size]
		if _, err := io.ReadFull(buffered, body); err != nil {
			return
		}
		handler.Received(c, ccwire.MessageKind(header[headerSize-1]), body)
	}
}

// unreservedSize returns the size of the largest message whose memory is not reserved.
func (c *Conn) unreservedSize() int {
	if c.identified.Load() {
		return reserved
	}
	return reservedUnidentified
}

// receiveReserved receives a message whose memory is reserved as it arrives. It reports
// false if the connection must be closed.
func (c *Conn) receiveReserved(handler Handler, from io.Reader, kind ccwire.MessageKind, size int) bool {
	if size > c.limiter.MaxFrame() {
		c.limiter.RefuseFrame()
		return false
	}
	body, err := cclimit.ReadMessage(from, size, c.limiter.Reserve)
	if err != nil {
		return false
	}
	handler.Received(c, kind, body)
	c.limiter.Done()
	return true
}

// Decode unmarshals the CBOR body of a message into value.
func Decode(body []byte, value any) error {
	if err := cbor.Unmarshal(body, value); err != nil {
		return &Error{Op: "read message", Kind: KindUnreadable, Err: err}
	}
	return nil
}
