package ccagent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
	settingsio "camphorcroft/io/ccsettings"
)

// Agent is one agent process, or one of several in a process.
type Agent struct {
	cfg   Config
	log   logr.Logger
	ring  *ccevent.Ring
	since time.Time
	stats *stats

	mailbox chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	listener *listener
	web      *http.Server
	webAddr  netip.AddrPort
	runner   *runner
	reader   *settingsio.Reader // Of the settings, for a lead.

	// The control goroutine alone uses what follows.
	table        *ccagent.Controller
	links        map[*ccrpc.Peer]*link
	byEntry      map[ccnode.Ref]*link
	lastDispatch time.Time
	cells        cells
	drained      chan struct{} // Closed once the agent that leaves has nothing left to do.
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	now := time.Now()
	if cfg.Node.Incarnation == 0 {
		cfg.Node.Incarnation = ccnode.NewIncarnation(now)
	}
	if cfg.Ring == nil {
		cfg.Ring = ccevent.NewRing(ccevent.RingConfig{Node: cfg.Node, Domain: cfg.Domain, Size: ringSize})
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, log: cfg.Log.WithName("agent").WithValues("node", cfg.Node.ID), ring: cfg.Ring, since: now,
		stats: newStats(cfg.Node.ID, cfg.Domain), mailbox: make(chan func(time.Time), mailboxSize), ctx: ctx, cancel: cancel,
		links: make(map[*ccrpc.Peer]*link), byEntry: make(map[ccnode.Ref]*link),
		table: ccagent.NewController(ccagent.Config{
			Self: cfg.Node, Domain: cfg.Domain, Service: cfg.Service, Slots: cfg.Slots, StartedAt: now, Guards: cfg.Guards,
		}),
	}
	cfg.Gate.Export(a.stats.set)
	a.runner = newRunner(cfg.Target)
	a.reader = a.newReader()
	return a
}

// Start listens, serves and announces the agent. The context bounds the start
// alone.
func (a *Agent) Start(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", a.cfg.Listen.String())
	if err != nil {
		return errors.Annotate(err, "listen for entries")
	}
	a.listener = &listener{Listener: socket}
	if err := a.startWeb(ctx); err != nil {
		a.listener.closeAll()
		return errors.Trace(err)
	}
	a.goRun(a.control)
	peers := a.cfg.Gate.Streams(a.listener)
	a.goRun(func() { ccrpc.Serve(peers, &handler{agent: a}) })
	a.goRun(a.enroll)
	a.ring.Record(time.Now(), ccevent.Event{Kind: ccevent.KindUp, Index: ccevent.NoIndex, Domain: a.cfg.Domain})
	a.log.Info("Agent is up.", "listen", a.Addr(), "http", a.HTTPAddr(), "target", a.cfg.Target)
	return nil
}

// Stop leaves gracefully: it tells the cell and the entries, bounces new work,
// lets running tasks end within a bound, reports them and closes.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Info("Agent is leaving.")
	a.ring.Record(time.Now(), ccevent.Event{Kind: ccevent.KindDraining, Index: ccevent.NoIndex, Domain: a.cfg.Domain})
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	drained := make(chan struct{})
	a.post(func(now time.Time) {
		a.drained, a.lastDispatch = drained, now
		a.table.Leave(now)
	})
	a.tellCell(ctx, false)
	err := a.waitDrained(ctx, drained)
	a.tellCell(ctx, true)
	a.ring.Record(time.Now(), ccevent.Event{Kind: ccevent.KindDown, Index: ccevent.NoIndex, Domain: a.cfg.Domain})
	a.close()
	a.log.Info("Agent is down.")
	return err
}

func (a *Agent) waitDrained(ctx context.Context, drained <-chan struct{}) error {
	select {
	case <-drained:
		return nil
	case <-a.ctx.Done():
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for running tasks")
	}
}

// Kill ends the agent at once and tells nobody, as a crash would.
func (a *Agent) Kill() {
	a.close()
}

// Stall keeps the control goroutine from running for a time, as a pause of the
// process would, for experiments and tests.
func (a *Agent) Stall(d time.Duration) {
	a.post(func(time.Time) { a.sleep(d) })
}

// close ends all goroutines and sockets. It may be called more than once.
func (a *Agent) close() {
	a.cancel()
	if a.listener != nil {
		a.listener.closeAll()
	}
	if a.web != nil {
		_ = a.web.Close()
	}
	a.runner.close()
	a.done.Wait()
}

// Ref names this life of the agent.
func (a *Agent) Ref() ccnode.Ref { return a.cfg.Node }

// Addr returns the address that entries dial.
func (a *Agent) Addr() netip.AddrPort { return addrOf(a.listener.Addr()) }

// HTTPAddr returns the address of health, metrics and events.
func (a *Agent) HTTPAddr() netip.AddrPort { return a.webAddr }

// Ring returns the agent's events.
func (a *Agent) Ring() *ccevent.Ring { return a.ring }

func addrOf(addr net.Addr) netip.AddrPort {
	parsed, _ := netip.ParseAddrPort(addr.String())
	return parsed
}

// member describes this agent to the fleet.
func (a *Agent) member(leaving bool) ccwire.Member {
	return ccwire.Member{
		Node: a.cfg.Node, Addr: a.Addr(), HTTP: a.webAddr, Domain: a.cfg.Domain, Rack: a.cfg.Rack,
		Service: a.cfg.Service, Slots: a.table.Slots(), Leaving: leaving, StartedAt: a.since.UnixMilli(),
	}
}

// goRun runs a goroutine that close waits for.
func (a *Agent) goRun(run func()) {
	a.done.Go(run)
}

// post hands work to the control goroutine. It waits while the mailbox is full,
// and does nothing once the agent has closed.
func (a *Agent) post(work func(now time.Time)) {
	select {
	case a.mailbox <- work:
	case <-a.ctx.Done():
	}
}
