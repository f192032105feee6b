// Package ccreplay runs core/ccreplay as an entry for jobs whose tasks may be run
// more than once.
//
// Callers send requests through Submit, agents connect to the listener, and plans come
// from the store or from agents that relay them. One goroutine owns the scheduler.
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
	"camphorcroft/core/ccshare"
	"camphorcroft/io/cccaller"
	"camphorcroft/io/ccclock"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccmetric"
	"camphorcroft/io/ccsession"
)

const (
	// tickInterval is how often the scheduler's timers are checked.
	tickInterval = 10 * time.Millisecond
	// eventBuffer is the number of events that may queue for the control goroutine.
	// Senders block while the queue is full.
	eventBuffer = 4096
	// leaveDelay is the least time for which a stopping entry still accepts requests.
	// The load balancer checks readiness once a second and removes an entry after two
	// failed checks.
	leaveDelay = 2500 * time.Millisecond
	// stopTimeout bounds how long a stop waits for pending requests. It is below the
	// platform's grace period of 6 s.
	stopTimeout = 5200 * time.Millisecond
)

// Config configures an Entry. Metrics and Malformed are optional.
type Config struct {
	Node   ccnode.Ref
	Domain string
	// AwayFactor is passed to the scheduler.
	AwayFactor float64
	// Order and EndTimePlacement are passed to the scheduler. SetOrder and
	// SetEndTimePlacement change them.
	Order            ccshare.Settings
	EndTimePlacement bool
	DemandSummaries  bool
	// Admission is passed to the scheduler. SetAdmission changes it.
	Admission bool
	// MaxTasks is passed to the scheduler.
	MaxTasks int
	// Listen is the address at which agents open sessions.
	Listen netip.AddrPort
	// Limit limits the connections that a listener accepts. Nil sets no limits.
	Limit      func(net.Listener) net.Listener
	Store      Store
	PlanSource PlanSource
	Metrics    *ccmetric.Set
	// Malformed counts the records of entries that can't be read.
	Malformed *cclog.Malformed
	Log       logr.Logger
}

// Entry accepts jobs from callers and runs their tasks on the attached agents.
type Entry struct {
	cfg          Config
	events       chan func(now time.Time)
	plans        chan *ccroute.Plan // Handled before events.
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	listener     net.Listener
	leaving      atomic.Bool
	plan         atomic.Pointer[ccroute.Plan]
	usableAgents atomic.Int64
	overloaded   atomic.Bool
	lateness     atomic.Int64 // In nanoseconds.
	planReported atomic.Uint64
	planBehind   atomic.Int64 // In nanoseconds.
	outdated     atomic.Bool
	lastToken    atomic.Uint64
	lastSession  atomic.Uint64 // The last session number that was issued.

	// The fields below are owned by the control goroutine.
	scheduler     *ccreplay.Scheduler
	sessions      map[ccnode.ID]*session
	pending       map[uint64]chan<- ccreplay.Answer
	planAppliedAt time.Time // When this entry applied the current plan.
	// wasReady and unreadyReason are the last results of Ready that were logged.
	wasReady      bool
	unreadyReason string
	suspend       suspendDetector
	metrics       metrics
	log           logr.Logger
}

// suspendDetector is a ccclock.SuspendDetector.
type suspendDetector interface {
	Resumed() bool
	ResumedAt(now time.Time) bool
}

// New returns an entry that has not started.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg: cfg, events: make(chan func(time.Time), eventBuffer), plans: make(chan *ccroute.Plan, 1),
		scheduler: ccreplay.New(ccreplay.Config{
			Self: cfg.Node, Domain: cfg.Domain, AwayFactor: cfg.AwayFactor, DemandSummaries: cfg.DemandSummaries, Order: cfg.Order, EndTimePlacement: cfg.EndTimePlacement,
			Admission: cfg.Admission, MaxTasks: cfg.MaxTasks,
		}),
		sessions: map[ccnode.ID]*session{}, pending: map[uint64]chan<- ccreplay.Answer{}, suspend: ccclock.NewSuspendDetector(),
	}
	e.log, e.metrics = cfg.Log, e.newMetrics()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start listens for agents and starts to watch the store.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", e.cfg.Listen.String())
	if err != nil {
		return &Error{Op: "listen for agents", Kind: KindAddress, Err: err}
	}
	if e.cfg.Limit != nil {
		listener = e.cfg.Limit(listener)
	}
	e.listener = listener
	e.cfg.Log.Info("Entry started.", "incarnation", uint64(e.cfg.Node.Incarnation), "domain", e.cfg.Domain)
	e.spawn(e.control)
	e.spawn(func() { ccsession.Serve(listener, &connHandler{entry: e}) })
	e.spawn(e.followPlan)
	e.spawn(e.followEntries)
	return nil
}

