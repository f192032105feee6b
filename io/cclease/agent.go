// Package cclease runs core/cclease as an agent: a process next to a worker that
// runs tasks under leases.
//
// The agent learns of entries from its configuration file, from other entries and, while
// no session is open, from the store. It connects to those that core/ccsubset chooses.
// One goroutine owns the manager; calls to the worker and
// writes to entries run in their own goroutines.
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
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccclock"
	"camphorcroft/io/ccmetric"
)

const (
	// tickInterval is how often the manager's timers are checked.
	tickInterval = 20 * time.Millisecond
	// eventBuffer is the number of events that may queue for the control goroutine.
	// Senders block while the queue is full.
	eventBuffer = 1024
	// drainTimeout bounds how long a stop waits for runs to end. It is below the
	// platform's grace period of 6 s.
	drainTimeout = 5200 * time.Millisecond
	// drainLinger is how long a stopping agent keeps running after the last run, so
	// that ended runs are acknowledged to the worker and reported to the entries.
	drainLinger = 50 * time.Millisecond
)

// Worker sends calls to the agent's worker. Its methods block until the worker
// responds or the implementation's timeout expires.
type Worker interface {
	Start(ctx context.Context, call cclease.StartCall) cclease.Response
	Stop(ctx context.Context, call cclease.StopCall) cclease.Response
	Poll(ctx context.Context, call cclease.PollCall) cclease.PollResponse
}

// Directory lists entries. It is used while the agent has no open session.
type Directory interface {
	Entries(ctx context.Context) ([]ccsubset.Entry, error)
}

// Config configures an Agent. Directory and Metrics are optional.
type Config struct {
	Node      ccnode.Ref
	Domain    string
	Worker    Worker
	Seeds     []netip.AddrPort
	Directory Directory
	Metrics   *ccmetric.Set
	Log       logr.Logger
}

// Agent manages the runs of one worker and the sessions with entries.
type Agent struct {
	cfg    Config
	events chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The fields below are owned by the control goroutine.
	manager  *cclease.Manager
	sessions map[ccnode.ID]*session
	subset   *ccsubset.Subset
	links    map[netip.AddrPort]*link
	syncedAt time.Time // When syncLinks was last called.
	suspend  suspendDetector
	metrics  metrics
}

// suspendDetector is a ccclock.SuspendDetector.
type suspendDetector interface {
	Resumed() bool
	ResumedAt(now time.Time) bool
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	a := &Agent{
		cfg: cfg, events: make(chan func(time.Time), eventBuffer),
		sessions: map[ccnode.ID]*session{}, links: map[netip.AddrPort]*link{}, suspend: ccclock.NewSuspendDetector(),
		subset: ccsubset.New(ccsubset.Config{Self: cfg.Node.ID, Domain: cfg.Domain, Local: localEntries, Remote: remoteEntries}),
	}
	a.metrics = a.newMetrics()
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.manager = cclease.NewManager(cclease.Config{Token: uint64(cfg.Node.Incarnation), StartTime: time.Now()})
	return a
}

// Start starts the control goroutine and connects to the configured entries.
func (a *Agent) Start(context.Context) error {
	a.cfg.Log.Info("Agent started.", "incarnation", uint64(a.cfg.Node.Incarnation), "domain", a.cfg.Domain, "seeds", len(a.cfg.Seeds))
	a.spawn(a.control)
	a.SetSeeds(a.cfg.Seeds)
	if a.cfg.Directory != nil {
		a.spawn(a.searchDirectory)
	}
	return nil
}

// Stop drains the agent: it waits for the runs to end, for at most drainTimeout or
// until ctx is done, and then stops the agent.
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

// Heartbeat processes a heartbeat from the worker.
func (a *Agent) Heartbeat(worker cclease.Worker) {
	a.do(func(now time.Time) { a.manager.Heartbeat(now, worker) })
}

// WorkerLeft processes the worker's notice that it is shutting down.
func (a *Agent) WorkerLeft(id string) {
	a.do(func(now time.Time) { a.manager.WorkerLeft(now, id) })
}

// SetSeeds adds the addresses of the configuration file to the known entries.
func (a *Agent) SetSeeds(seeds []netip.AddrPort) {
	a.do(func(now time.Time) {
		for _, addr := range seeds {
			a.subset.Add(ccsubset.Entry{Addr: addr})
		}
		a.syncLinks(now)
	})
}

// activeRuns returns the number of active runs, or 0 after the agent has stopped.
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

// do queues an event for the control goroutine. It drops the event if the agent has
// stopped.
func (a *Agent) do(event func(now time.Time)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// control processes events and timer ticks until the agent stops. Before the first event after
// a suspension, the entries count as silent: orders from before it must start nothing.
func (a *Agent) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-a.events:
			now := time.Now()
			if a.suspend.ResumedAt(now) {
				a.manager.Resumed(now)
			}
			event(now)
		case <-ticker.C:
			now := time.Now()
			if a.suspend.Resumed() {
				a.manager.Resumed(now)
			}
			a.manager.Tick(now)
			if now.Sub(a.syncedAt) >= syncInterval {
				a.syncLinks(now)
			}
		case <-a.ctx.Done():
			for _, s := range a.sessions {
				s.conn.Close()
			}
			return
		}
		a.performActions()
	}
}

// performActions carries out the actions that the manager has queued.
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
