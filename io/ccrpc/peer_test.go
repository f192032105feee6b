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

// patience bounds a test that would hang; nothing is measured by it.
const patience = 20 * time.Second

// recorder answers each request from a goroutine of its own, when released.
type recorder struct {
	notes   chan int
	release chan struct{}
	closed  chan struct{}
}

func newRecorder() *recorder {
	return &recorder{notes: make(chan int, 1000), release: make(chan struct{}), closed: make(chan struct{}, 1)}
}

func (r *recorder) Notified(_ *ccrpc.Peer, _ string, params json.RawMessage) {
	var number int
	if json.Unmarshal(params, &number) == nil {
		r.notes <- number
	}
}

func (r *recorder) Called(_ *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	go func() {
		<-r.release
		if method == "refuse" {
			reply(nil, errors.New("not today"))
			return
		}
		reply(params, nil)
	}()
}

func (r *recorder) Closed(*ccrpc.Peer) { r.closed <- struct{}{} }

// connect returns a peer of a server that the recorder handles.
func connect(t *testing.T, server *recorder) (context.Context, *ccrpc.Peer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go ccrpc.Serve(listener, server)
	t.Cleanup(func() { _ = listener.Close() })
	peer, err := ccrpc.Dial(ctx, netip.MustParseAddrPort(listener.Addr().String()), newRecorder())
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
		t.Errorf("the error is %v, want one of kind %s", err, want)
	}
}

func assertEcho(ctx context.Context, t *testing.T, peer *ccrpc.Peer, number int) {
	t.Helper()
	var got int
	if err := peer.Call(ctx, "echo", number, &got); err != nil || got != number {
		t.Errorf("the reply is %d (%v), want %d", got, err, number)
	}
}

func TestMessages(t *testing.T) {
	t.Run("comeInTheirOrder", func(t *testing.T) {
		server := newRecorder()
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
			case number := <-server.notes:
				got = append(got, number)
			case <-ctx.Done():
				t.Fatalf("%d messages came, want %d", len(got), len(want))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("the order is %v", got)
		}
	})
	t.Run("passAReplyThatIsNotReady", func(t *testing.T) {
		server := newRecorder()
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
		case <-server.notes:
		case <-ctx.Done():
			t.Fatal("the notification waits for the reply")
		}
		close(server.release)
		if err := <-replied; err != nil {
			t.Error(err)
		}
	})
}

func TestReplies(t *testing.T) {
	server := newRecorder()
	close(server.release)
	ctx, peer := connect(t, server)
	t.Run("fromAnotherGoroutine", func(t *testing.T) {
		for number := range 50 {
			assertEcho(ctx, t, peer, number)
		}
	})
	t.Run("withAnError", func(t *testing.T) {
		assertKind(t, peer.Call(ctx, "refuse", 1, nil), ccrpc.KindNoReply)
	})
}

func TestClosedPeer(t *testing.T) {
	t.Run("callAndNotifyFail", func(t *testing.T) {
		ctx, peer := connect(t, newRecorder())
		peer.Close()
		assertKind(t, peer.Call(ctx, "echo", 1, nil), ccrpc.KindNoReply)
		assertKind(t, peer.Notify(ctx, "note", 1), ccrpc.KindNoReply)
	})
	t.Run("otherEndIsTold", func(t *testing.T) {
		server := newRecorder()
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
	t.Run("nobodyListens", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(listener.Addr().String())
		_ = listener.Close()
		_, err = ccrpc.Dial(context.Background(), addr, newRecorder())
		assertKind(t, err, ccrpc.KindRefused)
	})
}
