package cclimit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"camphorcroft/core/cclimit"
)

// stream is what connections of all kinds have in common.
type stream struct {
	net.Conn
	gate   *Gate
	record cclimit.Conn // The gate's mutex guards it.
	once   sync.Once
}

// Close closes the connection and releases what it holds.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.gate.mu.Lock()
		s.gate.table.Remove(&s.record)
		s.gate.collectIfNeeded()
		s.gate.mu.Unlock()
	})
	return s.Conn.Close()
}

// CloseWrite tells the client that nothing more is sent.
func (s *stream) CloseWrite() error {
	if conn, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SyscallConn gives access to the socket, as cccaller needs it.
func (s *stream) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := s.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Stream is a connection to another process that carries messages of a known length.
type Stream struct {
	stream
	received atomic.Int64 // When the peer last sent something, in nanoseconds.
}

// Read receives from the peer.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	s.received.Store(s.gate.now.Load())
	return n, err
}

// Close closes the connection and releases what it holds.
func (s *Stream) Close() error {
	s.gate.mu.Lock()
	delete(s.gate.streams, s)
	s.gate.mu.Unlock()
	return s.stream.Close()
}

// Identified marks the peer as a process of the fleet.
func (s *Stream) Identified() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.record.Identified = true
}

// MaxFrame returns the length of the largest message that the peer may send. A message of
// that length can be reserved when nothing else is.
func (s *Stream) MaxFrame() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	limits := s.gate.table.Limits()
	if !s.record.Identified {
		return int(limits.UnidentifiedBytes)
	}
	return int(limits.Shares[cclimit.ClassSessions].Bytes / cclimit.BytesFactor)
}

// Reserve reserves memory for bytes of a message that arrive. It reports false if the
// connection must be closed.
func (s *Stream) Reserve(bytes int) bool {
	return s.gate.reserve(&s.record, cclimit.PhaseBody, int64(bytes)*cclimit.BytesFactor, false)
}

// Done releases what was reserved for a message.
func (s *Stream) Done() { s.gate.finish(&s.record, 0) }

// RefuseFrame counts a message over the limit.
func (s *Stream) RefuseFrame() { s.gate.count(cclimit.ReasonFrame) }
