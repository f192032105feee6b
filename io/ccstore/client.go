package ccstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
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
	// MaxConnections bounds the connections to the store; calls beyond them wait
	// within their timeout. Zero is 16.
	MaxConnections int
	// MaxResponseBytes bounds one answer; a longer one fails the call. Zero is 64 MiB.
	MaxResponseBytes int64
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
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultConnections
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = defaultAnswerBytes
	}
	transport := &http.Transport{
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: cfg.MaxConnections,
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
