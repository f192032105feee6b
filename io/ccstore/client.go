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
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	defaultTimeout     = time.Second
	defaultConnections = 16
	defaultAnswerBytes = 64 << 20
	idleConnection     = 90 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addr is where the store listens.
	Addr netip.AddrPort
	// Timeout bounds one call. A watch has its wait on top. Zero is a second.
	Timeout time.Duration
	// Connections bounds the connections to the store; calls beyond them wait
	// within their timeout. Zero is 16.
	Connections int
	// AnswerBytes bounds one answer; a longer one fails the call. Zero is 64 MiB.
	AnswerBytes int64
}

// Client is the adapter to the store's HTTP interface. It is safe for concurrent
// use, and makes each call once: whoever calls decides whether to try again.
type Client struct {
	cfg      ClientConfig
	http     *http.Client
	counters Counters
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It connects with the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.AnswerBytes <= 0 {
		cfg.AnswerBytes = defaultAnswerBytes
	}
	transport := &http.Transport{
		MaxConnsPerHost:     cfg.Connections,
		MaxIdleConnsPerHost: cfg.Connections,
		IdleConnTimeout:     idleConnection,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// Counts returns how many calls were made.
func (c *Client) Counts() Counts { return c.counters.Counts() }

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the item.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.call(ctx, request{
		call: CallGet, method: http.MethodGet, path: PathKey,
		query: url.Values{ParamKey: {key}}, answer: &item,
	})
	return item, err
}

// List returns all items below the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var change Change
	err := c.call(ctx, request{
		call: CallList, method: http.MethodGet, path: PathKeys,
		query: url.Values{ParamPrefix: {prefix}}, answer: &change,
	})
	return change.Items, change.Revision, err
}

// Swap writes the value if the key's revision is the expected one.
func (c *Client) Swap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		err := fmt.Errorf("the value has %d bytes, more than %d", len(value), MaxValueBytes)
		return 0, &Error{Op: string(CallSwap), Kind: KindInvalid, Err: err}
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	err := c.call(ctx, request{
		call: CallSwap, method: http.MethodPut, path: PathKey,
		query: url.Values{
			ParamKey:      {key},
			ParamExpected: {formatUint(expected)},
			ParamLease:    {formatUint(uint64(lease))},
		},
		body: value, answer: &answer,
	})
	if err == nil && answer.Revision == 0 {
		err = c.noAnswer(CallSwap, true, errors.New("the answer has no revision"))
	}
	return answer.Revision, err
}

// Delete removes the key if its revision is the expected one.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	return c.call(ctx, request{
		call: CallDelete, method: http.MethodDelete, path: PathKey,
		query: url.Values{ParamKey: {key}, ParamExpected: {formatUint(expected)}},
	})
}

// Watch waits for a change below the prefix.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Change, error) {
	var change Change
	err := c.call(ctx, request{
		call: CallWatch, method: http.MethodGet, path: PathWatch, wait: wait,
		query: url.Values{
			ParamPrefix:   {prefix},
			ParamRevision: {formatUint(revision)},
			ParamWait:     {wait.String()},
		},
		answer: &change,
	})
	return change, err
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer struct {
		Lease LeaseID `json:"lease"`
	}
	err := c.call(ctx, request{
		call: CallGrant, method: http.MethodPost, path: PathLease,
		query: url.Values{ParamWait: {ttl.String()}}, answer: &answer,
	})
	if err == nil && answer.Lease == NoLease {
		// Keys under it would never vanish.
		err = c.noAnswer(CallGrant, true, errors.New("the answer has no lease"))
	}
	return answer.Lease, err
}

// Renew extends a lease by its time to live.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, request{
		call: CallRenew, method: http.MethodPut, path: PathLease,
		query: url.Values{ParamLease: {formatUint(uint64(lease))}},
	})
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, request{
		call: CallRevoke, method: http.MethodDelete, path: PathLease,
		query: url.Values{ParamLease: {formatUint(uint64(lease))}},
	})
}

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
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.AnswerBytes+1))
	if err != nil {
		return c.noAnswer(r.call, true, err)
	}
	if int64(len(body)) > c.cfg.AnswerBytes {
		return c.noAnswer(r.call, true, fmt.Errorf("the answer has more than %d bytes", c.cfg.AnswerBytes))
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
