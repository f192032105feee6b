package ccevent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

const (
	defaultTimeout  = 3 * time.Second
	defaultParallel = 32
	// maxReplyBytes bounds one process's answer. What is beyond is cut off and the
	// process counts as silent.
	maxReplyBytes = 64 << 20
)

// CollectorConfig bounds a collector. Zero fields take defaults.
type CollectorConfig struct {
	Timeout  time.Duration // For each process: 3 s by default.
	Parallel int           // Processes asked at once: 32 by default.
}

// Collector reads events from many processes.
type Collector struct {
	cfg    CollectorConfig
	client *http.Client
}

// Query asks one process.
type Query struct {
	Addr  netip.AddrPort
	After uint64   // Events with greater numbers.
	Job   ccjob.ID // Leaves out the events of other jobs. Empty leaves out none.
}

// Reply is what one process answered.
type Reply struct {
	Addr   netip.AddrPort
	Node   ccnode.Ref // Zero if the process did not say.
	Oldest uint64     // The oldest event that it keeps.
	Newest uint64
	Events []ccevent.Event
	Err    error // Why the process is silent, or nil.
}

// NewCollector returns a collector. Call Close when it is no longer needed.
func NewCollector(cfg CollectorConfig) *Collector {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Parallel <= 0 {
		cfg.Parallel = defaultParallel
	}
	return &Collector{cfg: cfg, client: &http.Client{Transport: &http.Transport{}}}
}

// Close ends idle connections.
func (c *Collector) Close() { c.client.CloseIdleConnections() }

// Collect asks all processes and returns one reply each, in their order.
func (c *Collector) Collect(ctx context.Context, queries []Query) []Reply {
	replies := make([]Reply, len(queries))
	next := make(chan int)
	var group sync.WaitGroup
	for range min(c.cfg.Parallel, len(queries)) {
		group.Go(func() {
			for i := range next {
				replies[i] = c.ask(ctx, queries[i])
			}
		})
	}
	for i := range queries {
		next <- i
	}
	close(next)
	group.Wait()
	return replies
}

func (c *Collector) ask(ctx context.Context, query Query) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	reply := Reply{Addr: query.Addr}
	if err := c.read(ctx, query, &reply); err != nil {
		reply.Events = nil
		reply.Err = &Error{Op: "ask " + query.Addr.String(), Kind: KindSilent, Err: err}
	}
	return reply
}

func (c *Collector) read(ctx context.Context, query Query, reply *Reply) error {
	values := url.Values{"after": {strconv.FormatUint(query.After, 10)}}
	if query.Job != "" {
		values.Set("job", string(query.Job))
	}
	address := url.URL{Scheme: "http", Host: query.Addr.String(), Path: "/events", RawQuery: values.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	reply.describe(response.Header)
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply.Events)
}

func (r *Reply) describe(header http.Header) {
	r.Node.ID = ccnode.ID(header.Get(headerNode))
	r.Node.Incarnation = ccnode.Incarnation(headerNumber(header, headerIncarnation))
	r.Oldest = headerNumber(header, headerOldest)
	r.Newest = headerNumber(header, headerNewest)
}

// headerNumber returns zero for a header that is missing or no number.
func headerNumber(header http.Header, name string) uint64 {
	n, _ := strconv.ParseUint(header.Get(name), 10, 64)
	return n
}
