// Package ccclient submits jobs to entries over HTTP.
//
// When a response is lost or an entry becomes unreachable, the client submits
// the same job ID again through another entry. This is safe because the fleet
// runs a job once and returns the same outcome to each submitter.
//
// # Usage
//
//	client := ccclient.New(ccclient.Config{Entries: []netip.AddrPort{addr}})
//	defer client.Close()
//	outcome, err := client.Submit(ctx, spec)
package ccclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"camphorcroft/core/ccjob"
)

const (
	defaultConnections = 256
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	initialBackoff     = 10 * time.Millisecond
	maxBackoff         = time.Second
	backoffFactor      = 2
	// responseGrace is how long after the job's deadline a response is still
	// awaited.
	responseGrace = 3 * time.Second
	// maxResponseBytes limits the response body. The maximum number of tasks with
	// maximum payloads would be more than any client here requests.
	maxResponseBytes = 256 << 20
)

// Config configures a Client.
type Config struct {
	// Entries are tried in round-robin order. At least one is required.
	Entries []netip.AddrPort
	// Connections limits the concurrent connections to each entry. Submissions
	// beyond the limit wait. Zero means 256.
	Connections int
	// AddedRoundTrip is a simulated network round trip that is added to each call.
	// Zero adds none.
	AddedRoundTrip time.Duration
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint64
}

// New returns a client. It opens no connection until the first call.
func New(cfg Config) *Client {
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     cfg.Connections,
		MaxIdleConnsPerHost: cfg.Connections,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit submits the job to one entry after another until it has an outcome that
// another submission would not change. The deadline counts from this call; each
// resubmission carries the remaining time. If no entry has returned an outcome
// by a few seconds after the deadline, the error is an *Error; KindRefused means
// that the job never reached an entry.
func (c *Client) Submit(ctx context.Context, spec *ccjob.Spec) (ccjob.Outcome, error) {
	deadline := time.Now().Add(spec.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	start := c.next.Add(1) - 1
	backoff := initialBackoff
	var unknownErr error // From a submission that may have reached an entry.
	for attempt := uint64(0); ; attempt++ {
		entry := c.cfg.Entries[(start+attempt)%uint64(len(c.cfg.Entries))]
		outcome, err := c.SubmitOnce(ctx, entry, spec)
		if err != nil && !isKind(err, KindRefused) {
			unknownErr = err
		}
		if err == nil && !shouldTryAnotherEntry(outcome) {
			return clearNotRunIfUnknown(outcome, unknownErr), nil
		}
		// Back off only after a full round, so each entry is tried once before
		// the first delay.
		if (attempt+1)%uint64(len(c.cfg.Entries)) == 0 {
			sleep(ctx, backoff/backoffFactor+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(backoff*backoffFactor, maxBackoff)
		}
		remaining := time.Until(deadline).Truncate(time.Millisecond)
		if ctx.Err() == nil && remaining > 0 {
			resubmission := *spec
			resubmission.Deadline = remaining
			spec = &resubmission
			continue
		}
		if err != nil && unknownErr != nil {
			err = unknownErr
		}
		return clearNotRunIfUnknown(outcome, unknownErr), err
	}
}

// clearNotRunIfUnknown clears a refusal's NotRun guarantee when an earlier
// submission may have had an effect, which the refusing entry can't know about.
func clearNotRunIfUnknown(outcome ccjob.Outcome, unknownErr error) ccjob.Outcome {
	outcome.NotRun = outcome.NotRun && unknownErr == nil
	return outcome
}

func isKind(err error, kind Kind) bool {
	var clientErr *Error
	return errors.As(err, &clientErr) && clientErr.Kind == kind
}

// shouldTryAnotherEntry reports whether the outcome reflects only the state of
// the entry that returned it, so that another entry may return a different one.
func shouldTryAnotherEntry(outcome ccjob.Outcome) bool {
	if outcome.State == ccjob.StateComplete {
		return false
	}
	return outcome.Kind == ccjob.KindUnavailable || outcome.Kind == ccjob.KindDraining
}

// SubmitOnce submits the job to one entry. An error means that the outcome is
// unknown, except for KindRefused, which means that the job did not reach the
// entry.
func (c *Client) SubmitOnce(ctx context.Context, entry netip.AddrPort, spec *ccjob.Spec) (ccjob.Outcome, error) {
	body, err := marshalJob(spec)
	if err != nil {
		return ccjob.Outcome{}, newError("submit", KindInvalid, err)
	}
	path := "/v1/services/" + spec.Service + "/jobs"
	return c.call(ctx, http.MethodPost, entry, path, body)
}

// State queries one entry for the outcome of a job.
func (c *Client) State(ctx context.Context, entry netip.AddrPort, id ccjob.ID) (ccjob.Outcome, error) {
	return c.call(ctx, http.MethodGet, entry, "/v1/jobs/"+string(id), nil)
}

// Cancel asks one entry to cancel the tasks of a job that have not started.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, id ccjob.ID) (ccjob.Outcome, error) {
	return c.call(ctx, http.MethodDelete, entry, "/v1/jobs/"+string(id), nil)
}
