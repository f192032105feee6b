package ccevent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// now is the processes' clock. Each event moves it on.
var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// process is a ring that is served over HTTP and can be replaced.
type process struct {
	ring   *ccevent.Ring
	server *httptest.Server
}

func newProcess(t *testing.T, node ccnode.Ref, size int) *process {
	t.Helper()
	p := &process{ring: ccevent.NewRing(ccevent.RingConfig{Node: node, Size: size})}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		NewHandler(p.ring).ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	return p
}

func (p *process) addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(p.server.URL, "http://"))
}

func (p *process) record(kind ccevent.Kind, job ccjob.ID, causes ...*process) {
	event := ccevent.Event{Kind: kind, Job: job, Index: ccevent.NoIndex}
	for _, cause := range causes {
		node := cause.ring.Node()
		event.Cause = ccevent.Cause{Node: node.ID, Incarnation: node.Incarnation, Seq: cause.ring.Newest()}
	}
	now = now.Add(time.Millisecond)
	p.ring.Record(now, event)
}

func newCollector(t *testing.T) *Collector {
	t.Helper()
	collector := NewCollector(CollectorConfig{Timeout: 10 * time.Second, Parallel: 2})
	t.Cleanup(collector.Close)
	return collector
}

func assertKinds(t *testing.T, steps []ccevent.Step, want ...ccevent.Kind) {
	t.Helper()
	var got, wanted []string
	for _, step := range steps {
		got = append(got, string(step.Kind))
	}
	for _, kind := range want {
		wanted = append(wanted, string(kind))
	}
	if strings.Join(got, " ") != strings.Join(wanted, " ") {
		t.Errorf("got %v, want %v", got, wanted)
	}
}

func TestCollect(t *testing.T) {
	entry, agent := newProcess(t, ccnode.Ref{ID: "entry-1", Incarnation: 1}, 2), newProcess(t, ccnode.Ref{ID: "agent-1", Incarnation: 2}, 1000)
	for range 3 {
		entry.record(ccevent.KindSent, "a")
	}
	agent.record(ccevent.KindUp, "")
	for range 300 {
		agent.record(ccevent.KindStarted, "a")
		agent.record(ccevent.KindStarted, "b")
	}
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	replies := newCollector(t).Collect(context.Background(), []Query{
		{Addr: entry.addr()},
		{Addr: agent.addr(), Job: "a"},
		{Addr: agent.addr(), After: 600},
		{Addr: (&process{server: broken}).addr()},
		{Addr: netip.MustParseAddrPort("127.0.0.1:1")},
		{Addr: agent.addr(), After: 601},
	})
	t.Run("a ring that has dropped events", func(t *testing.T) {
		r := replies[0]
		if r.Err != nil || len(r.Events) != 2 || r.Oldest != 2 || r.Newest != 3 || r.Node != entry.ring.Node() {
			t.Errorf("got %+v", r)
		}
	})
	t.Run("one job and what belongs to none", func(t *testing.T) {
		if r := replies[1]; len(r.Events) != 301 || r.Newest != 601 {
			t.Errorf("got %d events up to %d", len(r.Events), r.Newest)
		}
	})
	t.Run("events after a number", func(t *testing.T) {
		if r := replies[2]; len(r.Events) != 1 || r.Events[0].Seq != 601 || len(replies[5].Events) != 0 || replies[5].Err != nil {
			t.Errorf("got %+v and %+v", r.Events, replies[5])
		}
	})
	t.Run("silent processes", func(t *testing.T) {
		for _, r := range replies[3:5] {
			if r.Err == nil {
				t.Errorf("%s is not silent", r.Addr)
			}
		}
	})
}

func TestHandlerRefusesBadNumbers(t *testing.T) {
	recorder := httptest.NewRecorder()
	handler := NewHandler(ccevent.NewRing(ccevent.RingConfig{}))
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/events?after=x", nil))
	if recorder.Code != http.StatusBadRequest {
		t.Errorf("got status %d", recorder.Code)
	}
}

func TestFollower(t *testing.T) {
	entry, agent := newProcess(t, ccnode.Ref{ID: "entry-1", Incarnation: 1}, 100), newProcess(t, ccnode.Ref{ID: "agent-1", Incarnation: 2}, 100)
	addrs := []netip.AddrPort{entry.addr(), agent.addr()}
	follower := NewFollower(newCollector(t), "a")
	read := func(addrs ...netip.AddrPort) []ccevent.Step {
		return follower.New(follower.Read(context.Background(), addrs))
	}
	entry.record(ccevent.KindSent, "a")
	agent.record(ccevent.KindStarted, "a", entry)
	// The agent's event is read before its cause, as when it comes between the two
	// answers.
	assertKinds(t, read(agent.addr()))
	assertKinds(t, read(addrs...), ccevent.KindSent, ccevent.KindStarted)
	assertKinds(t, read(addrs...))
	agent.record(ccevent.KindFinished, "a")
	agent.record(ccevent.KindFinished, "b")
	assertKinds(t, read(addrs...))
	assertKinds(t, read(addrs...), ccevent.KindFinished)

	agent.ring = ccevent.NewRing(ccevent.RingConfig{Node: ccnode.Ref{ID: "agent-1", Incarnation: 9}, Size: 100})
	agent.record(ccevent.KindUp, "")
	assertKinds(t, read(addrs...))
	assertKinds(t, read(addrs...), ccevent.KindUp)

	entry.server.Close()
	read(addrs...)
	if len(follower.Silent()) != 1 || follower.Silent()[entry.addr()] == nil {
		t.Errorf("got silent %v", follower.Silent())
	}
}
