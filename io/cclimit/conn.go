package cclimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"camphorcroft/core/cclimit"
)

const (
	// firstHeader is the first size of the buffer for a header that arrives in parts.
	firstHeader = 1 << 10
	// serverBuffer is the size of the server's buffer for an answer. It is a part of
	// cclimit.ConnMemory.
	serverBuffer = 4 << 10
	// refusalTimeout bounds the writing of a refusal. It is short, since the client may
	// read nothing.
	refusalTimeout = 100 * time.Millisecond
	// retryAfter is when a client should come back that found the budget used up, in
	// seconds.
	retryAfter = 1
)

// errFinished is returned after a refusal.
var errFinished = errors.New("the request was refused")

// Conn is a connection of an HTTP server. Its reader gets a header only when it is whole and
// its memory is reserved.
type Conn struct {
	stream
	limits func() HTTPLimits

	// serving is set when a whole header has been passed on, and cleared when its request
	// has been answered.
	serving      atomic.Bool
	writingSince atomic.Int64 // In nanoseconds. Zero if nothing is being written.

	// The fields below are the reader's. net/http has one at a time.
	//
	// buffer is what has been read and not been passed on, and the begin of a header that is
	// not whole. What it takes is reserved. A whole header and its part of the body are dropped
	// once they are passed on, so it never grows with the number of requests.
	buffer []byte
	next   int // The first byte of buffer that has not been passed on.
	ready  int // The bytes from next that may be passed on.
	body   body
	// afterPost is set when the last request was a POST. The server skips some line breaks then.
	afterPost bool
	// ahead is set when the byte that follows the current request has been passed on.
	ahead bool
	// outOfStep is set when the server has found the end of a request elsewhere.
	outOfStep bool
	err       error // The end of the connection.
}

// Read passes on bytes of a request within the limits.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.err != nil:
		return 0, c.err
	case len(p) == 0:
		return 0, nil
	case c.outOfStep:
		return 0, c.refuse(cclimit.ReasonMalformed)
	case c.ready > 0:
		return c.pass(p), nil
	case c.body.open():
		return c.readBody(p)
	case c.serving.Load():
		return c.readAhead(p[:1])
	default:
		return c.readHeader(p)
	}
}

// pass passes on bytes that are ready.
func (c *Conn) pass(p []byte) int {
	n := copy(p, c.buffer[c.next:c.next+c.ready])
	c.next += n
	c.ready -= n
	if c.ready == 0 {
		c.dropPassed()
	}
	return n
}

// dropPassed drops what has been passed on from the buffer. The rest stays in an array of its
// own size, unless that is small anyway.
func (c *Conn) dropPassed() {
	rest := c.buffer[c.next:]
	switch {
	case len(rest) == 0:
		c.buffer = nil
	case cap(c.buffer) <= firstHeader:
		c.buffer = c.buffer[:copy(c.buffer, rest)]
	default:
		c.buffer = append(make([]byte, 0, len(rest)), rest...)
	}
	c.next = 0
}

// readAhead reads the first byte of the next request while one is served. The server looks
// for it in order to notice that the client has left. A server that reads more has not found
// the end of the request, and would read headers that were not checked.
func (c *Conn) readAhead(p []byte) (int, error) {
	if c.ahead {
		return 0, c.fail(cclimit.ReasonMalformed)
	}
	n, err := c.readByte(p)
	c.ahead = n > 0
	return n, err
}

func (c *Conn) readByte(p []byte) (int, error) {
	if c.next < len(c.buffer) {
		p[0] = c.buffer[c.next]
		c.next++
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	c.buffer = append(c.buffer, p[:n]...)
	c.next += n
	return n, err
}

// readHeader passes on a header once it is whole.
func (c *Conn) readHeader(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		// Most headers arrive at once and need no buffer.
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		if end := c.headEnd(p[:n], 0); end > 0 {
			return c.begin(p[:n], end)
		}
		if !c.grow(n) {
			return 0, c.refuse(cclimit.ReasonMemory)
		}
		c.buffer = append(c.buffer, p[:n]...)
	}
	for searched := 0; ; {
		if end := c.headEnd(c.buffer, searched); end > 0 {
			n, err := c.begin(c.buffer, end)
			if err != nil {
				return 0, err
			}
			if n <= c.next {
				// An empty line, whose only byte was read ahead.
				return 0, c.refuse(cclimit.ReasonMalformed)
			}
			c.ready = n - c.next
			return c.pass(p), nil
		}
		searched = len(c.buffer)
		if searched > c.maxHeader() {
			return 0, c.refuse(cclimit.ReasonHeaderBytes)
		}
		if searched == cap(c.buffer) && !c.grow(min(2*searched, c.maxHeader()+1)) {
			return 0, c.refuse(cclimit.ReasonMemory)
		}
		if n, err := c.readMore(); n == 0 {
			return 0, err
		}
	}
}

// headEnd returns the length of a header and the line breaks in front of it that the server
// skips, or 0 if data doesn't contain its end. Bytes before from were searched before.
func (c *Conn) headEnd(data []byte, from int) int {
	skipped := c.skipped(data)
	if skipped == maxLineBreaks || skipped < len(data) {
		if end := headEnd(data[skipped:], from-skipped); end > 0 {
			return skipped + end
		}
	}
	return 0
}

