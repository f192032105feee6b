// Package ccrpc exchanges JSON-RPC 2.0 messages between the processes of the fleet.
//
// A Peer is one end of a connection; both ends may send requests and
// notifications. Messages from the remote end are handled one at a time in the
// order of arrival, so a handler that blocks must do so in its own goroutine.
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

// Handler handles the messages of the remote end.
type Handler interface {
	// Notified handles a notification. It must not block.
	Notified(peer *Peer, method string, params json.RawMessage)
	// Called handles a request. It must not block. It calls reply exactly once,
	// before or after it returns and from any goroutine. The result is any value
	// that can be encoded as JSON.
	Called(peer *Peer, method string, params json.RawMessage, reply func(result any, err error))
	// Closed is called after the connection has closed.
	Closed(peer *Peer)
}

// Peer is one end of a connection.
type Peer struct {
	conn   *jsonrpc2.Conn
	socket net.Conn
}

// Dial connects to addr. The context applies to dialing only, not to the connection.
func Dial(ctx context.Context, addr netip.AddrPort, handler Handler) (*Peer, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	socket, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindRefused, Err: err}
	}
	return newPeer(socket, handler), nil
}

// Serve accepts connections until the listener is closed.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		newPeer(socket, handler)
	}
}

// newCodec returns the codec for a connection, which is limited if it was accepted with
// limits.
func newCodec(socket net.Conn) jsonrpc2.ObjectCodec {
	if limiter, ok := socket.(limiter); ok {
		return &limitedCodec{limiter: limiter}
	}
	return jsonrpc2.VarintObjectCodec{}
}

func newPeer(socket net.Conn, handler Handler) *Peer {
	peer := &Peer{socket: socket}
	stream := jsonrpc2.NewBufferedStream(socket, newCodec(socket))
	// The library may call the adapter before peer.conn is set, so it waits for ready.
	ready := make(chan struct{})
	// Discards the library's logs: Handler.Closed already reports a lost connection.
	discardLogs := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	peer.conn = jsonrpc2.NewConn(context.Background(), stream, &adapter{peer: peer, handler: handler, ready: ready}, discardLogs)
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

// Notify sends a notification. A nil error means that the bytes were passed to the
// operating system, not that they were delivered.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	if err := p.conn.Notify(ctx, method, params); err != nil {
		return &Error{Op: method, Kind: KindNoReply, Err: err}
	}
	return nil
}

// RemoteAddr returns the address of the remote end.
func (p *Peer) RemoteAddr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(p.socket.RemoteAddr().String())
	return addr
}

// Close closes the connection.
func (p *Peer) Close() {
	_ = p.conn.Close()
}

// adapter implements jsonrpc2.Handler: it passes each message to the matching method
// of Handler.
type adapter struct {
	peer    *Peer
	handler Handler
	ready   <-chan struct{}
}

// Handle passes one message to the handler. The library calls it for one message at
// a time.
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

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRefused means that the connection could not be established. Nothing was sent.
	KindRefused Kind = "refused"
	// KindNoReply means that the message may or may not have been delivered.
	KindNoReply Kind = "noReply"
	// KindTooLarge means that the remote end sent a message over the limit.
	KindTooLarge Kind = "tooLarge"
)

// Error describes a failed operation. Op is "dial" or the method of the message.
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
