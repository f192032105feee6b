// Package ccentry is the entry process: it takes jobs from clients, claims them,
// drives them with core/ccdispatch, and answers.
//
// One goroutine, the control goroutine, owns all state. HTTP handlers and
// connections hand it commands and carry traffic; none of them decides anything.
//
// # Usage
//
//	entry := ccentry.New(ccentry.Config{Node: self, Domain: "north", Listen: listen, HTTP: http, Store: store, Log: log, Ring: ring})
//	err := entry.Start(ctx)
//	defer entry.Stop(ctx)
package ccentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccanswer"
	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccmetric"
	"camphorcroft/io/ccrpc"
	"camphorcroft/io/ccstore"
)

const (
	tickInterval = 10 * time.Millisecond
	// commandQueue bounds the commands that wait for the control goroutine; who
	// hands over one more waits.
	commandQueue = 4096
	// batchCommands bounds how many commands are handled before their actions are
	// carried out.
	batchCommands = 256
	// drainBound is the longest that a graceful stop waits for jobs in flight.
	drainBound = 30 * time.Second
	// answerBytes bounds the kept answers.
	answerBytes = 32 << 20
)

// Config says who an entry is and what it works with.
type Config struct {
	Node   ccnode.Ref // Names this life. A zero incarnation is drawn by New.
	Domain string
	Listen netip.AddrPort // For other entries. Port 0 takes any.
	HTTP   netip.AddrPort // For clients. Port 0 takes any.
	Store  ccstore.Store
	// Settings follows the operators' settings.
	Settings SettingsSource
	// SetLogLevel is told the level that the settings name. Nil ignores it.
	SetLogLevel func(level string)
	Log         logr.Logger
	Ring        *ccevent.Ring
	// Gate limits the clients. Nil sets no limits.
	Gate *cclimit.Gate
	// MaxBodyBytes limits a submission's body. Zero is 32 MiB.
	MaxBodyBytes int64
	Seed         uint64
	// UnreadyGrace is how long a planned stop still takes jobs after it has turned
	// unready, so that the balancer sends clients elsewhere first.
	UnreadyGrace time.Duration
}

// Entry is a running entry.
type Entry struct {
	cfg        Config
	self       ccnode.Ref
	log        logr.Logger
	commands   chan command
	stopped    chan struct{} // Closed when the control goroutine has ended.
	lost       chan struct{} // Closed when another took this life's place.
	cancel     context.CancelFunc
	background sync.WaitGroup
	listener   net.Listener
	httpSocket net.Listener
	httpServer *http.Server
	metrics    *ccmetric.Set
	malformed  *cclog.Malformed

	// The control goroutine alone touches what follows.
	dispatcher   *ccdispatch.Dispatcher
	answers      *ccanswer.Cache
	pending      map[ccjob.ID]*pendingJob
	links        map[ccnode.ID]*link
	claims       claimer
	presence     *presence
	served       *peerHandler
	unready      bool   // A planned stop has begun.
	draining     bool   // No new jobs are taken.
	version      uint64 // Of the settings in force.
	versionSince time.Time
	// guestsChecked is when connections outside the subset were last looked at.
	guestsChecked time.Time
}

// command is work for the control goroutine.
type command func(now time.Time)

// New returns an entry that has not started.
func New(cfg Config) *Entry {
	if cfg.Node.Incarnation == 0 {
		cfg.Node.Incarnation = ccnode.NewIncarnation(time.Now())
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = maxBodyBytes
	}
	self := cfg.Node
	if cfg.Ring == nil {
		cfg.Ring = ccevent.NewRing(ccevent.RingConfig{Node: self})
	}
	e := &Entry{
		cfg:      cfg,
		self:     self,
		log:      cfg.Log.WithName("entry"),
		commands: make(chan command, commandQueue),
		stopped:  make(chan struct{}),
		lost:     make(chan struct{}),
		pending:  make(map[ccjob.ID]*pendingJob),
		links:    make(map[ccnode.ID]*link),
	}
	e.dispatcher = ccdispatch.New(ccdispatch.Config{
		Entry: self, Domain: cfg.Domain, Seed: cfg.Seed, Record: cfg.Ring.Record,
	})
	e.answers = ccanswer.NewCache(ccanswer.CacheConfig{Retention: defaultRetention, MaxBytes: answerBytes})
	e.metrics = e.newMetrics()
	cfg.Gate.Export(e.metrics)
	e.malformed = cclog.NewMalformed(e.log, e.metrics.Map("malformedItems"))
	e.presence = newPresence(e)
	e.claims = e.presence
	e.served = &peerHandler{entry: e}
	return e
}

