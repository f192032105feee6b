package ccpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// peer is a server that names its incarnation at /who.
type peer struct {
	server      *httptest.Server
	incarnation time.Time
	connections atomic.Int64
	requests    atomic.Int64 // Those of other paths.
	questions   atomic.Int64
	// lostAnswers is how many questions get no answer.
	lostAnswers atomic.Int64
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{incarnation: time.UnixMilli(1000)}
	p.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/who" {
			p.requests.Add(1)
			return
		}
		p.questions.Add(1)
		if p.lostAnswers.Add(-1) >= 0 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, strconv.FormatInt(p.incarnation.UnixMilli(), 10))
	}))
	p.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			p.connections.Add(1)
		}
	}
	p.server.Start()
	t.Cleanup(p.server.Close)
	return p
}

func (p *peer) pool(connections int) *Pool {
	return New(Config{
		Transport: &http.Transport{}, Addr: netip.MustParseAddrPort(p.server.Listener.Addr().String()),
		Connections: connections, IdleTimeout: time.Minute, IdentifyTimeout: 50 * time.Millisecond,
	})
}

// do sends a request for an incarnation, with a time limit of a second.
func (p *peer) do(t *testing.T, pool *Pool, incarnation time.Time) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.server.URL+"/call", nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = pool.Do(Call{Request: request, Incarnation: incarnation, MaxBytes: 100, Identify: func(ctx context.Context, conn http.RoundTripper) (time.Time, error) {
		question, err := http.NewRequestWithContext(ctx, http.MethodGet, p.server.URL+"/who", nil)
		if err != nil {
			return time.Time{}, err
		}
		answer, err := exchange(conn, question, 100)
		if err != nil {
			return time.Time{}, err
		}
		ms, err := strconv.ParseInt(string(answer.Body), 10, 64)
		return time.UnixMilli(ms), err
	}})
	return err
}

func TestPool(t *testing.T) {
	// Guards against a call that costs two round trips.
	t.Run("a connection is identified once", func(t *testing.T) {
		p := newPeer(t)
		pool := p.pool(2)
		for range 10 {
			if err := p.do(t, pool, p.incarnation); err != nil {
				t.Fatal(err)
			}
		}
		if p.connections.Load() != 1 || p.questions.Load() != 1 || p.requests.Load() != 10 {
			t.Errorf("got %d connections, %d questions and %d requests, want 1, 1 and 10", p.connections.Load(), p.questions.Load(), p.requests.Load())
		}
	})
	t.Run("a call for any incarnation asks nothing", func(t *testing.T) {
		p := newPeer(t)
		if err := p.do(t, p.pool(2), time.Time{}); err != nil || p.questions.Load() != 0 {
			t.Errorf("got %v and %d questions, want none", err, p.questions.Load())
		}
	})
	// Guards against a call that reaches an incarnation which it is not for.
	t.Run("another incarnation gets nothing and is named", func(t *testing.T) {
		p := newPeer(t)
		pool := p.pool(2)
		earlier := p.incarnation.Add(-time.Second)
		if err := p.do(t, pool, earlier); !NotSent(err) || !Found(err).Equal(p.incarnation) {
			t.Errorf("got %v, want that %v was found", err, p.incarnation)
		}
		if p.requests.Load() != 0 {
			t.Errorf("requests: got %d, want 0", p.requests.Load())
		}
		if err := p.do(t, pool, p.incarnation); err != nil || p.questions.Load() != 1 {
			t.Errorf("a call for the incarnation that was found: got %v and %d questions, want none and 1", err, p.questions.Load())
		}
	})
	// Guards against an incarnation that is named by an answer from before it was replaced.
	t.Run("connections to other incarnations are not used", func(t *testing.T) {
		p := newPeer(t)
		pool := p.pool(2)
		if err := p.do(t, pool, p.incarnation); err != nil {
			t.Fatal(err)
		}
		p.incarnation = p.incarnation.Add(-time.Millisecond)
		if err := p.do(t, pool, p.incarnation); err != nil {
			t.Errorf("got %v, want a call on a new connection", err)
		}
	})
	t.Run("one lost answer costs a connection", func(t *testing.T) {
		p := newPeer(t)
		p.lostAnswers.Store(1)
		if err := p.do(t, p.pool(1), p.incarnation); err != nil || p.connections.Load() != 2 {
			t.Errorf("got %v with %d connections, want none with 2", err, p.connections.Load())
		}
	})
	t.Run("nothing is sent to a peer that does not answer", func(t *testing.T) {
		p := newPeer(t)
		p.lostAnswers.Store(100)
		if err := p.do(t, p.pool(1), p.incarnation); !NotSent(err) || !Found(err).IsZero() || p.requests.Load() != 0 {
			t.Errorf("got %v and %d requests, want an error and no request", err, p.requests.Load())
		}
	})
	t.Run("a refused connection is the cause", func(t *testing.T) {
		p := newPeer(t)
		pool := p.pool(1)
		p.server.Close()
		if err := p.do(t, pool, p.incarnation); !NotSent(err) || !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v, want a refused connection", err)
		}
	})
	t.Run("concurrent calls share the connections", func(t *testing.T) {
		p := newPeer(t)
		pool := p.pool(3)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				if err := p.do(t, pool, p.incarnation); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if p.connections.Load() > 3 {
			t.Errorf("connections: got %d, want at most 3", p.connections.Load())
		}
	})
}
