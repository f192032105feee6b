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
	defaultTimeout          = time.Second
	defaultMaxConnections   = 16
	defaultMaxResponseBytes = 64 << 20
	idleConnTimeout         = 90 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addr is the address of the store.
	Addr netip.AddrPort
	// Timeout limits the time until the response to a call begins. For a watch, its
	// wait is added. The response then goes on for as long as it makes progress, as
	// cctransfer defines it. The default is one second.
	Timeout time.Duration
	// MaxConnections limits the number of connections to the store. Further
	// calls wait for a connection within their timeout. The default is 16.
	MaxConnections int
	// MaxResponseBytes limits the size of a response body. A call with a larger
	// response fails. The default is 64 MiB.
	MaxResponseBytes int64
}

// Client implements Store over the store's HTTP API. It is safe for concurrent
// use. It makes each call once; the caller decides whether to retry.
type Client struct {
	cfg      ClientConfig
	http     *http.Client
	counters Counters
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It connects on the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	transport := &http.Transport{
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: cfg.MaxConnections,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// Counts returns the number of calls made so far.
func (c *Client) Counts() Counts { return c.counters.Counts() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.Get.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.do(ctx, request{
		call: CallGet, method: http.MethodGet, path: PathKey,
		query: url.Values{ParamKey: {key}}, result: &item,
	})
	return item, err
}

// List implements Store.List.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var change Change
	err := c.do(ctx, request{
		call: CallList, method: http.MethodGet, path: PathKeys,
		query: url.Values{ParamPrefix: {prefix}}, result: &change,
	})
	return change.Items, change.Revision, err
}

// Swap implements Store.Swap. Values larger than MaxValueBytes are rejected
// without a call.
func (c *Client) Swap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		err := fmt.Errorf("value has %d bytes, maximum is %d", len(value), MaxValueBytes)
		return 0, &Error{Op: string(CallSwap), Kind: KindInvalid, Err: err}
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	err := c.do(ctx, request{
		call: CallSwap, method: http.MethodPut, path: PathKey,
		query: url.Values{
			ParamKey:      {key},
			ParamExpected: {formatUint(expected)},
			ParamLease:    {formatUint(uint64(lease))},
		},
		body: value, result: &response,
	})
	if err == nil && response.Revision == 0 {
		err = c.failCall(CallSwap, true, errors.New("response has no revision"))
	}
	return response.Revision, err
}

// Delete implements Store.Delete.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	return c.do(ctx, request{
		call: CallDelete, method: http.MethodDelete, path: PathKey,
		query: url.Values{ParamKey: {key}, ParamExpected: {formatUint(expected)}},
	})
}

// Watch implements Store.Watch.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Change, error) {
	var change Change
	err := c.do(ctx, request{
		call: CallWatch, method: http.MethodGet, path: PathWatch, wait: wait,
		query: url.Values{
			ParamPrefix:   {prefix},
			ParamRevision: {formatUint(revision)},
			ParamWait:     {wait.String()},
		},
		result: &change,
	})
	return change, err
}

// Grant implements Store.Grant.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response struct {
		Lease LeaseID `json:"lease"`
	}
	err := c.do(ctx, request{
		call: CallGrant, method: http.MethodPost, path: PathLease,
		query: url.Values{ParamWait: {ttl.String()}}, result: &response,
	})
	if err == nil && response.Lease == NoLease {
		// The ID equals NoLease, so keys written with it would never expire.
		err = c.failCall(CallGrant, true, errors.New("response has no lease ID"))
	}
	return response.Lease, err
}

// Renew implements Store.Renew.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	return c.do(ctx, request{
		call: CallRenew, method: http.MethodPut, path: PathLease,
		query: url.Values{ParamLease: {formatUint(uint64(lease))}},
	})
}

// Revoke implements Store.Revoke.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.do(ctx, request{
		call: CallRevoke, method: http.MethodDelete, path: PathLease,
		query: url.Values{ParamLease: {formatUint(uint64(lease))}},
	})
}