// Start opens the sockets and begins to follow the store. It returns before the
// first settings have arrived; /readyz tells when the entry takes jobs.
func (e *Entry) Start(ctx context.Context) error {
	var err error
	listen := net.ListenConfig{}
	if e.listener, err = listen.Listen(ctx, "tcp", e.cfg.Listen.String()); err != nil {
		return &Error{Op: "start", Kind: KindListen, Err: err}
	}
	if e.httpSocket, err = listen.Listen(ctx, "tcp", e.cfg.HTTP.String()); err != nil {
		_ = e.listener.Close()
		return &Error{Op: "start", Kind: KindListen, Err: err}
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	e.httpServer = e.newHTTPServer()
	e.presence.membership = ccoutage.NewMembership(e.presence.rule, ccroster.Member{
		Ref: e.self, Addr: e.Addr(), HTTP: e.HTTPAddr(), Domain: e.cfg.Domain,
	})
	go e.control(running)
	peers := e.cfg.Gate.Streams(e.listener)
	clients := e.cfg.Gate.HTTP(e.httpSocket, e.httpServer, corelimit.ClassRequests, requestLimits)
	e.goBackground(func() { ccrpc.Serve(peers, e.served) })
	e.goBackground(func() { _ = e.httpServer.Serve(clients) })
	e.goBackground(func() { e.followSettings(running) })
	e.goBackground(func() { e.followCells(running) })
	e.goBackground(func() { e.presence.followRoster(running) })
	e.goBackground(func() { e.presence.watchEntries(running) })
	e.cfg.Ring.Record(time.Now(), ccevent.Event{Kind: ccevent.KindUp, Index: ccevent.NoIndex, Domain: e.cfg.Domain})
	e.log.Info("Entry has started.", "node", e.self.String(), "http", e.HTTPAddr().String())
	return nil
}

func (e *Entry) goBackground(work func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		work()
	}()
}

// Addr returns where other entries reach this one.
func (e *Entry) Addr() netip.AddrPort { return addrOf(e.listener) }

// HTTPAddr returns where clients reach this entry.
func (e *Entry) HTTPAddr() netip.AddrPort { return addrOf(e.httpSocket) }

// Ref returns the name and incarnation of this entry.
func (e *Entry) Ref() ccnode.Ref { return e.self }

func addrOf(listener net.Listener) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(listener.Addr().String())
	return addr
}

// Stop is the planned stop: the entry turns unready, gives the balancer time to
// notice, refuses new jobs, answers those in flight, and leaves. It waits until
// ctx ends or 30 s at the longest.
func (e *Entry) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainBound)
	defer cancel()
	e.log.Info("Entry is draining.")
	e.do(func(time.Time) { e.unready = true })
	sleep(ctx, e.cfg.UnreadyGrace)
	e.do(func(now time.Time) {
		e.draining = true
		e.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindDraining, Index: ccevent.NoIndex})
	})
	err := e.waitQuiet(ctx)
	// Clients are shut out first: a refusal is proved by a claim, and there are no
	// claims for an entry that has left the roster.
	if shutdownErr := e.httpServer.Shutdown(ctx); err == nil && shutdownErr != nil {
		err = &Error{Op: "stop", Kind: KindUnfinished, Err: shutdownErr}
	}
	e.presence.leave(ctx)
	e.cfg.Ring.Record(time.Now(), ccevent.Event{Kind: ccevent.KindDown, Index: ccevent.NoIndex})
	e.close()
	e.log.Info("Entry has stopped.")
	return err
}

// waitQuiet waits until no job is pending.
func (e *Entry) waitQuiet(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		left := 0
		e.ask(func(time.Time) { left = len(e.pending) })
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &Error{Op: "stop", Kind: KindUnfinished, Err: ctx.Err()}
		}
	}
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	_ = e.httpServer.Close()
	e.close()
}

func (e *Entry) close() {
	e.cancel()
	_ = e.listener.Close()
	e.served.closeAll()
	_ = e.httpServer.Close()
	<-e.stopped
	e.background.Wait()
}
