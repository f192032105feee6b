package cctransfer

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	opCall = "call"
	opRead = "read body"
	// readPart is the least by which the buffer of a body grows.
	readPart = 16 << 10
)

var (
	errNoResponse = errors.New("no response began in time")
	errSilent     = errors.New("nothing arrived for too long")
	errSlow       = errors.New("too little arrived")
	errTooLarge   = errors.New("body exceeds the limit")
)

// Guard ends one call that makes no progress. It is for one goroutine.
type Guard struct {
	limits Limits
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// began is when the response began. Zero is not yet.
	began    time.Time
	received int
}

// NewGuard starts the time until the response must begin. Stop must be called in the end.
func NewGuard(ctx context.Context, limits Limits) *Guard {
	g := &Guard{limits: limits.withDefaults(), parent: ctx}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.timer = time.AfterFunc(limits.Response, func() { g.cancel(errNoResponse) })
	return g
}

// Context returns the context of the call. It ends when the call is given up.
func (g *Guard) Context() context.Context { return g.ctx }

// Stop releases the guard's resources.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// Received returns the number of bytes of the body that have arrived.
func (g *Guard) Received() int { return g.received }

// Took returns the time since the response began.
func (g *Guard) Took() time.Duration {
	if g.began.IsZero() {
		return 0
	}
	return time.Since(g.began)
}

// ReadBody reads the body of the response for as long as it makes progress. Length is that of the
// body, or negative if it is unknown. A body that is large for the link leaves room for others.
func (g *Guard) ReadBody(body io.Reader, length int64, maxBytes int) ([]byte, error) {
	if !g.timer.Stop() {
		return nil, g.fail(opCall, errNoResponse)
	}
	g.began = time.Now()
	windowStart, windowReceived := g.began, 0
	pace := pacer{start: g.began, length: length}
	hurry := g.limits.Hurry != nil && g.limits.Hurry()
	g.timer = time.AfterFunc(g.limits.Silence, func() { g.cancel(errSilent) })
	var data []byte
	for {
		if cap(data)-len(data) < readPart {
			grown := make([]byte, len(data), max(2*cap(data), readPart))
			copy(grown, data)
			data = grown
		}
		readAt := time.Now()
		n, err := body.Read(data[len(data) : len(data)+pacedPart])
		data = data[:len(data)+n]
		g.received += n
		now := time.Now()
		pace.observe(n, now.Sub(readAt))
		switch {
		case len(data) > maxBytes:
			return nil, g.fail(opRead, errTooLarge)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, g.fail(opRead, err)
		case now.Sub(windowStart) < g.limits.Window:
		case g.received-windowReceived < g.limits.WindowBytes:
			g.cancel(errSlow)
			return nil, g.fail(opRead, errSlow)
		default:
			windowStart, windowReceived = now, g.received
		}
		if n > 0 {
			if !hurry {
				time.Sleep(pace.next(now, g.received))
			}
			g.timer.Reset(g.limits.Silence)
		}
	}
}

// Explain returns the error of a call that got no response. It names the limit if the call was
// given up for it.
func (g *Guard) Explain(err error) error {
	if errors.Is(context.Cause(g.ctx), errNoResponse) {
		return g.fail(opCall, err)
	}
	return err
}

// fail returns the error of a call that ended early, with the limit as its kind if there was one.
func (g *Guard) fail(op string, err error) error {
	e := &Error{Op: op, Kind: KindBroken, Received: g.received, Took: g.Took(), Err: err}
	cause := context.Cause(g.ctx)
	for _, limit := range []struct {
		err  error
		kind Kind
	}{{errNoResponse, KindNoResponse}, {errSilent, KindSilent}, {errSlow, KindSlow}, {errTooLarge, KindTooLarge}} {
		if errors.Is(err, limit.err) || errors.Is(cause, limit.err) {
			e.Kind, e.Err = limit.kind, limit.err
			break
		}
	}
	return e
}
