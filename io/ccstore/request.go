package ccstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"camphorcroft/io/cctransfer"
)

// request describes a call to the HTTP API. wait extends the time until the
// response must begin, and a successful response is decoded into result unless that is nil.
type request struct {
	call   Call
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration
	result any
}

// do makes the call and decodes its response.
func (c *Client) do(ctx context.Context, r request) error {
	c.counters.Count(r.call)
	guard := cctransfer.NewGuard(ctx, cctransfer.Limits{Response: c.cfg.Timeout + r.wait})
	defer guard.Stop()

	// The request cannot have been sent before a connection was obtained. After
	// that it may have been.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(guard.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return &Error{Op: string(r.call), Kind: KindInvalid, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.failCall(r.call, connected.Load(), guard.Explain(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := guard.ReadBody(resp.Body, resp.ContentLength, int(c.cfg.MaxResponseBytes))
	if err != nil {
		return c.failCall(r.call, true, err)
	}
	return c.decodeResponse(r, resp.StatusCode, body)
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

// failCall counts a failed call and returns its error, for calls without a valid
// response. The effect of a write that may have been sent is unknown; any other
// call had no effect.
func (c *Client) failCall(call Call, sent bool, err error) error {
	c.counters.Fail()
	kind := KindUnavailable
	if sent && call.Writes() {
		kind = KindUnknown
	}
	return &Error{Op: string(call), Kind: kind, Err: err}
}

func (c *Client) decodeResponse(r request, status int, body []byte) error {
	if status != http.StatusOK {
		return c.decodeError(r.call, status, body)
	}
	if r.result == nil {
		return nil
	}
	if err := json.Unmarshal(body, r.result); err != nil {
		return c.failCall(r.call, true, fmt.Errorf("cannot decode response: %w", err))
	}
	return nil
}

// decodeError converts an error response of the store to an Error. A response
// without a known kind, such as one from an intermediate proxy, says nothing
// about the effect of the call.
func (c *Client) decodeError(call Call, status int, body []byte) error {
	var response struct {
		Kind   Kind   `json:"kind"`
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return c.failCall(call, true, fmt.Errorf("status %d, cannot decode error response: %w", status, err))
	}
	err := errors.New(response.Reason)
	switch response.Kind {
	case KindConflict, KindLeaseGone, KindInvalid:
		return &Error{Op: string(call), Kind: response.Kind, Err: err}
	case KindUnavailable:
		c.counters.Fail()
		return &Error{Op: string(call), Kind: KindUnavailable, Err: err}
	default:
		return c.failCall(call, true, fmt.Errorf("status %d: %w", status, err))
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
