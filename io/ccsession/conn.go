// Package ccsession carries the messages of sessions between agents and entries.
//
// A message is a frame: its length in four bytes, one byte that says what it is, and
// the value in CBOR. Sessions carry several messages a task; jsonrpc2, which passes over
// each three times, costs an entry a third more processor time
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
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/ccwire"
)

const (
	// dialTimeout bounds the opening of a connection, three times the round trip
	// between regions. A host without power refuses nothing, and the system would send
	// its opening packet again only after a second.
	dialTimeout = 150 * time.Millisecond
	// keepAliveInterval is far above the silence after which either end gives a session
	// up by itself.
	keepAliveInterval = 5 * time.Second
	// headSize is the length and the kind of a message.
	headSize = 5
	// maxMessage bounds a message: a plan is a value of the store, 1 MiB at the most.
	maxMessage = 4 << 20
	// sendBuffer bounds the messages that wait for one peer: a second of the most that
	// an entry sends to one agent. A connection that exceeds it is closed.
	sendBuffer = 1024
)

// Handler takes the messages of the other end, one after the other.
type Handler interface {
	// Received takes a message. The body is only valid during the call.
	Received(conn *Conn, message ccwire.MessageKind, body []byte)
	// Closed tells that the connection has ended. It is called once.
	Closed(conn *Conn)
}

// Conn is one end of a connection.
type Conn struct {
	socket net.Conn
	out    chan outgoing
	done   chan struct{}
	end    sync.Once
}

type outgoing struct {
	message ccwire.MessageKind
	value   any
}

// Dial connects to addr. The context bounds the dialing alone.
func Dial(ctx context.Context, addr netip.AddrPort, handler Handler) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	socket, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
	}
	return newConn(socket, handler), nil
}

// Serve accepts connections until the listener closes.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// No descriptor is free; the peer dials again.
			time.Sleep(dialTimeout)
			continue
		}
		newConn(socket, handler)
	}
}

func newConn(socket net.Conn, handler Handler) *Conn {
	c := &Conn{socket: socket, out: make(chan outgoing, sendBuffer), done: make(chan struct{})}
	go c.write()
	go func() {
		c.read(handler)
		c.Close()
		handler.Closed(c)
	}()
	return c
}

// Send hands a message to the writer and never waits. A peer that reads too slowly is
// closed.
func (c *Conn) Send(message ccwire.MessageKind, value any) {
	select {
	case c.out <- outgoing{message: message, value: value}:
	default:
		c.Close()
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	c.end.Do(func() {
		close(c.done)
		_ = c.socket.Close()
	})
}

// write sends what waits, several messages at a time where they do.
func (c *Conn) write() {
	buffered := bufio.NewWriter(c.socket)
	for {
		select {
		case next := <-c.out:
			if !c.writeAll(buffered, next) {
				c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *Conn) writeAll(buffered *bufio.Writer, next outgoing) bool {
	for {
		if err := writeMessage(buffered, next); err != nil {
			return false
		}
		select {
		case next = <-c.out:
		default:
			return buffered.Flush() == nil
		}
	}
}

func writeMessage(w io.Writer, m outgoing) error {
	body, err := cbor.Marshal(m.value)
	if err != nil {
		return &Error{Op: "write message", Kind: KindUnreadable, Err: err}
	}
	var head [headSize]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(body)))
	head[headSize-1] = byte(m.message)
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}

// read hands on messages until the connection ends or carries nonsense.
func (c *Conn) read(handler Handler) {
	buffered := bufio.NewReader(c.socket)
	var head [headSize]byte
	body := []byte{}
	for {
		if _, err := io.ReadFull(buffered, head[:]); err != nil {
			return
		}
		size := int(binary.BigEndian.Uint32(head[:]))
		if size > maxMessage {
			return
		}
		if cap(body) < size {
			body = make([]byte, size)
		}
		body = body[:size]
		if _, err := io.ReadFull(buffered, body); err != nil {
			return
		}
		handler.Received(c, ccwire.MessageKind(head[headSize-1]), body)
	}
}

// Decode reads the body of a message.
func Decode(body []byte, value any) error {
	if err := cbor.Unmarshal(body, value); err != nil {
		return &Error{Op: "read message", Kind: KindUnreadable, Err: err}
	}
	return nil
}
