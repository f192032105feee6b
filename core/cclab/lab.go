package cclab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccsubset"
)

const (
	// leadTime is how long the fleet runs before the load starts, and followTime how long
	// it runs on after it.
	leadTime   = 2 * time.Second
	followTime = 2 * time.Second
	// allEntries is a subset size that no fleet exceeds.
	allEntries = 1 << 20
)

// Lab is a simulated fleet.
type Lab struct {
	cfg     Config
	rng     *rand.Rand
	clock   clock
	start   time.Time // Of the load.
	entries []*entry
	agents  []*agent
	byAddr  map[netip.AddrPort]*entry
	jobs    map[string]*job
	// connections are those of the callers by their home domain, if Config.Callers is set.
	connections [][]*connection
	lastToken   uint64
	lastLink    uint64 // Of a link between entries.
	busy        time.Duration
	wasted      time.Duration
	result      Result
}

// New returns a fleet that has not started.
func New(cfg Config) *Lab {
	l := &Lab{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), byAddr: map[netip.AddrPort]*entry{}, jobs: map[string]*job{},
		clock: clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)},
	}
	l.start = l.clock.now.Add(leadTime)
	return l
}

// Run runs the simulation and returns its outcome.
func (l *Lab) Run() *Result {
	l.startEntries()
	l.startAgents()
	l.connectPeers()
	l.clock.after(leadTime, func() {
		l.connect()
		l.sampleUse()
		for domain := range l.cfg.Domains {
			for _, class := range l.cfg.Classes {
				l.arrive(domain, class)
			}
		}
		if l.cfg.CrashEvery > 0 {
			l.crashAtRandom()
		}
		for _, loss := range l.cfg.Losses {
			l.clock.after(loss.At, func() { l.lose(loss) })
		}
		for _, f := range l.cfg.Freezes {
			l.clock.after(f.At, func() { l.entries[f.Entry].freeze(f) })
		}
	})
	l.clock.runUntil(l.start.Add(l.cfg.Duration + followTime))
	l.result.Busy, l.result.Wasted = l.busy, l.wasted
	return &l.result
}

func (l *Lab) startEntries() {
	for i, cfg := range l.cfg.Entries {
		e := &entry{lab: l, cfg: cfg, ref: ccnode.Ref{ID: ccnode.ID(fmt.Sprintf("entry-%d", i))}, domain: DomainName(cfg.Domain), inPool: true}
		l.entries = append(l.entries, e)
		l.byAddr[entryAddr(i)] = e
		e.start()
		e.tick()
		l.clock.after(leadTime/2+l.jitter(readinessInterval), e.check)
	}
}

// crashAtRandom crashes workers that run no crashing task.
func (l *Lab) crashAtRandom() {
	l.clock.after(time.Duration(l.rng.ExpFloat64()*float64(l.cfg.CrashEvery)), func() {
		if l.clock.now.Sub(l.start) < l.cfg.Duration {
			l.agents[l.rng.IntN(len(l.agents))].worker.crash()
			l.crashAtRandom()
		}
	})
}

// lose takes workers away for a time.
func (l *Lab) lose(loss Loss) {
	for i, a := range l.agents {
		if loss.lost(i) {
			a.worker.crashFor(loss.For)
		}
	}
}

// freeze stops the process for a time.
func (e *entry) freeze(f Freeze) {
	e.frozenUntil = e.lab.clock.now.Add(f.For)
	if !f.Restart {
		return
	}
	sessions := e.sessions
	e.start()
	for _, a := range e.lab.agentsOf(sessions) {
		a.closed = true
		e.lab.clock.after(netDelay, func() { a.agent.sessionClosed(a) })
	}
}

// agentsOf returns sessions in the order of the agents, so that runs are reproducible.
func (l *Lab) agentsOf(sessions map[ccnode.ID]*session) []*session {
	ordered := make([]*session, 0, len(sessions))
	for i := range l.cfg.Agents {
		if s := sessions[agentID(i)]; s != nil {
			ordered = append(ordered, s)
		}
	}
	return ordered
}

func agentID(i int) ccnode.ID { return ccnode.ID(fmt.Sprintf("agent-%d", i)) }

func (l *Lab) startAgents() {
	local, remote := l.cfg.LocalEntries, l.cfg.RemoteEntries
	if local == 0 && remote == 0 {
		local, remote = allEntries, allEntries
	}
	for i := range l.cfg.Agents {
		id, domain := agentID(i), DomainName(i%l.cfg.Domains)
		a := &agent{
			lab: l, ref: ccnode.Ref{ID: id, Incarnation: 1}, domain: domain, sessions: map[ccnode.ID]*session{},
			manager: cclease.NewManager(cclease.Config{Token: 1, StartTime: l.clock.now}),
			worker: &worker{
				lab: l, id: "worker-" + string(id), born: l.clock.now, capacity: ccresource.Amount{CPU: l.cfg.capacity(i)},
				speed: l.cfg.speed(i), rack: l.cfg.rackName(i),
			},
			subset: ccsubset.New(ccsubset.Config{Self: id, Domain: domain, Local: local, Remote: remote}),
		}
		for n, e := range l.entries {
			a.subset.Add(ccsubset.Entry{Addr: entryAddr(n), Domain: e.domain})
		}
		l.agents = append(l.agents, a)
		a.start()
	}
}

// jitter returns a random time up to limit.
func (l *Lab) jitter(limit time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(limit)))
}
