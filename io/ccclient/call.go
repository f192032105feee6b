package ccclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"camphorcroft/core/ccjob"
)

// call sends one request and decodes the outcome from its response. Half of
// AddedRoundTrip is slept before the request and half after the response.
func (c *Client) call(ctx context.Context, method string, entry netip.AddrPort, path string, body []byte) (ccjob.Outcome, error) {
	sleep(ctx, c.cfg.AddedRoundTrip/2)
	url := "http://" + entry.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ccjob.Outcome{}, newError(method, KindInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return ccjob.Outcome{}, newError(method, transportKind(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	outcome, err := readOutcome(response)
	if err != nil {
		return ccjob.Outcome{}, err
	}
	sleep(ctx, c.cfg.AddedRoundTrip/2)
	return outcome, nil
}

func marshalJob(spec *ccjob.Spec) ([]byte, error) {
	type task struct {
		Payload string `json:"payload"`
	}
	tasks := make([]task, len(spec.Payloads))
	for index, payload := range spec.Payloads {
		tasks[index].Payload = payload
	}
	return json.Marshal(struct {
		JobID      ccjob.ID `json:"jobID"`
		Team       string   `json:"team"`
		Deadline   string   `json:"deadline"`
		Idempotent bool     `json:"idempotent"`
		Tasks      []task   `json:"tasks"`
	}{spec.ID, spec.Team, spec.Deadline.String(), spec.Idempotent, tasks})
}

func readOutcome(response *http.Response) (ccjob.Outcome, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ccjob.Outcome{}, newError("read response", KindUnknown, err)
	}
	var body struct {
		JobID   ccjob.ID       `json:"jobID"`
		State   ccjob.State    `json:"state"`
		Answers []ccjob.Answer `json:"answers"`
		NotRun  bool           `json:"notRun"`
		Kind    ccjob.Kind     `json:"kind"`
		Reason  string         `json:"reason"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return ccjob.Outcome{}, newError("read response", KindInvalid, err)
	}
	outcome := ccjob.Outcome{
		JobID: body.JobID, State: body.State, Answers: body.Answers,
		NotRun: body.NotRun, Kind: body.Kind, Reason: body.Reason,
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		outcome.RetryAfter = time.Duration(seconds) * time.Second
	}
	return outcome, nil
}

// transportKind distinguishes a connection that was never established from one
// that broke.
func transportKind(err error) Kind {
	var operation *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return KindRefused
	case errors.As(err, &operation) && operation.Op == "dial":
		return KindRefused
	default:
		return KindUnknown
	}
}

// sleep waits for d, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
