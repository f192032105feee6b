package ccstore_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"camphorcroft/io/ccstore"
)

// FuzzResponses sends arbitrary responses to the client. A write that may have
// taken effect must never be reported as one without effect, unless the store
// itself says so.
func FuzzResponses(f *testing.F) {
	f.Add(200, `{"revision":3}`)
	f.Add(200, `{"items":[{"key":"a","value":"eA==","revision":1}],"revision":9,"reset":true}`)
	f.Add(409, `{"kind":"conflict","reason":"raced"}`)
	f.Add(503, `{"kind":"unavailable"}`)
	f.Add(502, `<html>`)
	f.Add(204, ``)
	f.Add(301, `null`)
	type response struct {
		status int
		body   string
	}
	var next atomic.Pointer[response]
	client := newTestClient(f, func(w http.ResponseWriter, _ *http.Request) {
		resp := next.Load()
		w.WriteHeader(resp.status)
		_, _ = w.Write([]byte(resp.body))
	})
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 {
			return
		}
		next.Store(&response{status, body})
		if kind := ccstore.KindOf(read(t.Context(), client)); kind == ccstore.KindUnknown {
			t.Errorf("status %d, %q: read returned kind %s", status, body, kind)
		}
		err := write(t.Context(), client)
		kind := ccstore.KindOf(err)
		if err != nil && kind == "" {
			t.Errorf("status %d, %q: write returned an error without a kind: %v", status, body, err)
		}
		if err == nil && status != http.StatusOK {
			t.Errorf("status %d, %q: write succeeded", status, body)
		}
		if _, err := client.Watch(t.Context(), "a", 1, time.Second); err != nil && ccstore.KindOf(err) == "" {
			t.Errorf("status %d, %q: watch returned an error without a kind: %v", status, body, err)
		}
	})
}
