package ccsession_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccsession"
)

// testTimeout limits each wait in a test. It is not a performance requirement.
const testTimeout = 20 * time.Second

// receivedMessage is a message copied from a call of Handler.Received.
type receivedMessage struct {
	kind ccwire.MessageKind
	body []byte
}

// recorder is a Handler that records its calls in channels.
type recorder struct {
	messages chan receivedMessage
	conns    chan *ccsession.Conn
	closed   chan struct{}
}

func newRecorder() *recorder {
	return &recorder{messages: make(chan receivedMessage, 4096), conns: make(chan *ccsession.Conn, 4096), closed: make(chan struct{}, 1)}
}

func (r *recorder) Received(conn *ccsession.Conn, kind ccwire.MessageKind, body []byte) {
	r.messages <- receivedMessage{kind: kind, body: append([]byte(nil), body...)}
	r.conns <- conn
}

func (r *recorder) Closed(*ccsession.Conn) { r.closed <- struct{}{} }

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

func connect(t *testing.T, server, client *recorder) *ccsession.Conn {
	t.Helper()
	listener, addr := listen(t)
	go ccsession.Serve(listener, server)
	conn, err := ccsession.Dial(context.Background(), addr, client)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

func receiveFrom[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

func TestMessages(t *testing.T) {
	t.Run("arrive complete and in order", func(t *testing.T) {
		server := newRecorder()
		conn := connect(t, server, newRecorder())
		for n := range uint64(500) {
			conn.Send(ccwire.MessageOrders, ccwire.Orders{Sequence: n})
		}
		for n := range uint64(500) {
			got := receiveFrom(t, "a message", server.messages)
			var orders ccwire.Orders
			if err := ccsession.Decode(got.body, &orders); err != nil || got.kind != ccwire.MessageOrders || orders.Sequence != n {
				t.Fatalf("message %d: got %v %v (%v)", n, got.kind, orders.Sequence, err)
			}
		}
	})
	t.Run("preserve every field", func(t *testing.T) {
		server := newRecorder()
		conn := connect(t, server, newRecorder())
		attach := fullAttach()
		conn.Send(ccwire.MessageAttach, attach)
		var got ccwire.Attach
		if err := ccsession.Decode(receiveFrom(t, "a message", server.messages).body, &got); err != nil || !reflect.DeepEqual(got, attach) {
			t.Errorf("got %+v (%v), want %+v", got, err, attach)
		}
		orders := fullOrders()
		conn.Send(ccwire.MessageOrders, orders)
		var gotOrders ccwire.Orders
		if err := ccsession.Decode(receiveFrom(t, "a message", server.messages).body, &gotOrders); err != nil || !reflect.DeepEqual(gotOrders, orders) {
			t.Errorf("got %+v (%v), want %+v", gotOrders, err, orders)
		}
	})
	t.Run("are sent in both directions", func(t *testing.T) {
		server, client := newRecorder(), newRecorder()
		conn := connect(t, server, client)
		conn.Send(ccwire.MessageIdentify, struct{}{})
		receiveFrom(t, "a message", server.messages)
		receiveFrom(t, "a connection", server.conns).Send(ccwire.MessageIdentifyReply, ccwire.IdentifyReply{Node: ccnode.Ref{ID: "entry-1"}})
		if got := receiveFrom(t, "a reply", client.messages); got.kind != ccwire.MessageIdentifyReply {
			t.Errorf("got %v", got.kind)
		}
	})
	t.Run("that cannot be decoded return an error", func(t *testing.T) {
		var sessionErr *ccsession.Error
		if err := ccsession.Decode([]byte{0xff, 0x00}, &ccwire.Orders{}); !errors.As(err, &sessionErr) || sessionErr.Kind != ccsession.KindUnreadable {
			t.Errorf("got %v", err)
		}
	})
}

func fullAttach() ccwire.Attach {
	task := ccwire.TaskRef{Job: "5c0e7a21d94b36f8", Index: 3}
	return ccwire.Attach{
		Node: ccnode.Ref{ID: "agent-1", Incarnation: 1 << 50}, Runs: []ccwire.RunRef{{Task: task, Order: 803}}, Session: 9, PreviousSession: 8,
		Report: ccwire.RunReport{
			ClockMS: 1 << 40, HandledSequence: 7, Free: ccresource.Amount{CPU: -5, Memory: 6, Accelerators: 1},
			Worker:         &ccwire.WorkerInfo{Domain: "north", Service: "proof", Labels: []string{"a", "r1"}, Capacity: ccresource.Amount{CPU: 16000}},
			PriorRunsEnded: true, ClosedReason: "worker is draining",
			Results:  []ccwire.RunResult{{Task: task, Order: 802, Outcome: ccwire.RunFailed, Reason: "r", RunMS: 12}},
			Progress: []ccwire.Progress{{Task: task, Order: 803, Percent: 40, ElapsedMS: 100}},
		},
	}
}

func fullOrders() ccwire.Orders {
	return ccwire.Orders{
		Sequence: 9, EchoMS: 123, CapacityIntervalMS: 20,
		Starts:  []ccwire.StartOrder{{Task: ccwire.TaskRef{Job: "j"}, Order: 804, Payload: "p", Need: ccresource.Amount{CPU: 1}}},
		Stops:   []ccwire.RunRef{{Task: ccwire.TaskRef{Job: "k", Index: 1}, Order: 801}},
		Entries: []ccsubset.Entry{{Addr: netip.MustParseAddrPort("10.1.0.13:7720"), Domain: "north"}}, PlanRevision: 4,
		Plan: &ccroute.Plan{
			Revision: 4, Version: 2, DomainsOut: map[string]bool{"north": true}, MaxBodyBytes: 10,
			Routes: []ccroute.Route{{Name: "n", Host: "h", Prefix: "/p/", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 1.6, Allowance: time.Second, Timeout: time.Minute}},
		},
	}
}

func TestClose(t *testing.T) {
	t.Run("the peer is notified", func(t *testing.T) {
		server := newRecorder()
		conn := connect(t, server, newRecorder())
		conn.Send(ccwire.MessageIdentify, struct{}{})
		receiveFrom(t, "a message", server.messages)
		conn.Close()
		receiveFrom(t, "Closed to be called", server.closed)
	})
	t.Run("an oversized message closes the connection", func(t *testing.T) {
		server := newRecorder()
		listener, addr := listen(t)
		go ccsession.Serve(listener, server)
		socket, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = socket.Close() }()
		if _, err := socket.Write([]byte{0xff, 0xff, 0xff, 0xff, 1}); err != nil {
			t.Fatal(err)
		}
		receiveFrom(t, "Closed to be called", server.closed)
	})
	t.Run("a peer that does not read is disconnected without blocking the sender", func(t *testing.T) {
		listener, addr := listen(t)
		client := newRecorder()
		conn, err := ccsession.Dial(context.Background(), addr, client)
		if err != nil {
			t.Fatal(err)
		}
		_ = listener
		payload := string(make([]byte, 1<<20))
		for range 2000 {
			conn.Send(ccwire.MessageOrders, ccwire.Orders{Starts: []ccwire.StartOrder{{Payload: payload}}})
		}
		receiveFrom(t, "Closed to be called", client.closed)
	})
	t.Run("dialing fails when nothing listens on the address", func(t *testing.T) {
		listener, addr := listen(t)
		_ = listener.Close()
		var sessionErr *ccsession.Error
		if _, err := ccsession.Dial(context.Background(), addr, newRecorder()); !errors.As(err, &sessionErr) || sessionErr.Kind != ccsession.KindUnreachable {
			t.Errorf("got %v", err)
		}
	})
}