// skipped returns how many bytes the server skips in front of a header.
func (c *Conn) skipped(data []byte) int {
	if !c.afterPost {
		return 0
	}
	return lineBreaks(data)
}

// maxHeader returns the length of the longest header.
func (c *Conn) maxHeader() int { return c.limits().HeaderBytes + cclimit.HeaderSlack }

// grow moves a part of a header to a buffer of at least a size, which it reserves.
func (c *Conn) grow(size int) bool {
	size = max(size, firstHeader)
	if !c.gate.reserve(&c.record, cclimit.PhaseHeader, int64(size), false) {
		return false
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	return true
}

// readMore reads more of a header into the buffer.
func (c *Conn) readMore() (int, error) {
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n > 0 {
		c.gate.enter(&c.record, cclimit.PhaseHeader)
	}
	return n, err
}

// begin takes a whole header and what follows it of its body. It returns the length of
// both. What follows them is kept for the next request.
func (c *Conn) begin(data []byte, end int) (int, error) {
	if end > c.maxHeader() {
		return 0, c.refuse(cclimit.ReasonHeaderBytes)
	}
	h := parseHead(data[c.skipped(data):end])
	if h.unclear {
		return 0, c.refuse(cclimit.ReasonMalformed)
	}
	c.body = newBody(h)
	taken := c.body.take(data[end:])
	if c.body.broken() {
		return 0, c.refuse(cclimit.ReasonMalformed)
	}
	rest := data[end+taken:]
	cost := int64(end)*cclimit.HeaderFactor + int64(h.lines+c.body.lines)*cclimit.LineCost + int64(taken)*cclimit.BytesFactor
	if len(c.buffer) == 0 {
		cost += int64(len(rest))
	}
	if !c.gate.reserve(&c.record, cclimit.PhaseBody, cost, !c.body.open()) {
		return 0, c.refuse(cclimit.ReasonMemory)
	}
	c.ahead, c.afterPost = false, h.post
	c.serving.Store(true)
	if len(c.buffer) == 0 && len(rest) > 0 {
		c.buffer = append(make([]byte, 0, len(rest)), rest...)
	}
	return end + taken, nil
}

// readBody passes on bytes of a body once their memory is reserved.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.body.state == bodyLength {
		// What follows the body stays in the socket.
		p = p[:min(int64(len(p)), c.body.left)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	taken := c.body.take(p[:n])
	if c.body.broken() {
		return 0, c.refuse(cclimit.ReasonMalformed)
	}
	rest := p[taken:n]
	cost := int64(taken)*cclimit.BytesFactor + int64(c.body.lines)*cclimit.LineCost + int64(len(rest))
	if !c.gate.reserve(&c.record, cclimit.PhaseBody, cost, !c.body.open()) {
		return 0, c.fail(cclimit.ReasonMemory)
	}
	if len(rest) > 0 {
		c.buffer = append(make([]byte, 0, len(rest)), rest...)
	}
	return taken, err
}

// finished notes that a request has been answered. What was read of the next one stays
// reserved.
func (c *Conn) finished() {
	c.outOfStep = !c.serving.Swap(false) || c.ready > 0 || c.body.open()
	c.gate.finish(&c.record, int64(cap(c.buffer)))
}

// Write passes on an answer. A client that doesn't read it is found by the next sweeps. What the
// server doesn't buffer is kept until the client has read it, so it is reserved.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) > serverBuffer && !c.gate.reserveAnswer(&c.record, int64(len(p))) {
		return 0, &cclimit.Error{Op: "write an answer", Kind: cclimit.KindRefused, Err: errReserve}
	}
	c.writingSince.Store(c.gate.now.Load())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.stream.Close()
}

// refuse answers a request of whose header or body the server has not seen the end, and ends
// the connection. What the server writes after it is lost.
func (c *Conn) refuse(reason cclimit.Reason) error {
	status, retry := "431 Request Header Fields Too Large", ""
	switch reason {
	case cclimit.ReasonMemory:
		status, retry = "503 Service Unavailable", fmt.Sprintf("Retry-After: %d\r\n", retryAfter)
	case cclimit.ReasonMalformed:
		status = "400 Bad Request"
	default:
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+retry+"Content-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
	_ = c.CloseWrite()
	return c.fail(reason)
}

// fail ends the connection. The handler answers if there is one.
func (c *Conn) fail(reason cclimit.Reason) error {
	if reason != cclimit.ReasonMemory { // The table has counted that.
		c.gate.count(reason)
	}
	c.buffer, c.next, c.ready = nil, 0, 0
	refused := &cclimit.Error{Op: "read " + reason.String(), Kind: cclimit.KindRefused, Err: errFinished}
	// The server answers an error of another type with 400.
	c.err = &net.OpError{Op: "read", Net: "tcp", Err: refused}
	return c.err
}

// Refused reports whether reading a body failed because the budget is used up. Nothing
// of the request has been acted on, so it may be answered with 503.
func Refused(err error) bool {
	var refused *cclimit.Error
	return errors.As(err, &refused) && refused.Kind == cclimit.KindRefused
}
