package ccreplay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	corereplay "camphorcroft/core/ccreplay"
	"camphorcroft/io/cccaller"
)

// Guards against tasks that run beside those of another entry: an entry that stood still
// reads requests whose callers have left since, and have sent their jobs elsewhere.
func TestRequestsOfCallersThatLeftAreNotStarted(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{hold: true}
	putPlan(t, store)
	addr := freeAddr(t)
	entry := startEntry(t, "entry-1", addr, 1, store)
	defer entry.Close()
	startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(entry))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 10
	for i := range requests {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(caller, "POST /j%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1", i); err != nil {
			t.Fatal(err)
		}
		_ = caller.Close()
	}
	time.Sleep(50 * time.Millisecond)
	states := make(chan corereplay.State, requests)
	server := &http.Server{
		ReadHeaderTimeout: waitLimit, ConnContext: cccaller.ConnContext,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			states <- entry.Submit(r.Context(), job(strings.Trim(r.URL.Path, "/"))).State
		}),
	}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()
	for range requests {
		if state := <-states; state != corereplay.StateUnknown {
			t.Errorf("state: got %s, want %s", state, corereplay.StateUnknown)
		}
	}
	time.Sleep(50 * time.Millisecond)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.starts > 0 {
		t.Errorf("%d tasks were started for callers that had left", worker.starts)
	}
}
