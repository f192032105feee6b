// Package ccreplay runs core/ccreplay: an entry for jobs that may run again.
//
// Callers' requests come through Submit, agents through the listener, plans from
// the store or from agents that relay them. One goroutine owns the scheduler.
//
// # Usage
//
//	entry := ccreplay.New(ccreplay.Config{Node: self, Listen: addr, Store: store, PlanSource: planSource, …})
//	err := entry.Start(ctx)
//	answer := entry.Submit(ctx, request)
//	err = entry.Stop(ctx)
package ccreplay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccclock"
	"camphorcroft/io/ccmetric"
	"camphorcroft/io/ccsession"
)

const (
	// tickInterval is how often the scheduler does what is due.
	tickInterval = 10 * time.Millisecond
	// eventBuffer bounds the events that wait for the control goroutine; who
	// brings more waits.
	eventBuffer = 4096
	// leaveNotice is how long a stopping entry goes on taking requests: the
	// balancer asks once a second and needs two misses.
	leaveNotice = 2500 * time.Millisecond
	// leaveLimit bounds a stop: under the platform's grace time of 6 s.
	leaveLimit = 5200 * time.Millisecond
)

// Config configures an Entry.
type Config struct {
	Node   ccnode.Ref
	Domain string
	// AwayFactor is that of the scheduler.
	AwayFactor float64
	// Listen is where agents open sessions.
	Listen     netip.AddrPort
	Store      Store
	PlanSource PlanSource
	Metrics    *ccmetric.Set
	Log        logr.Logger
}

// Entry is a running entry.
type Entry struct {
	cfg      Config
	events   chan func(now time.Time)
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	listener net.Listener
	leaving  atomic.Bool
	plan     atomic.Pointer[ccroute.Plan]
	usable   atomic.Int64
	tokens   atomic.Uint64

	// The control goroutine owns what follows.
	scheduler *ccreplay.Scheduler
	sessions  map[ccnode.ID]*session
	waiting   map[uint64]chan<- ccreplay.Answer
	planSince time.Time // When the plan came into force here.
	metrics   metrics
	log       logr.Logger
}

// New returns an entry that has not started.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg: cfg, events: make(chan func(time.Time), eventBuffer),
		scheduler: ccreplay.New(ccreplay.Config{Self: cfg.Node, Domain: cfg.Domain, AwayFactor: cfg.AwayFactor}),
		sessions:  map[ccnode.ID]*session{}, waiting: map[uint64]chan<- ccreplay.Answer{},
	}
	e.log, e.metrics = cfg.Log, e.newMetrics()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start begins to listen for agents and to follow the store.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", e.cfg.Listen.String())
	if err != nil {
		return &Error{Op: "listen for agents", Kind: KindAddress, Err: err}
	}
	e.listener = listener
	e.cfg.Log.Info("Entry started.", "incarnation", uint64(e.cfg.Node.Incarnation), "domain", e.cfg.Domain)
	e.spawn(e.control)
	e.spawn(func() { ccsession.Serve(listener, &acceptor{entry: e}) })
	e.spawn(e.followPlan)
	e.spawn(e.followEntries)
	return nil
}

// Leave makes the entry unready. It goes on taking requests.
func (e *Entry) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		e.cfg.Log.Info("Entry is leaving.", "incarnation", uint64(e.cfg.Node.Incarnation))
	}
}

// Stop answers what has come in, within bounds, and ends the entry.
func (e *Entry) Stop(ctx context.Context) error {
	e.Leave()
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < leaveLimit {
		if time.Since(start) >= leaveNotice && e.unanswered() == 0 {
			break
		}
		time.Sleep(tickInterval)
	}
	// Requests on open connections come until the end. What is not answered now would
	// be cut.
	e.do(func(now time.Time) { e.scheduler.Stop(now) })
	return nil
}

// Close ends the entry. Call it after the listeners for callers are closed.
func (e *Entry) Close() {
	e.cfg.Log.Info("Entry stopped.", "incarnation", uint64(e.cfg.Node.Incarnation), "unanswered", e.unanswered())
	e.cancel()
	_ = e.listener.Close()
	e.wg.Wait()
}

// Leaving reports whether the entry is about to stop.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether callers should come here, and why not.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "entry is leaving"
	case e.plan.Load() == nil:
		return false, "no plan yet"
	case e.usable.Load() == 0:
		return false, "no agent is attached"
	default:
		return true, ""
	}
}

// Plan returns the plan in force, or nil.
func (e *Entry) Plan() *ccroute.Plan { return e.plan.Load() }

// Submit runs a job and waits for its answer. When the context ends the caller
// has gone, and the job's runs are stopped.
func (e *Entry) Submit(ctx context.Context, request ccreplay.Request) ccreplay.Answer {
	request.Token = e.tokens.Add(1)
	answered := make(chan ccreplay.Answer, 1)
	e.do(func(now time.Time) {
		e.waiting[request.Token] = answered
		e.scheduler.Submit(now, request)
	})
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		e.do(func(now time.Time) {
			delete(e.waiting, request.Token)
			e.scheduler.Cancel(now, request.ID, request.Token)
		})
		return ccreplay.Answer{ID: request.ID, State: ccreplay.StateUnknown, Reason: "caller left"}
	case <-e.ctx.Done():
		return ccreplay.Answer{ID: request.ID, State: ccreplay.StateUnknown, Reason: "entry stopped"}
	}
}

func (e *Entry) unanswered() int {
	n := make(chan int, 1)
	e.do(func(time.Time) { n <- len(e.waiting) })
	select {
	case waiting := <-n:
		return waiting
	case <-e.ctx.Done():
		return 0
	}
}

func (e *Entry) spawn(run func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		run()
	}()
}

// do hands an event to the control goroutine.
func (e *Entry) do(event func(now time.Time)) {
	select {
	case e.events <- event:
	case <-e.ctx.Done():
	}
}

func (e *Entry) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	suspension := ccclock.NewSuspendDetector()
	for {
		var now time.Time
		select {
		case event := <-e.events:
			now = time.Now()
			event(now)
		case <-ticker.C:
			now = time.Now()
			if suspension.Resumed() {
				e.scheduler.Resumed(now)
			}
			e.scheduler.Tick(now)
		case <-e.ctx.Done():
			for _, s := range e.sessions {
				s.conn.Close()
			}
			return
		}
		e.act(now)
	}
}

// act carries out what the scheduler wants.
func (e *Entry) act(now time.Time) {
	out := e.scheduler.Take(now)
	e.usable.Store(int64(e.scheduler.UsableAgents(now)))
	if plan := e.scheduler.Plan(); plan != nil && plan != e.plan.Load() {
		e.plan.Store(plan)
		e.planSince = now
	}
	for _, c := range out.Changes {
		e.record(c)
	}
	for _, message := range out.Messages {
		if s := e.sessions[message.To]; s != nil {
			s.conn.Send(ccwire.MessageOrders, message.Orders)
		}
	}
	for _, answer := range out.Answers {
		e.recordAnswer(answer)
		if answered := e.waiting[answer.Token]; answered != nil {
			delete(e.waiting, answer.Token)
			answered <- answer
		}
	}
	for _, id := range out.Silent {
		if s := e.sessions[id]; s != nil {
			delete(e.sessions, id)
			s.conn.Close()
		}
	}
}
