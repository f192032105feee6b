package cctransfer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"camphorcroft/io/cctransfer"
)

// testLimits are short, and far apart from each other.
var testLimits = cctransfer.Limits{Response: 400 * time.Millisecond, Silence: 400 * time.Millisecond, Window: 600 * time.Millisecond, WindowBytes: 1000}

// fetch calls a server with the handler under testLimits.
func fetch(t *testing.T, handler http.HandlerFunc) ([]byte, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	defer server.CloseClientConnections()
	guard := cctransfer.NewGuard(context.Background(), testLimits)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(guard.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, guard.Explain(err)
	}
	defer func() { _ = response.Body.Close() }()
	return guard.ReadBody(response.Body, response.ContentLength, 1<<20)
}

// sendPieces writes n pieces of size bytes with a pause after each.
func sendPieces(w http.ResponseWriter, r *http.Request, n, size int, pause time.Duration) {
	for range n {
		if _, err := w.Write(make([]byte, size)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

func expectKind(t *testing.T, err error, kind cctransfer.Kind) {
	t.Helper()
	var e *cctransfer.Error
	if !errors.As(err, &e) || e.Kind != kind {
		t.Errorf("error: got %v, want kind %s", err, kind)
	}
}

// Guards against a response that is given up although it arrives, and against one that never ends.
func TestGuard(t *testing.T) {
	t.Run("a body that takes longer than any limit arrives", func(t *testing.T) {
		body, err := fetch(t, func(w http.ResponseWriter, r *http.Request) { sendPieces(w, r, 30, 1000, 50*time.Millisecond) })
		if err != nil || len(body) != 30_000 {
			t.Errorf("got %d bytes, %v", len(body), err)
		}
	})
	t.Run("no response", func(t *testing.T) {
		_, err := fetch(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		expectKind(t, err, cctransfer.KindNoResponse)
	})
	t.Run("a body that stops", func(t *testing.T) {
		_, err := fetch(t, func(w http.ResponseWriter, r *http.Request) {
			sendPieces(w, r, 1, 5000, 0)
			<-r.Context().Done()
		})
		expectKind(t, err, cctransfer.KindSilent)
		if cctransfer.Cost(err) < testLimits.Silence {
			t.Errorf("cost: got %v, want the silence at least", cctransfer.Cost(err))
		}
	})
	t.Run("a body that trickles", func(t *testing.T) {
		_, err := fetch(t, func(w http.ResponseWriter, r *http.Request) { sendPieces(w, r, 100_000, 1, 50*time.Millisecond) })
		expectKind(t, err, cctransfer.KindSlow)
	})
	t.Run("a body that is too large", func(t *testing.T) {
		_, err := fetch(t, func(w http.ResponseWriter, r *http.Request) { sendPieces(w, r, 2, 1<<20, 0) })
		expectKind(t, err, cctransfer.KindTooLarge)
	})
}
