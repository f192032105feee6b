package cccaller

import (
	"context"
	"net"
	"testing"
	"time"
)

// connect returns the context of a connection that was accepted, and the caller's end of it.
func connect(t *testing.T) (context.Context, *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return ConnContext(context.Background(), accepted), caller
}

func wantLeft(ctx context.Context, t *testing.T) {
	t.Helper()
	for range 200 {
		if Left(ctx) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the caller has left, and counts as waiting")
}

// Guards against jobs that are refused because their callers are taken to have left.
func TestCallerWaits(t *testing.T) {
	ctx, caller := connect(t)
	if Left(ctx) {
		t.Error("a caller that waits counts as gone")
	}
	if _, err := caller.Write([]byte("more")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	if Left(ctx) {
		t.Error("a caller that has sent more counts as gone")
	}
	if Left(context.Background()) {
		t.Error("the caller of a request without a connection counts as gone")
	}
}

// Guards against jobs that are started for callers that are gone.
func TestCallerLeft(t *testing.T) {
	t.Run("closed", func(t *testing.T) {
		ctx, caller := connect(t)
		_ = caller.Close()
		wantLeft(ctx, t)
	})
	t.Run("reset", func(t *testing.T) {
		ctx, caller := connect(t)
		_ = caller.SetLinger(0)
		_ = caller.Close()
		wantLeft(ctx, t)
		wantLeft(ctx, t)
	})
	t.Run("closed here", func(t *testing.T) {
		ctx, _ := connect(t)
		_ = ctx.Value(connKey{}).(net.Conn).Close()
		wantLeft(ctx, t)
	})
	t.Run("context ended", func(t *testing.T) {
		ctx, _ := connect(t)
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		wantLeft(ctx, t)
	})
}
