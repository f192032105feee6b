package ccstore_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"camphorcroft/io/ccstore"
)

// FuzzAnswers lets the store answer anything. A write that may have taken effect
// must never be told as one that had none, unless the store says so itself.
func FuzzAnswers(f *testing.F) {
	f.Add(200, `{"revision":3}`)
	f.Add(200, `{"items":[{"key":"a","value":"eA==","revision":1}],"revision":9,"reset":true}`)
	f.Add(409, `{"kind":"conflict","reason":"raced"}`)
	f.Add(503, `{"kind":"unavailable"}`)
	f.Add(502, `<html>`)
	f.Add(204, ``)
	f.Add(301, `null`)
	type answer struct {
		status int
		body   string
	}
	var next atomic.Pointer[answer]
	client := clientOf(f, func(w http.ResponseWriter, _ *http.Request) {
		a := next.Load()
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(a.body))
	})
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 {
			return
		}
		next.Store(&answer{status, body})
		if kind := ccstore.KindOf(read(t.Context(), client)); kind == ccstore.KindUnknown {
			t.Errorf("status %d, %q: a read has kind %s", status, body, kind)
		}
		err := write(t.Context(), client)
		kind := ccstore.KindOf(err)
		if err != nil && kind == "" {
			t.Errorf("status %d, %q: a write's error has no kind: %v", status, body, err)
		}
		if err == nil && status != http.StatusOK {
			t.Errorf("status %d, %q: a write passed", status, body)
		}
		if _, err := client.Watch(t.Context(), "a", 1, time.Second); err != nil && ccstore.KindOf(err) == "" {
			t.Errorf("status %d, %q: a watch's error has no kind: %v", status, body, err)
		}
	})
}
