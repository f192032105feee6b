package ccstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fuzzedAnswer is what the fuzzed store answers to every call.
type fuzzedAnswer struct {
	status int
	body   []byte
}

// FuzzAnswers lets the client read arbitrary answers. Every error has a kind,
// and a write that is said to have had no effect got an answer that says so.
func FuzzAnswers(f *testing.F) {
	f.Add(0, []byte(`{"revision":4}`))
	f.Add(0, []byte(`{"items":[{"key":"a","value":"!","revision":-1}],"revision":1e99}`))
	f.Add(209, []byte(`{"kind":"conflict"}`))
	f.Add(303, []byte(`{"kind":"unavailable","error":"x"}`))
	f.Add(300, []byte(`<html>`))
	f.Add(0, []byte(``))
	f.Add(0, []byte(`{}`))
	var answer atomic.Pointer[fuzzedAnswer]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := answer.Load()
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}))
	f.Cleanup(server.Close)
	client := NewClient(ClientConfig{Addr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Timeout: 10 * time.Second})
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		answer.Store(&fuzzedAnswer{status: 200 + (status&0x7fffffff)%400, body: body})
		ctx := context.Background()
		_, getErr := client.Get(ctx, "a")
		_, _, listErr := client.List(ctx, "a")
		_, watchErr := client.Watch(ctx, "a", 1, time.Millisecond)
		revision, swapErr := client.Swap(ctx, "a", 1, []byte("v"), NoLease)
		lease, grantErr := client.Grant(ctx, time.Second)
		deleteErr := client.Delete(ctx, "a", 1)
		for call, err := range map[Call]error{
			CallGet: getErr, CallList: listErr, CallWatch: watchErr, CallSwap: swapErr, CallGrant: grantErr, CallDelete: deleteErr,
		} {
			if err != nil && KindOf(err) == "" {
				t.Errorf("%s: an error without a kind: %v", call, err)
			}
		}
		if swapErr == nil && revision == 0 || grantErr == nil && lease == NoLease {
			t.Errorf("a success without its result: revision %d, lease %d", revision, lease)
		}
		var said struct {
			Kind Kind `json:"kind"`
		}
		_ = json.Unmarshal(body, &said)
		if kind := KindOf(swapErr); kind != "" && kind != KindUnknown && kind != said.Kind {
			t.Errorf("the write is said to have had no effect: %v\nstatus %d, body %q", swapErr, answer.Load().status, body)
		}
	})
}