// Leave makes the entry report that it is not ready. It still accepts requests.
func (e *Entry) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		e.cfg.Log.Info("Entry is leaving.", "incarnation", uint64(e.cfg.Node.Incarnation))
	}
}

// Stop waits until pending requests are answered, for at least leaveDelay and at most
// stopTimeout or until ctx is done, and then stops the scheduler.
func (e *Entry) Stop(ctx context.Context) error {
	e.Leave()
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < stopTimeout {
		if time.Since(start) >= leaveDelay && e.pendingCount() == 0 {
			break
		}
		time.Sleep(tickInterval)
	}
	// Requests still arrive on open connections. The scheduler answers whatever is
	// pending now, because those connections would otherwise be cut without an answer.
	e.do(func(now time.Time) { e.scheduler.Stop(now) })
	return nil
}

// Close stops the entry's goroutines and closes its connections. Call it after the
// listeners for callers are closed.
func (e *Entry) Close() {
	e.cfg.Log.Info("Entry stopped.", "incarnation", uint64(e.cfg.Node.Incarnation), "unanswered", e.pendingCount())
	e.cancel()
	_ = e.listener.Close()
	e.wg.Wait()
}

// Leaving reports whether Leave or Stop has been called.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether callers should send requests to this entry, and the reason if
// they should not.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "entry is leaving"
	case e.plan.Load() == nil:
		return false, "no plan yet"
	case e.usableAgents.Load() == 0:
		return false, "no agent is attached"
	case e.overloaded.Load():
		return false, "entry is late"
	default:
		return true, ""
	}
}

// Plan returns the plan in force, or nil.
func (e *Entry) Plan() *ccroute.Plan { return e.plan.Load() }

// PlanBehind reports whether an agent has reported a later version of the operators'
// configuration than that of Plan.
func (e *Entry) PlanBehind() bool { return e.outdated.Load() }

// Submit runs a job and waits for its answer. If ctx ends first, the caller has
// disconnected, and the job's runs are stopped. If cccaller finds that it has disconnected
// before, as it may while this process stands still, no run is started.
func (e *Entry) Submit(ctx context.Context, request ccreplay.Request) ccreplay.Answer {
	request.Token = e.lastToken.Add(1)
	answered := make(chan ccreplay.Answer, 1)
	e.do(func(now time.Time) {
		if cccaller.Left(ctx) {
			e.log.Info("Caller left before its job was taken.", "job", request.ID)
			answered <- callerLeft(request)
			return
		}
		e.pending[request.Token] = answered
		e.scheduler.Submit(now, request)
	})
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		e.do(func(now time.Time) {
			delete(e.pending, request.Token)
			e.scheduler.Cancel(now, request.ID, request.Token)
		})
		return callerLeft(request)
	case <-e.ctx.Done():
		return ccreplay.Answer{ID: request.ID, State: ccreplay.StateUnknown, Reason: "entry stopped"}
	}
}

// SetOrder changes the order of the waiting jobs from the next placement on.
func (e *Entry) SetOrder(settings ccshare.Settings) {
	e.do(func(now time.Time) { e.scheduler.SetOrder(now, settings) })
}

// SetAdmission turns admission control on or off. Jobs that wait are considered from the next tick
// on.
func (e *Entry) SetAdmission(on bool) {
	e.do(func(time.Time) { e.scheduler.SetAdmission(on) })
}

// SetEndTimePlacement turns the placement by expected end on or off, from the next
// placement on.
func (e *Entry) SetEndTimePlacement(on bool) {
	e.do(func(now time.Time) { e.scheduler.SetEndTimePlacement(now, on) })
}

// callerLeft answers a request whose caller has disconnected. Another entry may have the job.
func callerLeft(request ccreplay.Request) ccreplay.Answer {
	return ccreplay.Answer{ID: request.ID, State: ccreplay.StateUnknown, Reason: "caller left"}
}

// pendingCount returns the number of requests without an answer, or 0 after Close.
func (e *Entry) pendingCount() int {
	count := make(chan int, 1)
	e.do(func(time.Time) { count <- len(e.pending) })
	select {
	case pending := <-count:
		return pending
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

// do queues an event for the control goroutine. It drops the event if the entry is
// closed.
func (e *Entry) do(event func(now time.Time)) {
	select {
	case e.events <- event:
	case <-e.ctx.Done():
	}
}
