package ccreplay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	corelease "camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	corereplay "camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/cclease"
	"camphorcroft/io/ccreplay"
	"camphorcroft/io/ccstore"
)

// waitLimit is the timeout for conditions that tests wait for. It is not a performance
// bound.
const waitLimit = 20 * time.Second

// memoryStore is an in-memory store that supports watches and simulated outages.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]ccstore.Item
	revision uint64
	changed  chan struct{}
	down     bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]ccstore.Item{}, changed: make(chan struct{})}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) checkAvailable() error {
	if s.down {
		return &ccstore.Error{Op: "test", Kind: ccstore.KindUnavailable, Err: fmt.Errorf("down")}
	}
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []ccstore.Item
	for key, item := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			items = append(items, item)
		}
	}
	return items, s.revision, s.checkAvailable()
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error) {
	s.mu.Lock()
	changed, now, err := s.changed, s.revision, s.checkAvailable()
	s.mu.Unlock()
	if err != nil {
		return ccstore.Change{}, err
	}
	if now <= revision {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return ccstore.Change{}, &ccstore.Error{Op: "watch", Kind: ccstore.KindUnknown, Err: ctx.Err()}
		}
	}
	items, at, err := s.List(ctx, prefix)
	newer := items[:0]
	for _, item := range items {
		if item.Revision > revision {
			newer = append(newer, item)
		}
	}
	return ccstore.Change{Items: newer, Revision: at}, err
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, lease ccstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return err
	}
	s.revision++
	s.items[key] = ccstore.Item{Key: key, Value: value, Revision: s.revision, Lease: lease}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *memoryStore) Grant(context.Context, time.Duration) (ccstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1, s.checkAvailable()
}

func (s *memoryStore) Renew(context.Context, ccstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkAvailable()
}

// jsonPlanSource reads a plan that is stored as JSON.
type jsonPlanSource struct{}

func (jsonPlanSource) Prefix() string { return "plan/" }

func (jsonPlanSource) Plan(items []ccstore.Item, revision uint64) (*ccroute.Plan, error) {
	if len(items) == 0 {
		return nil, nil
	}
	plan := &ccroute.Plan{}
	err := json.Unmarshal(items[0].Value, plan)
	plan.Revision = revision
	return plan, err
}

// instantWorker ends all its runs at the next poll, unless hold is set.
type instantWorker struct {
	mu         sync.Mutex
	hold       bool // Polls don't end the runs.
	runs       []corelease.StartCall
	ended      []corelease.EndedRun
	lastNumber uint64
	starts     int
}

func (w *instantWorker) Start(_ context.Context, call corelease.StartCall) corelease.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.runs = append(w.runs, call)
	return corelease.Response{Status: corelease.StatusOK, Clock: time.Second}
}

func (w *instantWorker) Stop(_ context.Context, call corelease.StopCall) corelease.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := w.runs[:0]
	for _, r := range w.runs {
		if r.Task == call.Task {
			w.end(r, ccwire.RunStopped)
		} else {
			remaining = append(remaining, r)
		}
	}
	w.runs = remaining
	return corelease.Response{Status: corelease.StatusOK, Clock: time.Second}
}

func (w *instantWorker) end(r corelease.StartCall, outcome ccwire.RunOutcome) {
	w.lastNumber++
	w.ended = append(w.ended, corelease.EndedRun{Number: w.lastNumber, Task: r.Task, Run: r.Run, End: outcome})
}

