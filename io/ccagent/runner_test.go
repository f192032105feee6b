package ccagent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccwire"
)

// rudeTarget answers the first request of each connection and drops the
// connection after it has read the second.
type rudeTarget struct {
	net.Listener
	mu   sync.Mutex
	seen map[string]int
}

func newRudeTarget(t *testing.T) *rudeTarget {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rudeTarget{Listener: socket, seen: make(map[string]int)}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (r *rudeTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.mu.Lock()
		r.seen[req.Header.Get("Idempotency-Key")]++
		r.mu.Unlock()
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func testStart(index int, payload string) ccagent.Start {
	return ccagent.Start{Job: "j", Index: index, Attempt: 1, Claim: 1, Payload: payload, Budget: 10 * time.Second, LatestStart: time.Now().Add(time.Minute)}
}

func assertCode(t *testing.T, end ccagent.TaskResult, want ccwire.TaskCode) {
	t.Helper()
	if end.Code != want {
		t.Fatalf("task %d ended with %s (%s), want %s", end.Index, end.Code, end.Reason, want)
	}
}

func TestRunner(t *testing.T) {
	for _, payload := range []string{"x", ""} {
		t.Run("a dropped connection is never followed by a second request, payload "+payload, func(t *testing.T) {
			target := newRudeTarget(t)
			r := newRunner(addrOf(target.Addr()))
			defer r.close()
			for index := range 10 {
				want := ccwire.CodeDone
				if index%2 == 1 {
					want = ccwire.CodeLost
				}
				assertCode(t, r.run(t.Context(), testStart(index, payload)), want)
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			for key, n := range target.seen {
				if n != 1 {
					t.Errorf("%s was sent %d times", key, n)
				}
			}
			if len(target.seen) != 10 {
				t.Errorf("saw %d keys, want 10", len(target.seen))
			}
		})
	}
	t.Run("a refused connection is not a start", func(t *testing.T) {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := addrOf(socket.Addr())
		_ = socket.Close()
		r := newRunner(addr)
		defer r.close()
		assertCode(t, r.run(t.Context(), testStart(0, "x")), ccwire.CodeRefused)
	})
	t.Run("a start that comes too late is not made", func(t *testing.T) {
		target := newRudeTarget(t)
		r := newRunner(addrOf(target.Addr()))
		defer r.close()
		late := testStart(0, "x")
		late.LatestStart = time.Now().Add(-time.Second)
		assertCode(t, r.run(t.Context(), late), ccwire.CodeStale)
		target.mu.Lock()
		defer target.mu.Unlock()
		if len(target.seen) != 0 {
			t.Fatalf("the target saw %v", target.seen)
		}
	})
	t.Run("answers", func(t *testing.T) {
		answers := map[string]struct {
			status, bytes int
			want          ccwire.TaskCode
		}{
			"whole":       {http.StatusOK, 10, ccwire.CodeDone},
			"error":       {http.StatusInternalServerError, 0, ccwire.CodeFailed},
			"redirect":    {http.StatusTemporaryRedirect, 0, ccwire.CodeFailed},
			"over length": {http.StatusOK, maxAnswerBytes + 1, ccwire.CodeFailed},
		}
		for name, c := range answers {
			t.Run(name, func(t *testing.T) {
				addr := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Location", "/")
					w.WriteHeader(c.status)
					_, _ = w.Write(make([]byte, c.bytes))
				})
				r := newRunner(addr)
				defer r.close()
				assertCode(t, r.run(t.Context(), testStart(0, "x")), c.want)
			})
		}
	})
}

func serveHTTP(t *testing.T, handle http.HandlerFunc) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return addrOf(socket.Addr())
}
