package ccclient

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
)

// startEntry starts a fake entry that responds to each request with the next
// body, and repeats the last one. An empty body drops the connection. It returns
// the address and the number of requests received.
func startEntry(t *testing.T, bodies ...string) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	calls := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		call := int(calls.Add(1))
		body := bodies[min(call, len(bodies))-1]
		if body == "" {
			panic(http.ErrAbortHandler) // Close the connection without a response.
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), calls
}

func submit(t *testing.T, entries ...netip.AddrPort) (ccjob.Outcome, error) {
	t.Helper()
	client := New(Config{Entries: entries})
	defer client.Close()
	return client.Submit(context.Background(), &ccjob.Spec{ID: "j", Service: "s", Team: "t", Deadline: 10 * time.Second, Payloads: []string{"p"}})
}

func assertState(t *testing.T, got ccjob.Outcome, err error, want ccjob.State) {
	t.Helper()
	if err != nil || got.State != want {
		t.Errorf("outcome is %+v, error %v, want state %s", got, err, want)
	}
}

const (
	complete = `{"jobID":"j","state":"complete","answers":[{"index":0,"payload":"a"}]}`
	draining = `{"jobID":"j","state":"refused","notRun":true,"kind":"draining"}`
	overload = `{"jobID":"j","state":"refused","notRun":true,"kind":"overload"}`
	failed   = `{"jobID":"j","state":"failed","notRun":false,"kind":"lost"}`
)

func TestSubmit(t *testing.T) {
	t.Run("returnsTheAnswers", func(t *testing.T) {
		entry, _ := startEntry(t, complete)
		outcome, err := submit(t, entry)
		assertState(t, outcome, err, ccjob.StateComplete)
		if len(outcome.Answers) != 1 || outcome.Answers[0].Payload != "a" {
			t.Errorf("answers are %v", outcome.Answers)
		}
	})
	t.Run("resubmitsAfterABrokenConnection", func(t *testing.T) {
		entry, calls := startEntry(t, "", complete)
		outcome, err := submit(t, entry)
		assertState(t, outcome, err, ccjob.StateComplete)
		// The transport may also retry on its own.
		if calls.Load() < 2 {
			t.Errorf("%d calls were made, want more than one", calls.Load())
		}
	})
	t.Run("triesAnotherEntryWhenOneDrains", func(t *testing.T) {
		first, _ := startEntry(t, draining)
		second, _ := startEntry(t, complete)
		outcome, err := submit(t, first, second)
		assertState(t, outcome, err, ccjob.StateComplete)
	})
	t.Run("triesAnotherEntryWhenOneIsUnreachable", func(t *testing.T) {
		second, _ := startEntry(t, complete)
		outcome, err := submit(t, netip.MustParseAddrPort("127.0.0.1:1"), second)
		assertState(t, outcome, err, ccjob.StateComplete)
	})
	t.Run("clearsNotRunAfterALostResponse", func(t *testing.T) {
		first, _ := startEntry(t, "")
		second, _ := startEntry(t, overload)
		outcome, err := submit(t, first, second)
		assertState(t, outcome, err, ccjob.StateRefused)
		if outcome.NotRun {
			t.Error("NotRun is set although the first entry may have run the job")
		}
	})
	t.Run("keepsARefusalForOverload", func(t *testing.T) {
		entry, calls := startEntry(t, overload, complete)
		outcome, err := submit(t, entry)
		assertState(t, outcome, err, ccjob.StateRefused)
		if calls.Load() != 1 {
			t.Errorf("%d calls were made, want 1", calls.Load())
		}
	})
	t.Run("neverResubmitsAFailedJob", func(t *testing.T) {
		entry, calls := startEntry(t, failed, complete)
		outcome, err := submit(t, entry)
		assertState(t, outcome, err, ccjob.StateFailed)
		if calls.Load() != 1 {
			t.Errorf("%d calls were made, want 1", calls.Load())
		}
	})
}

func TestSubmitOnce(t *testing.T) {
	t.Run("returnsKindRefusedWhenNothingWasSubmitted", func(t *testing.T) {
		client := New(Config{})
		_, err := client.SubmitOnce(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), &ccjob.Spec{ID: "j"})
		var clientErr *Error
		if !errors.As(err, &clientErr) || clientErr.Kind != KindRefused {
			t.Errorf("error is %v, want KindRefused", err)
		}
	})
	t.Run("sendsTheJob", func(t *testing.T) {
		data, err := marshalJob(&ccjob.Spec{ID: "j", Team: "t", Deadline: 2 * time.Second, Payloads: []string{"p"}})
		want := `{"jobID":"j","team":"t","deadline":"2s","idempotent":false,"tasks":[{"payload":"p"}]}`
		if err != nil || string(data) != want || !json.Valid(data) {
			t.Errorf("body is %s, error %v, want %s", data, err, want)
		}
	})
}
