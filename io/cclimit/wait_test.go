package cclimit

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/cclimit"
)

// waitBound bounds each wait of these tests. It is far above what a wait may take.
const waitBound = 20 * time.Second

// stuckConn is a connection whose owner never notices that its socket is closed.
type stuckConn struct{}

func (stuckConn) Close() error { return nil }

// newStuckGate returns a gate with connections that are being closed and never end. They hold
// bytes of the share.
func newStuckGate(t *testing.T, connections int, bytes int64) *Gate {
	t.Helper()
	limits := cclimit.Derive(cclimit.Host{Memory: cclimit.MinMemory, Descriptors: cclimit.MinDescriptors})
	limits.BodyTimeout = time.Second
	gate := NewGate(Config{Limits: limits, Log: logr.Discard()})
	t.Cleanup(gate.Close)
	for range connections {
		c := &cclimit.Conn{Class: cclimit.ClassRequests, Closer: stuckConn{}, Granted: make(chan bool, 1)}
		if !gate.admit(c) || !gate.reserve(c, cclimit.PhaseBody, bytes/int64(connections), false) {
			t.Fatal("refused below the bounds")
		}
	}
	return gate
}

// evictAll chooses all connections of a gate to be closed.
func evictAll(gate *Gate) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.table.Expired(cclimit.ClassRequests, cclimit.Timeouts{}, time.Now().Add(time.Hour))
}

// assertEnds checks that something ends within waitBound.
func assertEnds(t *testing.T, what string, run func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	select {
	case <-ended:
	case <-time.After(waitBound):
		t.Fatalf("%s does not end", what)
	}
}

// Guards against a stop that hangs, and callers that are left without any answer, since
// connections that are being closed don't end.
func TestAcceptEndsWhileCrowded(t *testing.T) {
	gate := newStuckGate(t, 30, 30)
	evictAll(gate)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	limited := gate.HTTP(listener, server, cclimit.ClassRequests, nil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(limited)
	}()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	assertEnds(t, "a refused connection", func() { _, _ = caller.Read(make([]byte, 1)) })
	assertEnds(t, "the stop", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		<-served
	})
}

// Guards against requests that wait for good for the memory of others.
func TestReservationEnds(t *testing.T) {
	share := cclimit.Derive(cclimit.Host{Memory: cclimit.MinMemory, Descriptors: cclimit.MinDescriptors}).Shares[cclimit.ClassRequests].Bytes
	for name, end := range map[string]func(*Gate, *cclimit.Conn){
		"by its timeout": func(*Gate, *cclimit.Conn) {},
		"by the end of its connection": func(g *Gate, c *cclimit.Conn) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.table.Remove(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			gate := newStuckGate(t, 10, share)
			gate.setTimeouts(cclimit.ClassRequests, func() cclimit.Timeouts { return cclimit.Timeouts{} })
			c := &cclimit.Conn{Class: cclimit.ClassRequests, Closer: stuckConn{}, Granted: make(chan bool, 1)}
			if !gate.admit(c) {
				t.Fatal("refused below the bound")
			}
			time.AfterFunc(50*time.Millisecond, func() { end(gate, c) })
			assertEnds(t, "a reservation", func() {
				if gate.reserve(c, cclimit.PhaseBody, 1000, true) {
					t.Error("reserved beyond the share")
				}
			})
		})
	}
}

// Guards against peers that identify themselves once, fall silent, and keep out the processes
// of the fleet for good; and against closing those that are heard.
func TestSilentPeersGiveWay(t *testing.T) {
	limits := cclimit.Derive(cclimit.Host{Memory: cclimit.MinMemory, Descriptors: cclimit.MinDescriptors})
	limits.Shares[cclimit.ClassSessions].Connections = 3
	gate := NewGate(Config{Limits: limits, Log: logr.Discard()})
	t.Cleanup(gate.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan *Stream, 10)
	go func() {
		for limited := gate.Streams(listener); ; {
			socket, err := limited.Accept()
			if err != nil {
				return
			}
			s := socket.(*Stream)
			s.Identified()
			go func() { // Reads until the peer or the gate ends the connection.
				defer func() { _ = s.Close() }()
				for err := error(nil); err == nil; {
					_, err = s.Read(make([]byte, 1))
				}
			}()
			accepted <- s
		}
	}()
	var peers []net.Conn
	dial := func() net.Conn {
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = peer.Close() })
		return peer
	}
	var streams []*Stream
	for range 3 {
		peers = append(peers, dial())
		streams = append(streams, <-accepted)
	}
	refused := dial()
	assertEnds(t, "a connection beside active peers", func() { _, _ = refused.Read(make([]byte, 1)) })
	silent := streams[1]
	silent.received.Store(gate.now.Load() - int64(time.Minute))
	dial()
	assertEnds(t, "the wait for a connection", func() { <-accepted })
	assertEnds(t, "the silent peer's connection", func() { _, _ = peers[1].Read(make([]byte, 1)) })
	for _, active := range []*Stream{streams[0], streams[2]} {
		gate.mu.Lock()
		if active.record.Phase() >= cclimit.PhaseClosing {
			t.Error("the connection of an active peer is closed")
		}
		gate.mu.Unlock()
	}
}
