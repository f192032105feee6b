package ccpeer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// maxIdentifications limits how often a call asks for the incarnation of a connection. An answer
// may get lost.
const maxIdentifications = 2

// Config configures a Pool.
type Config struct {
	// Transport opens the connections.
	Transport *http.Transport
	Addr      netip.AddrPort
	// Connections limits the open connections. Further calls wait.
	Connections int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdentifyTimeout limits one call of Identify.
	IdentifyTimeout time.Duration
}

// Pool is a set of connections to one peer.
type Pool struct {
	cfg   Config
	slots chan struct{} // Holds an item for each call that has or opens a connection.

	mu   sync.Mutex
	idle []*conn // The most recently used one is the last.
}

// conn is a connection that at most one call uses at a time.
type conn struct {
	client *http.ClientConn
	// incarnation is that of the peer, or zero before it is known.
	incarnation time.Time
	usedAt      time.Time
}

// Call is a request, and the incarnation that it is meant for.
type Call struct {
	Request *http.Request
	// Incarnation is the start time of the only incarnation that may receive the request.
	// Zero is any.
	Incarnation time.Time
	// Identify asks which incarnation a connection leads to. It is needed only with
	// Incarnation.
	Identify func(ctx context.Context, conn http.RoundTripper) (time.Time, error)
	// MaxBytes limits the body of the response.
	MaxBytes int64
}

// Response is the response to a Call.
type Response struct {
	Status int
	Body   []byte
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, slots: make(chan struct{}, cfg.Connections)}
}

// Do sends a request once, and returns the response. Errors are of type *Error.
func (p *Pool) Do(call Call) (Response, error) {
	ctx := call.Request.Context()
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return Response{}, &Error{Op: OpConnect, Err: ctx.Err()}
	}
	defer func() { <-p.slots }()
	c, err := p.connect(ctx, call)
	if err != nil {
		return Response{}, err
	}
	response, err := exchange(c.client, call.Request, call.MaxBytes)
	if err != nil {
		_ = c.client.Close()
		return Response{}, &Error{Op: OpExchange, Err: err}
	}
	p.release(c)
	return response, nil
}

// connect returns a connection to the incarnation that a call names.
func (p *Pool) connect(ctx context.Context, call Call) (*conn, error) {
	for attempt := 1; ; attempt++ {
		c, err := p.take(ctx, call.Incarnation)
		if err != nil {
			return nil, &Error{Op: OpConnect, Err: err}
		}
		if call.Incarnation.IsZero() {
			return c, nil
		}
		if c.incarnation.IsZero() {
			err = p.identify(ctx, c, call)
		}
		switch {
		case err == nil && c.incarnation.Equal(call.Incarnation):
			return c, nil
		case err == nil:
			p.release(c)
			return nil, &Error{Op: OpIdentify, Found: c.incarnation, Err: errOtherIncarnation}
		}
		_ = c.client.Close()
		if attempt == maxIdentifications || ctx.Err() != nil {
			return nil, &Error{Op: OpIdentify, Err: err}
		}
	}
}

// take returns an idle connection to an incarnation, or one whose incarnation is not known.
func (p *Pool) take(ctx context.Context, incarnation time.Time) (*conn, error) {
	if c := p.takeIdle(incarnation); c != nil {
		return c, nil
	}
	client, err := p.cfg.Transport.NewClientConn(ctx, "http", p.cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	return &conn{client: client}, nil
}

// takeIdle returns nil if no idle connection suits. It closes those to other incarnations, whose
// answers may be old.
func (p *Pool) takeIdle(incarnation time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		unused := c.client.Err() != nil || now.Sub(c.usedAt) > p.cfg.IdleTimeout ||
			!incarnation.IsZero() && !c.incarnation.IsZero() && !c.incarnation.Equal(incarnation)
		if unused {
			_ = c.client.Close()
		}
		return unused
	})
	if len(p.idle) == 0 {
		return nil
	}
	at := len(p.idle) - 1
	for i, c := range slices.Backward(p.idle) {
		if !incarnation.IsZero() && c.incarnation.Equal(incarnation) {
			at = i
			break
		}
	}
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return c
}

// release makes a connection available to other calls, unless it can't be used again.
func (p *Pool) release(c *conn) {
	if c.client.Err() != nil {
		_ = c.client.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.usedAt = time.Now()
	p.idle = append(p.idle, c)
}

// identify finds the incarnation of a connection.
func (p *Pool) identify(ctx context.Context, c *conn, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.IdentifyTimeout)
	defer cancel()
	incarnation, err := call.Identify(ctx, c.client)
	if err == nil && incarnation.IsZero() {
		err = errors.New("the peer names no incarnation")
	}
	c.incarnation = incarnation
	return err
}

// exchange sends a request on a connection and reads the response.
func exchange(conn http.RoundTripper, request *http.Request, maxBytes int64) (Response, error) {
	response, err := conn.RoundTrip(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return Response{Status: response.StatusCode, Body: body}, err
}
