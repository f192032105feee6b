package ccagent

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testEntry is the entry's end of a connection.
type testEntry struct {
	*testing.T
	ref     ccnode.Ref
	peer    *ccrpc.Peer
	hello   ccwire.HelloReply
	reports chan ccwire.Report
	closed  chan struct{}
	echo    int64
}

func (e *testEntry) Notified(_ *ccrpc.Peer, _ string, params json.RawMessage) {
	var report ccwire.Report
	if err := json.Unmarshal(params, &report); err == nil {
		e.reports <- report
	}
}

func (e *testEntry) Called(*ccrpc.Peer, string, json.RawMessage, func(any, error)) {}

func (e *testEntry) Closed(*ccrpc.Peer) { close(e.closed) }

func dialAgent(t *testing.T, agent *Agent) *testEntry {
	t.Helper()
	e := &testEntry{
		T: t, ref: ccnode.Ref{ID: "entry", Incarnation: 1},
		reports: make(chan ccwire.Report, 1024), closed: make(chan struct{}),
	}
	peer, err := ccrpc.Dial(t.Context(), agent.Addr(), e)
	if err != nil {
		t.Fatal(err)
	}
	e.peer = peer
	if err := peer.Call(t.Context(), ccwire.MethodHello, ccwire.Hello{Entry: e.ref, Session: 1}, &e.hello); err != nil {
		t.Fatal(err)
	}
	e.echo = e.hello.Clock
	return e
}

func (e *testEntry) send(indexes ...int) {
	e.Helper()
	part := ccwire.DispatchJob{ID: "j", Claim: 1, Service: "proof", BudgetMS: 60_000}
	for _, index := range indexes {
		part.Tasks = append(part.Tasks, ccwire.DispatchTask{Index: index, Attempt: 1, Payload: `{"runMS":1,"echo":"y"}`})
	}
	msg := ccwire.Dispatch{Agent: e.hello.Agent, Session: 1, Echo: e.echo, Jobs: []ccwire.DispatchJob{part}}
	if err := e.peer.Notify(e.Context(), ccwire.MethodDispatch, msg); err != nil {
		e.Fatal(err)
	}
}

// collect waits for the ends of n tasks.
func (e *testEntry) collect(n int) map[int]ccwire.TaskReport {
	e.Helper()
	ends := make(map[int]ccwire.TaskReport)
	for len(ends) < n {
		report := <-e.reports
		e.echo = report.Clock
		for _, part := range report.Jobs {
			for _, task := range part.Tasks {
				ends[task.Index] = task
			}
		}
	}
	return ends
}

func startAgent(t *testing.T) (*Agent, *ccstandin.Target) {
	t.Helper()
	return startAgentAs(t, ccstandin.NewStore(ccstandin.StoreConfig{}), "agent")
}

func startAgentAs(t *testing.T, store ccstore.Store, id string) (*Agent, *ccstandin.Target) {
	t.Helper()
	target := ccstandin.NewTarget(ccstandin.TargetConfig{Listen: loopback})
	if err := target.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Stop)
	return newAgent(t, store, target.Addr(), id), target
}

func newAgent(t testing.TB, store ccstore.Store, target netip.AddrPort, id string, changes ...func(*Config)) *Agent {
	t.Helper()
	cfg := Config{
		Node: ccnode.Ref{ID: ccnode.ID(id)}, Domain: "a", Service: "proof", Slots: 4,
		Listen: loopback, HTTP: loopback, Target: target, Store: store, Log: logr.Discard(),
	}
	for _, change := range changes {
		change(&cfg)
	}
	agent := New(cfg)
	if err := agent.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Kill)
	return agent
}

func TestAgent(t *testing.T) {
	t.Run("announces itself and leaves", func(t *testing.T) {
		store := ccstandin.NewStore(ccstandin.StoreConfig{})
		agent, _ := startAgentAs(t, store, "agent")
		awaitCell(t, store, agent)
		if m := readRecord(t, store).Members[0]; m.Addr != agent.Addr() || m.HTTP != agent.HTTPAddr() || m.Slots != 4 {
			t.Errorf("the record has %+v", m)
		}
		if err := agent.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if record := readRecord(t, store); len(record.Members) != 0 || len(record.Departed) != 1 {
			t.Errorf("the record is %+v after the agent left", record)
		}
	})
	t.Run("runs tasks and reports each once", func(t *testing.T) {
		agent, target := startAgent(t)
		entry := dialAgent(t, agent)
		entry.send(0, 1, 2, 3)
		for index, end := range entry.collect(4) {
			if end.Code != ccwire.CodeDone || end.Payload != "y" {
				t.Errorf("task %d ended with %+v", index, end)
			}
		}
		entry.send(0, 1, 2, 3)
		entry.collect(4)
		if got := len(target.Starts()); got != 4 || target.Doubles() != 0 {
			t.Errorf("the target saw %d starts, %d doubles", got, target.Doubles())
		}
	})
	t.Run("a graceful stop finishes what runs and bounces what comes", func(t *testing.T) {
		agent, target := startAgent(t)
		entry := dialAgent(t, agent)
		target.SetFaults(ccstandin.TargetFaults{Pausing: true})
		entry.send(0)
		for len(target.Starts()) == 0 {
			time.Sleep(time.Millisecond)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- agent.Stop(t.Context()) }()
		for report := range entry.reports {
			entry.echo = report.Clock
			if report.Leaving {
				break
			}
		}
		entry.send(1)
		if end := entry.collect(1)[1]; end.Code != ccwire.CodeClosed {
			t.Errorf("new work ended with %+v", end)
		}
		target.SetFaults(ccstandin.TargetFaults{})
		if end := entry.collect(1)[0]; end.Code != ccwire.CodeDone {
			t.Errorf("running work ended with %+v", end)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		<-entry.closed
	})
	t.Run("a kill closes the sockets", func(t *testing.T) {
		agent, _ := startAgent(t)
		entry := dialAgent(t, agent)
		agent.Kill()
		<-entry.closed
	})
	t.Run("serves health and events", func(t *testing.T) {
		agent, _ := startAgent(t)
		for _, path := range []string{"/healthz", "/readyz", "/debug/vars", "/events?after=0"} {
			resp, err := http.Get("http://" + agent.HTTPAddr().String() + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("%s answered %s", path, resp.Status)
			}
		}
	})
}
