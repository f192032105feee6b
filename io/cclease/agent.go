// Package cclease runs core/cclease: an agent beside a worker that runs tasks
// under leases.
//
// The agent dials every entry that it learns of: those in its file, those that
// entries name, and those in the store while it has none of the others. One
// goroutine owns the table; calls to the worker and writes to entries have
// goroutines of their own.
//
// # Usage
//
//	agent := cclease.New(cclease.Config{Node: self, Worker: client, Seeds: seeds, …})
//	err := agent.Start(ctx)
//	agent.Heartbeat(worker)
//	err = agent.Stop(ctx)
package cclease

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccclock"
	"camphorcroft/io/ccmetric"
)

const (
	// tickInterval is how often the table does what is due.
	tickInterval = 20 * time.Millisecond
	// eventBuffer bounds the events that wait for the control goroutine; who
	// brings more waits.
	eventBuffer = 1024
	// leaveLimit bounds how long a stop waits for runs to end: under the platform's
	// grace time of 6 s.
	drainTimeout = 5200 * time.Millisecond
	// leaveLinger is how long a stopping agent goes on after the last run, so that
	// the worker's ends are acknowledged and reported.
	drainLinger = 50 * time.Millisecond
)

// Worker carries out calls to the worker beside the agent. Its methods wait for
// the answer, within bounds of their own.
type Worker interface {
	Start(ctx context.Context, call cclease.StartCall) cclease.Response
	Stop(ctx context.Context, call cclease.StopCall) cclease.Response
	Poll(ctx context.Context, call cclease.PollCall) cclease.PollResponse
}

// Directory finds entries when no known one answers.
type Directory interface {
	Entries(ctx context.Context) ([]netip.AddrPort, error)
}

// Config configures an Agent.
type Config struct {
	Node      ccnode.Ref
	Domain    string
	Worker    Worker
	Seeds     []netip.AddrPort
	Directory Directory
	Metrics   *ccmetric.Set
	Log       logr.Logger
}

// Agent is a running agent.
type Agent struct {
	cfg    Config
	events chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The control goroutine owns what follows.
	manager  *cclease.Manager
	sessions map[ccnode.ID]*session
	dialing  map[netip.AddrPort]bool
	metrics  metrics
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	a := &Agent{
		cfg: cfg, events: make(chan func(time.Time), eventBuffer),
		sessions: map[ccnode.ID]*session{}, dialing: map[netip.AddrPort]bool{},
	}
	a.metrics = a.newMetrics()
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.manager = cclease.NewManager(cclease.Config{Token: uint64(cfg.Node.Incarnation), StartTime: time.Now()})
	return a
}

// Start begins to dial entries and to take heartbeats.
func (a *Agent) Start(context.Context) error {
	a.cfg.Log.Info("Agent started.", "incarnation", uint64(a.cfg.Node.Incarnation), "domain", a.cfg.Domain, "seeds", len(a.cfg.Seeds))
	a.spawn(a.control)
	a.do(func(time.Time) { a.dialAll(a.cfg.Seeds) })
	if a.cfg.Directory != nil {
		a.spawn(a.searchDirectory)
	}
	return nil
}

// Stop lets the runs end, within bounds, and ends the agent.
func (a *Agent) Stop(ctx context.Context) error {
	a.cfg.Log.Info("Agent is stopping.", "incarnation", uint64(a.cfg.Node.Incarnation))
	a.do(func(now time.Time) { a.manager.Drain(now) })
	deadline := time.Now().Add(drainTimeout)
	for a.activeRuns() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(tickInterval)
	}
	time.Sleep(drainLinger)
	a.cfg.Log.Info("Agent stopped.", "incarnation", uint64(a.cfg.Node.Incarnation), "runs", a.activeRuns())
	a.cancel()
	a.wg.Wait()
	return nil
}

// Heartbeat takes what the worker says of itself.
func (a *Agent) Heartbeat(worker cclease.Worker) {
	a.do(func(now time.Time) { a.manager.Heartbeat(now, worker) })
}

// WorkerLeft tells that the worker has said that it ends.
func (a *Agent) WorkerLeft(id string) {
	a.do(func(now time.Time) { a.manager.WorkerLeft(now, id) })
}

// SetSeeds dials the addresses of a changed file as well.
func (a *Agent) SetSeeds(seeds []netip.AddrPort) {
	a.do(func(time.Time) { a.dialAll(seeds) })
}

func (a *Agent) activeRuns() int {
	count := make(chan int, 1)
	a.do(func(time.Time) { count <- a.manager.ActiveRuns() })
	select {
	case active := <-count:
		return active
	case <-a.ctx.Done():
		return 0
	}
}

func (a *Agent) spawn(run func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		run()
	}()
}

// do hands an event to the control goroutine.
func (a *Agent) do(event func(now time.Time)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

func (a *Agent) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	suspension := ccclock.NewSuspendDetector()
	for {
		select {
		case event := <-a.events:
			event(time.Now())
		case <-ticker.C:
			if suspension.Resumed() {
				a.manager.Resumed(time.Now())
			}
			a.manager.Tick(time.Now())
		case <-a.ctx.Done():
			for _, s := range a.sessions {
				s.conn.Close()
			}
			return
		}
		a.performActions()
	}
}

// act carries out what the table wants.
func (a *Agent) performActions() {
	out := a.manager.Take()
	for _, call := range out.Starts {
		go func() {
			sent := time.Now()
			response := a.cfg.Worker.Start(a.ctx, call)
			a.metrics.recordStart(response, time.Since(sent))
			a.do(func(now time.Time) { a.manager.StartCompleted(now, call, response) })
		}()
	}
	for _, call := range out.Stops {
		go func() {
			response := a.cfg.Worker.Stop(a.ctx, call)
			a.do(func(now time.Time) { a.manager.StopCompleted(now, call, response) })
		}()
	}
	for _, call := range out.Polls {
		go func() {
			response := a.cfg.Worker.Poll(a.ctx, call)
			a.do(func(now time.Time) { a.manager.PollCompleted(now, call, response) })
		}()
	}
	for _, report := range out.Reports {
		if s := a.sessions[report.To]; s != nil {
			s.conn.Send(ccwire.MessageReport, report.Report)
		}
	}
	for _, id := range out.CloseSessions {
		if s := a.sessions[id]; s != nil {
			s.conn.Close()
		}
	}
	for _, c := range out.Changes {
		a.recordChange(c)
	}
}
