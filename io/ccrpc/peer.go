// Package ccrpc carries jsonrpc2 between the processes of the fleet.
//
// A Peer is one end of one connection; both ends may send requests and
// notifications. Messages from the other end are handled one after the other in
// the order in which they came, so a handler that waits must do so in a
// goroutine of its own.
//
// # Usage
//
//	peer, err := ccrpc.Dial(ctx, addr, handler)
//	err = peer.Call(ctx, ccwire.MethodHello, hello, &reply)
//	err = peer.Notify(ctx, ccwire.MethodDispatch, dispatch)
package ccrpc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout       = 500 * time.Millisecond
	keepAliveInterval = 5 * time.Second
)

// Handler takes the messages of the other end.
type Handler interface {
	// Notified takes a notification. It must not wait.
	Notified(peer *Peer, method string, params json.RawMessage)
	// Called takes a request. It must not wait: it calls reply once, now or
	// later, from any goroutine. The result is any value that JSON can write.
	Called(peer *Peer, method string, params json.RawMessage, reply func(result any, err error))
	// Closed tells that the connection has ended.
	Closed(peer *Peer)
}

// Peer is one end of a connection.
type Peer struct {
	conn   *jsonrpc2.Conn
	socket net.Conn
}

// Dial connects to addr. The context bounds the dialing alone.
func Dial(ctx context.Context, addr netip.AddrPort, handler Handler) (*Peer, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	socket, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindRefused, Err: err}
	}
	return newPeer(socket, handler), nil
}

// Serve accepts connections until the listener closes.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		newPeer(socket, handler)
	}
}

func newPeer(socket net.Conn, handler Handler) *Peer {
	peer := &Peer{socket: socket}
	stream := jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
	// The adapter may be called before conn is set below, so it waits for ready.
	ready := make(chan struct{})
	// Closed tells what the library would log.
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	peer.conn = jsonrpc2.NewConn(context.Background(), stream, &adapter{peer: peer, handler: handler, ready: ready}, quiet)
	close(ready)
	go func() {
		<-peer.conn.DisconnectNotify()
		handler.Closed(peer)
	}()
	return peer
}

// Call sends a request and waits for its reply.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	if err := p.conn.Call(ctx, method, params, result); err != nil {
		return &Error{Op: method, Kind: KindNoReply, Err: err}
	}
	return nil
}

// Notify sends a notification. No error means that the bytes were handed to the
// system, not that they arrived.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	if err := p.conn.Notify(ctx, method, params); err != nil {
		return &Error{Op: method, Kind: KindNoReply, Err: err}
	}
	return nil
}

// RemoteAddr returns the address of the other end.
func (p *Peer) RemoteAddr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(p.socket.RemoteAddr().String())
	return addr
}

// Close ends the connection.
func (p *Peer) Close() {
	_ = p.conn.Close()
}

// adapter turns the library's single callback into Handler's methods.
type adapter struct {
	peer    *Peer
	handler Handler
	ready   <-chan struct{}
}

// Handle is called by the library, one message at a time.
func (a *adapter) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		a.handler.Notified(a.peer, req.Method, params)
		return
	}
	a.handler.Called(a.peer, req.Method, params, func(result any, err error) {
		if err != nil {
			_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
			return
		}
		_ = conn.Reply(ctx, req.ID, result)
	})
}

// Kind sorts the errors of this package.
type Kind string

const (
	// KindRefused is a connection that could not be made. Nothing was sent.
	KindRefused Kind = "refused"
	// KindNoReply is a message that may or may not have arrived.
	KindNoReply Kind = "noReply"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("rpc: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