func (w *instantWorker) Poll(_ context.Context, call corelease.PollCall) corelease.PollResponse {
	time.Sleep(min(call.Wait, 2*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hold {
		for _, r := range w.runs {
			w.end(r, ccwire.RunDone)
		}
		w.runs = nil
	}
	response := corelease.PollResponse{Response: corelease.Response{Status: corelease.StatusOK, Clock: time.Second}}
	for _, r := range w.runs {
		response.Running = append(response.Running, corelease.ActiveRun{Task: r.Task, Run: r.Run, Percent: 50})
	}
	for _, e := range w.ended {
		if e.Number > call.Ack {
			response.Ended = append(response.Ended, e)
		}
	}
	w.ended = response.Ended
	return response
}

func (w *instantWorker) setHold(hold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hold = hold
}

func (w *instantWorker) alive() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func startEntry(t *testing.T, id string, addr netip.AddrPort, incarnation ccnode.Incarnation, store *memoryStore) *ccreplay.Entry {
	t.Helper()
	entry := ccreplay.New(ccreplay.Config{
		Node: ccnode.Ref{ID: ccnode.ID(id), Incarnation: incarnation}, Domain: "north", Listen: addr,
		Store: store, PlanSource: jsonPlanSource{}, Log: logr.Discard(),
	})
	if err := entry.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return entry
}

func startAgent(t *testing.T, worker cclease.Worker, seeds ...netip.AddrPort) *cclease.Agent {
	t.Helper()
	agent := cclease.New(cclease.Config{
		Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Domain: "north", Worker: worker, Seeds: seeds, Log: logr.Discard(),
	})
	if err := agent.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	heartbeat := func(sequence uint64) {
		agent.Heartbeat(corelease.Worker{
			ID: "w-1", StartTime: time.Unix(1, 0), Service: "proof", Domain: "north", Sequence: sequence, Clock: time.Second,
			Capacity: ccresource.Amount{CPU: 8000},
		})
	}
	heartbeat(1)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for n := uint64(2); ; n++ {
			select {
			case <-time.After(500 * time.Millisecond):
				heartbeat(n)
			case <-done:
				return
			}
		}
	}()
	return agent
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", condition)
}

func putPlan(t *testing.T, store *memoryStore) {
	t.Helper()
	value, err := json.Marshal(ccroute.Plan{Version: 1, Routes: []ccroute.Route{{Name: "r", Host: "h", Prefix: "/", Service: "proof"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(context.Background(), "plan/now", value, 0); err != nil {
		t.Fatal(err)
	}
}

func job(id string) corereplay.Request {
	return corereplay.Request{
		ID: id, Tasks: 3, Need: ccresource.Amount{CPU: 1000}, Estimate: time.Second, Deadline: time.Now().Add(waitLimit),
		Route: ccroute.Route{Service: "proof", MaxAttempts: 2, Stretch: 1.6, Allowance: waitLimit},
	}
}

func ready(e *ccreplay.Entry) func() bool {
	return func() bool { ok, _ := e.Ready(); return ok }
}

func TestFleetServesJobs(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{}
	putPlan(t, store)
	addr := freeAddr(t)
	entry := startEntry(t, "entry-1", addr, 1, store)
	defer entry.Close()
	agent := startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(entry))
	for i := range 20 {
		if answer := entry.Submit(context.Background(), job(fmt.Sprintf("j%d", i))); answer.State != corereplay.StateComplete {
			t.Errorf("job %d: got %s (%s)", i, answer.State, answer.Reason)
		}
	}
	if worker.starts != 60 {
		t.Errorf("starts: got %d, want 60", worker.starts)
	}
	if err := agent.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

func TestCallerLeaves(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{hold: true}
	putPlan(t, store)
	addr := freeAddr(t)
	entry := startEntry(t, "entry-1", addr, 1, store)
	defer entry.Close()
	startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(entry))
	ctx, cancel := context.WithCancel(context.Background())
	go entry.Submit(ctx, job("j1"))
	waitFor(t, "the runs are alive", func() bool { return worker.alive() == 3 })
	cancel()
	waitFor(t, "the runs are stopped", func() bool { return worker.alive() == 0 })
}

func TestEntryRestarts(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{hold: true}
	putPlan(t, store)
	addr := freeAddr(t)
	first := startEntry(t, "entry-1", addr, 1, store)
	startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(first))
	go first.Submit(context.Background(), job("j1"))
	waitFor(t, "the runs are alive", func() bool { return worker.alive() == 3 })
	first.Close()
	waitFor(t, "the runs of the closed entry are stopped", func() bool { return worker.alive() == 0 })
	worker.setHold(false)
	// The store is unavailable, so the restarted entry must get the plan from the agent.
	store.setDown(true)
	second := startEntry(t, "entry-1", addr, 2, store)
	defer second.Close()
	waitFor(t, "the restarted entry is ready without the store", ready(second))
	if answer := second.Submit(context.Background(), job("j1")); answer.State != corereplay.StateComplete {
		t.Errorf("the resubmitted job: got %s (%s)", answer.State, answer.Reason)
	}
}

func TestEntriesAreFound(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{}
	putPlan(t, store)
	seed, other := freeAddr(t), freeAddr(t)
	first := startEntry(t, "entry-1", seed, 1, store)
	defer first.Close()
	startAgent(t, worker, seed)
	waitFor(t, "the seed is ready", ready(first))
	second := startEntry(t, "entry-2", other, 1, store)
	defer second.Close()
	waitFor(t, "an entry that was added later is ready", ready(second))
}

// TestLeavingEntryGivesUpInTime guards against broken connections when runs outlast the
// entry's stop timeout: the waiting callers, and callers that submit jobs after the stop,
// must get an answer.
func TestLeavingEntryGivesUpInTime(t *testing.T) {
	t.Parallel()
	store, worker := newMemoryStore(), &instantWorker{hold: true}
	putPlan(t, store)
	addr := freeAddr(t)
	entry := startEntry(t, "entry-1", addr, 1, store)
	defer entry.Close()
	startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(entry))
	answers := make(chan corereplay.Answer, 1)
	go func() { answers <- entry.Submit(context.Background(), job("j1")) }()
	waitFor(t, "the runs are alive", func() bool { return worker.alive() == 3 })
	if err := entry.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	select {
	case answer := <-answers:
		if answer.State != corereplay.StateUnknown {
			t.Errorf("the running job: got %s (%s), want unknown", answer.State, answer.Reason)
		}
	case <-time.After(time.Second):
		t.Error("the running job has no answer after the entry has stopped")
	}
	last, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if answer := entry.Submit(last, job("j2")); answer.State != corereplay.StateRefused || answer.RetryAfter == 0 {
		t.Errorf("a job submitted after the stop: got %s (%s), want refused with a retry delay", answer.State, answer.Reason)
	}
	waitFor(t, "the runs are stopped", func() bool { return worker.alive() == 0 })
}

func TestLeavingEntryAnswersWhatItHas(t *testing.T) {
	store, worker := newMemoryStore(), &instantWorker{hold: true}
	putPlan(t, store)
	addr := freeAddr(t)
	entry := startEntry(t, "entry-1", addr, 1, store)
	defer entry.Close()
	startAgent(t, worker, addr)
	waitFor(t, "the entry is ready", ready(entry))
	answers := make(chan corereplay.Answer, 1)
	go func() { answers <- entry.Submit(context.Background(), job("j1")) }()
	waitFor(t, "the runs are alive", func() bool { return worker.alive() == 3 })
	stopped := make(chan error, 1)
	go func() { stopped <- entry.Stop(context.Background()) }()
	waitFor(t, "the entry is not ready", func() bool { return !ready(entry)() })
	worker.setHold(false)
	if answer := <-answers; answer.State != corereplay.StateComplete {
		t.Errorf("got %s (%s)", answer.State, answer.Reason)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
