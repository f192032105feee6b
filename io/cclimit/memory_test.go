package cclimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"camphorcroft/core/cclimit"
)

// unreserved is what a connection may keep beyond what is reserved for it. It is a part of
// cclimit.ConnMemory.
const unreserved = 2 * firstHeader

// pieceConn is a client that sends a stream in pieces and then ends it.
type pieceConn struct {
	net.Conn
	stream []byte
	piece  func(most int) int
}

func (c *pieceConn) Read(p []byte) (int, error) {
	if len(c.stream) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece(len(p)))], c.stream)
	c.stream = c.stream[n:]
	return n, nil
}

func (c *pieceConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *pieceConn) Close() error                     { return nil }
func (c *pieceConn) SetWriteDeadline(time.Time) error { return nil }

// memoryServer reads requests as net/http does and checks after each step what the connection
// keeps.
type memoryServer struct {
	t      rapid.TB
	conn   *Conn
	ahead  []byte // Read while a request was served.
	passed int64  // The bytes of the current request that were passed on.
}

func (s *memoryServer) Read(p []byte) (int, error) {
	if len(s.ahead) > 0 {
		n := copy(p, s.ahead)
		s.ahead = s.ahead[n:]
		s.check("read ahead")
		return n, nil
	}
	n, err := s.conn.Read(p)
	s.passed += int64(n)
	s.check("read")
	return n, err
}

// check compares what is kept with what is reserved.
func (s *memoryServer) check(step string) {
	kept := int64(cap(s.conn.buffer)) + s.passed
	if held := s.conn.record.Held(); kept > held+unreserved {
		s.t.Fatalf("after %s: %d bytes are kept, %d in the buffer, and %d reserved", step, kept, cap(s.conn.buffer), held)
	}
}

// newMemoryGate returns a gate that lives as long as the test.
func newMemoryGate(t testing.TB) *Gate {
	gate := NewGate(Config{Limits: cclimit.Derive(cclimit.Host{Memory: cclimit.MinMemory, Descriptors: cclimit.MinDescriptors}), Log: logr.Discard()})
	t.Cleanup(gate.Close)
	return gate
}

// serveStream serves the requests of a stream. piece chooses the lengths of pieces and of the
// server's reads.
func serveStream(t rapid.TB, gate *Gate, stream []byte, piece func(most int) int) {
	socket := &pieceConn{stream: stream, piece: piece}
	limits := HTTPLimits{}.defaults()
	c := &Conn{stream: baseStream(socket, gate), limits: func() HTTPLimits { return limits }}
	c.record = newRecord(cclimit.ClassRequests, socket)
	gate.admit(&c.record)
	server := &memoryServer{t: t, conn: c}
	reader, read := bufio.NewReader(server), make([]byte, 1<<15)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		for err == nil {
			_, err = request.Body.Read(read[:piece(len(read))])
		}
		if !errors.Is(err, io.EOF) {
			break
		}
		if piece(2) == 1 {
			var next [1]byte
			n, err := c.Read(next[:])
			if err != nil {
				break
			}
			server.ahead = append(server.ahead, next[:n]...)
			server.check("the byte ahead")
		}
		c.finished()
		server.passed = int64(len(server.ahead))
		server.check("the answer")
	}
	_ = c.Close()
	if held := c.record.Held(); held != 0 {
		t.Fatalf("%d bytes are reserved after the end", held)
	}
}

func baseStream(socket net.Conn, gate *Gate) stream { return stream{Conn: socket, gate: gate} }

// streamRequest is a request of a stream: without a body, with one of a known length, or with
// one in chunks.
func streamRequest(kind, pad, length int) string {
	header := "POST /r HTTP/1.1\r\nHost: h\r\nX-Pad: " + strings.Repeat("p", pad) + "\r\n"
	body := strings.Repeat("b", length)
	switch kind {
	case 0:
		return header + "\r\n"
	case 1:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, length, body)
	default:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header, length+1, body+"b")
	}
}

// Guards against bytes that a connection keeps and that nothing is reserved for, whatever it
// receives and however it is read.
func TestKeptIsReserved(t *testing.T) {
	gate := newMemoryGate(t)
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		requests := rapid.IntRange(1, 60).Draw(t, "requests")
		pads, lengths := rapid.SampledFrom([]int{0, 1, 100, 900, 4000, 16000}), rapid.SampledFrom([]int{0, 1, 100, 5000, 70000})
		for range requests {
			stream.WriteString(streamRequest(rapid.IntRange(0, 2).Draw(t, "kind"), pads.Draw(t, "pad"), lengths.Draw(t, "length")))
		}
		cut := rapid.IntRange(0, 200).Draw(t, "cut")
		stream.Truncate(max(0, stream.Len()-cut))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "pieces"), 0))
		largest := rapid.SampledFrom([]int{1, 7, 600, 5000, 1 << 20}).Draw(t, "largest")
		serveStream(t, gate, stream.Bytes(), func(most int) int { return 1 + random.IntN(min(most, largest)) })
	})
}

// FuzzKeptIsReserved does the same with arbitrary bytes.
func FuzzKeptIsReserved(f *testing.F) {
	f.Add([]byte(strings.Repeat(streamRequest(0, 10, 0), 100)), uint64(1))
	f.Add([]byte(streamRequest(1, 10, 5000)+streamRequest(2, 2000, 3000)), uint64(2))
	gate := newMemoryGate(f)
	f.Fuzz(func(t *testing.T, stream []byte, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		serveStream(t, gate, stream, func(most int) int { return 1 + random.IntN(most) })
	})
}
