package ccrpc_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"camphorcroft/io/ccrpc"
)

// testTimeout stops a test that would otherwise hang. No test measures time with it.
const testTimeout = 20 * time.Second

// testHandler replies to each request from a separate goroutine once release is closed.
type testHandler struct {
	notifications chan int
	release       chan struct{}
	closed        chan struct{}
}

func newTestHandler() *testHandler {
	return &testHandler{notifications: make(chan int, 1000), release: make(chan struct{}), closed: make(chan struct{}, 1)}
}

func (h *testHandler) Notified(_ *ccrpc.Peer, _ string, params json.RawMessage) {
	var number int
	if json.Unmarshal(params, &number) == nil {
		h.notifications <- number
	}
}

func (h *testHandler) Called(_ *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	go func() {
		<-h.release
		if method == "refuse" {
			reply(nil, errors.New("request rejected"))
			return
		}
		reply(params, nil)
	}()
}

func (h *testHandler) Closed(*ccrpc.Peer) { h.closed <- struct{}{} }

// connect returns a client peer of a server whose messages go to the given handler.
func connect(t *testing.T, server *testHandler) (context.Context, *ccrpc.Peer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go ccrpc.Serve(listener, server)
	t.Cleanup(func() { _ = listener.Close() })
	peer, err := ccrpc.Dial(ctx, netip.MustParseAddrPort(listener.Addr().String()), newTestHandler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	return ctx, peer
}

func assertKind(t *testing.T, err error, want ccrpc.Kind) {
	t.Helper()
	var rpcError *ccrpc.Error
	if !errors.As(err, &rpcError) || rpcError.Kind != want {
		t.Errorf("got error %v, want kind %s", err, want)
	}
}

func assertEcho(ctx context.Context, t *testing.T, peer *ccrpc.Peer, number int) {
	t.Helper()
	var got int
	if err := peer.Call(ctx, "echo", number, &got); err != nil || got != number {
		t.Errorf("got reply %d (error %v), want %d", got, err, number)
	}
}

func TestMessages(t *testing.T) {
	t.Run("areHandledInOrder", func(t *testing.T) {
		server := newTestHandler()
		ctx, peer := connect(t, server)
		var got, want []int
		for number := range 500 {
			want = append(want, number)
			if err := peer.Notify(ctx, "note", number); err != nil {
				t.Fatal(err)
			}
		}
		for range want {
			select {
			case number := <-server.notifications:
				got = append(got, number)
			case <-ctx.Done():
				t.Fatalf("received %d messages, want %d", len(got), len(want))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("messages were handled out of order: %v", got)
		}
	})
	t.Run("areNotBlockedByPendingReply", func(t *testing.T) {
		server := newTestHandler()
		ctx, peer := connect(t, server)
		replied := make(chan error, 1)
		go func() {
			var got int
			replied <- peer.Call(ctx, "echo", 1, &got)
		}()
		if err := peer.Notify(ctx, "note", 2); err != nil {
			t.Fatal(err)
		}
		select {
		case <-server.notifications:
		case <-ctx.Done():
			t.Fatal("the notification was blocked by a pending reply")
		}
		close(server.release)
		if err := <-replied; err != nil {
			t.Error(err)
		}
	})
}

func TestReplies(t *testing.T) {
	server := newTestHandler()
	close(server.release)
	ctx, peer := connect(t, server)
	t.Run("fromAnotherGoroutine", func(t *testing.T) {
		for number := range 50 {
			assertEcho(ctx, t, peer, number)
		}
	})
	t.Run("withError", func(t *testing.T) {
		assertKind(t, peer.Call(ctx, "refuse", 1, nil), ccrpc.KindNoReply)
	})
}

func TestClosedPeer(t *testing.T) {
	t.Run("callAndNotifyFail", func(t *testing.T) {
		ctx, peer := connect(t, newTestHandler())
		peer.Close()
		assertKind(t, peer.Call(ctx, "echo", 1, nil), ccrpc.KindNoReply)
		assertKind(t, peer.Notify(ctx, "note", 1), ccrpc.KindNoReply)
	})
	t.Run("remoteHandlerIsClosed", func(t *testing.T) {
		server := newTestHandler()
		close(server.release)
		ctx, peer := connect(t, server)
		assertEcho(ctx, t, peer, 1)
		peer.Close()
		select {
		case <-server.closed:
		case <-ctx.Done():
			t.Error("Closed was not called")
		}
	})
	t.Run("noListener", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(listener.Addr().String())
		_ = listener.Close()
		_, err = ccrpc.Dial(context.Background(), addr, newTestHandler())
		assertKind(t, err, ccrpc.KindRefused)
	})
}
