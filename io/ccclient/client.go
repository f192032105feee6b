// Package ccclient submits jobs to entries over HTTP.
//
// A client may lose an answer, or its entry. It then submits the same job ID
// again at another entry, which is safe: the fleet runs a job once and gives
// each submitter the same outcome.
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
	firstPause         = 10 * time.Millisecond
	longestPause       = time.Second
	pauseGrowth        = 2
	// answerGrace is how much longer than the deadline an answer is awaited.
	answerGrace = 3 * time.Second
	// maxAnswerBytes bounds an answer: the greatest number of tasks with the
	// greatest payloads would be more than any client here asks for.
	maxAnswerBytes = 256 << 20
)

// Config configures a Client.
type Config struct {
	// Entries are tried in turn. At least one is needed.
	Entries []netip.AddrPort
	// Connections bounds the connections to one entry. A submission beyond it
	// waits. Zero is 256.
	Connections int
	// AddedRoundTrip is a round trip that is added to each call. Zero adds none.
	AddedRoundTrip time.Duration
}

// Client submits jobs. Its methods may be called from any goroutine.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint64
}

// New returns a client.
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

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit submits the job until it has an outcome that another submission would
// not change, at one entry after the other. The deadline counts from here; a
// later submission asks for what is left of it. The error is an *Error, when no
// entry gave any outcome until a few seconds after the deadline; KindRefused
// says that the job never reached one.
func (c *Client) Submit(ctx context.Context, spec *ccjob.Spec) (ccjob.Outcome, error) {
	due := time.Now().Add(spec.Deadline)
	ctx, cancel := context.WithDeadline(ctx, due.Add(answerGrace))
	defer cancel()
	first := c.next.Add(1) - 1
	pause := firstPause
	var unknown error // A submission that may have had an effect.
	for attempt := uint64(0); ; attempt++ {
		entry := c.cfg.Entries[(first+attempt)%uint64(len(c.cfg.Entries))]
		outcome, err := c.SubmitOnce(ctx, entry, spec)
		if err != nil && !isKind(err, KindRefused) {
			unknown = err
		}
		if err == nil && !worthAnotherEntry(outcome) {
			return afterUnknown(outcome, unknown), nil
		}
		// Each entry is tried once before the first pause.
		if (attempt+1)%uint64(len(c.cfg.Entries)) == 0 {
			sleep(ctx, pause/pauseGrowth+time.Duration(rand.Int64N(int64(pause))))
			pause = min(pause*pauseGrowth, longestPause)
		}
		left := time.Until(due).Truncate(time.Millisecond)
		if ctx.Err() == nil && left > 0 {
			again := *spec
			again.Deadline = left
			spec = &again
			continue
		}
		if err != nil && unknown != nil {
			err = unknown
		}
		return afterUnknown(outcome, unknown), err
	}
}

// afterUnknown takes back the promise of a refusal when an earlier submission
// may have had an effect, of which the refusing entry can't know.
func afterUnknown(outcome ccjob.Outcome, unknown error) ccjob.Outcome {
	outcome.NotRun = outcome.NotRun && unknown == nil
	return outcome
}

func isKind(err error, kind Kind) bool {
	var own *Error
	return errors.As(err, &own) && own.Kind == kind
}

// worthAnotherEntry reports whether an outcome is the entry's own and another
// entry may know better.
func worthAnotherEntry(outcome ccjob.Outcome) bool {
	if outcome.State == ccjob.StateComplete {
		return false
	}
	return outcome.Kind == ccjob.KindUnavailable || outcome.Kind == ccjob.KindDraining
}

// SubmitOnce submits the job at one entry. An error says that the outcome is not
// known, but for KindRefused, which says that the job did not reach the entry.
func (c *Client) SubmitOnce(ctx context.Context, entry netip.AddrPort, spec *ccjob.Spec) (ccjob.Outcome, error) {
	body, err := marshalJob(spec)
	if err != nil {
		return ccjob.Outcome{}, newError("submit", KindInvalid, err)
	}
	path := "/v1/services/" + spec.Service + "/jobs"
	return c.call(ctx, http.MethodPost, entry, path, body)
}

// State asks one entry for a job.
func (c *Client) State(ctx context.Context, entry netip.AddrPort, id ccjob.ID) (ccjob.Outcome, error) {
	return c.call(ctx, http.MethodGet, entry, "/v1/jobs/"+string(id), nil)
}

// Cancel asks one entry to cancel what has not started of a job.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, id ccjob.ID) (ccjob.Outcome, error) {
	return c.call(ctx, http.MethodDelete, entry, "/v1/jobs/"+string(id), nil)
}
