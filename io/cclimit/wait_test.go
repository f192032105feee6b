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
