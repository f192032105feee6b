package ccstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// request is one call on its way out.
type request struct {
	call   Call
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration
	answer any
}

func (c *Client) call(ctx context.Context, r request) error {
	c.counters.Count(r.call)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+r.wait)
	defer cancel()

	// Once a connection is had the request may have been sent. Before, it wasn't.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return &Error{Op: string(r.call), Kind: KindInvalid, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.noAnswer(r.call, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return c.noAnswer(r.call, true, err)
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		return c.noAnswer(r.call, true, fmt.Errorf("the answer has more than %d bytes", c.cfg.MaxResponseBytes))
	}
	return c.read(r, resp.StatusCode, body)
}

func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.cfg.Addr.String(), Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	return req, nil
}

// noAnswer returns the error of a call whose answer didn't come. A write that may
// have been sent has an unknown effect; anything else had none.
func (c *Client) noAnswer(call Call, sent bool, err error) error {
	c.counters.Fail()
	kind := KindUnavailable
	if sent && call.Writes() {
		kind = KindUnknown
	}
	return &Error{Op: string(call), Kind: kind, Err: err}
}

func (c *Client) read(r request, status int, body []byte) error {
	if status != http.StatusOK {
		return c.readError(r.call, status, body)
	}
	if r.answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, r.answer); err != nil {
		return c.noAnswer(r.call, true, fmt.Errorf("the answer can't be read: %w", err))
	}
	return nil
}

// readError returns the error that the store names. A status without a kind, as
// of a box in between, says nothing about the effect.
func (c *Client) readError(call Call, status int, body []byte) error {
	var answer struct {
		Kind   Kind   `json:"kind"`
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.noAnswer(call, true, fmt.Errorf("status %d and no readable reason: %w", status, err))
	}
	err := errors.New(answer.Reason)
	switch answer.Kind {
	case KindConflict, KindLeaseGone, KindInvalid:
		return &Error{Op: string(call), Kind: answer.Kind, Err: err}
	case KindUnavailable:
		c.counters.Fail()
		return &Error{Op: string(call), Kind: KindUnavailable, Err: err}
	default:
		return c.noAnswer(call, true, fmt.Errorf("status %d: %w", status, err))
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
