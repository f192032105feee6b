package ccagent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"time"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccwire"
)

// runner gives tasks to the target. A task whose request may have been written
// is never sent again.
type runner struct {
	url       string
	transport *http.Transport
	client    *http.Client
}

func newRunner(target netip.AddrPort) *runner {
	transport := &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	client := &http.Client{
		Transport: transport,
		// A redirect would send the task a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &runner{url: "http://" + target.String() + "/", transport: transport, client: client}
}

func (r *runner) close() { r.transport.CloseIdleConnections() }

// body hides the kind of reader from the http package. That package resends a
// request with an Idempotency-Key on its own when a reused connection breaks,
// provided that the body is empty or can be read again; this one is neither.
type body struct{ io.Reader }

// Close ends the body.
func (body) Close() error { return nil }

// run gives the task to the target and waits for its answer. Until a connection
// was had, the task has provably not started.
func (r *runner) run(ctx context.Context, start ccagent.Start) ccagent.TaskResult {
	end := ccagent.TaskResult{Job: start.Job, Index: start.Index, Attempt: start.Attempt, Claim: start.Claim}
	began := time.Now()
	if began.After(start.LatestStart) {
		end.Code, end.Reason = ccwire.CodeStale, "the process was paused before the start"
		return end
	}
	ctx, cancel := context.WithTimeout(ctx, start.Budget+runGrace)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, nil)
	if err != nil {
		end.Code, end.Reason = ccwire.CodeRefused, err.Error()
		return end
	}
	req.Body, req.GetBody = body{strings.NewReader(start.Payload)}, nil
	req.ContentLength = int64(len(start.Payload))
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%s/%d", start.Job, start.Index))
	resp, err := r.client.Do(req)
	if err != nil {
		end.Code, end.Reason = ccwire.CodeLost, "the target's answer is lost: "+err.Error()
		if !connected {
			end.Code, end.Reason = ccwire.CodeRefused, "the target takes no connection: "+err.Error()
		}
		end.RunTime = time.Since(began)
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	r.read(resp, &end)
	end.RunTime = time.Since(began)
	return end
}

// read takes the answer into the end.
func (r *runner) read(resp *http.Response, end *ccagent.TaskResult) {
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		end.Code, end.Reason = ccwire.CodeLost, "the target's answer broke off: "+err.Error()
	case resp.StatusCode != http.StatusOK:
		end.Code, end.Reason = ccwire.CodeFailed, "the target answered "+resp.Status
	case len(answer) > maxAnswerBytes:
		end.Code, end.Reason = ccwire.CodeFailed, fmt.Sprintf("the answer has more than %d bytes", maxAnswerBytes)
	default:
		end.Code, end.Payload = ccwire.CodeDone, string(answer)
	}
}
