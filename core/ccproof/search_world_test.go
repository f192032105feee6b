package ccproof

import (
	"fmt"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// searchWorld is a replayWorld with the network and the faults of a searchConfig.
type searchWorld struct {
	*replayWorld
	net *searchNetwork
	cfg searchConfig
	// setBack is how far each host's wall clock has been set back.
	setBack   map[ccnode.ID]time.Duration
	decisions decisions
}

func newSearchWorld(cfg searchConfig, seed uint64) *searchWorld {
	w := &searchWorld{replayWorld: newEmptyWorld(seed), cfg: cfg, setBack: map[ccnode.ID]time.Duration{}}
	w.decisions = decisions{w: w.replayWorld, checkOutlived: cfg.checkOutlived}
	w.net = &searchNetwork{
		replayWorld: w.replayWorld, cfg: cfg, links: map[*replayAgent]map[ccnode.ID]*dialer{},
		agentSessions: map[*replayAgent]map[ccnode.ID]*connection{}, entrySessions: map[*replayEntry]map[ccnode.ID]*connection{},
	}
	w.network, w.watch, w.calls, w.workerModel = w.net, &w.decisions, cfg.calls, cfg.worker
	w.net.putOff = newPutOff()
	w.decisions.putOff = &w.net.putOff
	w.workerModel.off, w.firstTokenOnly, w.noProbes = cfg.off.worker, cfg.off.fencing, cfg.off.probes
	w.anyIncarnation = cfg.off.incarnations
	w.startsRenew, w.stopsLate, w.lateReads = cfg.off.overdueStops, cfg.off.silentEntries, cfg.lateReads
	w.incarnation = w.wallClock
	w.breaks, w.breakNotice = cfg.breaks, cfg.breakNotice
	for range cfg.entries {
		w.killEntry(w.addEntry())
	}
	for range cfg.agents {
		w.startAgent(w.addAgent(func(int) bool { return true }))
	}
	return w
}

// wallClock returns the incarnation of a process that starts now, as ccnode.NewIncarnation
// does, at a host whose clock may be set back.
func (w *searchWorld) wallClock(id ccnode.ID) ccnode.Incarnation {
	if w.rng.IntN(100) < w.cfg.clockSetBack {
		w.setBack[id] += w.between(time.Millisecond, maxSetBack)
	}
	return ccnode.NewIncarnation(w.now.Add(-w.setBack[id]))
}

// maxSetBack is by how much a clock is set back at once at most.
const maxSetBack = 20 * time.Second

// startAgent replaces the process of an agent.
func (w *searchWorld) startAgent(a *replayAgent) {
	w.killAgent(a)
	for _, e := range w.entries {
		w.net.connect(a, e, w.between(0, dialSpread))
	}
	a.worker.onStart = func(task ccwire.TaskRef) {
		if w.rng.IntN(1000) < w.cfg.crashOnStart {
			w.schedule(w.between(0, maxCrashDelay), func() {
				if a.worker.runs[task] != nil {
					w.crash(a)
				}
			})
		}
	}
}

// maxCrashDelay is how long after its start a task may crash its worker.
const maxCrashDelay = 40 * time.Millisecond

// crash crashes a worker.
func (w *searchWorld) crash(a *replayAgent) { w.crashUntil(a, func() {}) }

// crashMute crashes a worker that answers nothing for a while when it is back, at once or after its
// first answers.
func (w *searchWorld) crashMute(a *replayAgent, span time.Duration) {
	w.crashUntil(a, func() { a.worker.muteFor(span, w.rng.IntN(3)) })
}

// crashUntil crashes a worker, and calls back when it is there again.
func (w *searchWorld) crashUntil(a *replayAgent, back func()) {
	if a.worker.down {
		return
	}
	away := w.between(w.cfg.minAway, w.cfg.maxAway)
	if w.rng.IntN(4) == 0 {
		away = w.between(0, 5*time.Millisecond)
	}
	a.worker.crashFor(away, func() {
		back()
		w.schedule(w.between(0, 100*time.Millisecond), func() {
			a.deliver(func() {
				if !a.worker.down {
					a.worker.heartbeats++
					a.manager.Heartbeat(w.now, a.worker.self())
				}
			})
		})
	})
}

// run runs one schedule. It returns the first violation, or an empty string.
func (w *searchWorld) run() string {
	w.schedule(0, w.tick)
	busy := w.cfg.length * 3 / 4
	for i := range w.cfg.jobs {
		request := ccreplay.Request{
			ID: fmt.Sprintf("job-%d", i), Tasks: 1 + w.rng.IntN(4), Need: ccresource.Amount{CPU: 1000},
			Route:    ccroute.Route{Name: "r", Service: "s", MaxAttempts: 3, Stretch: 1.6, Allowance: 60 * time.Millisecond},
			Estimate: w.between(60*time.Millisecond, 660*time.Millisecond),
		}
		w.schedule(w.between(500*time.Millisecond, busy), func() {
			first := w.rng.IntN(len(w.entries))
			if w.cfg.resetRequests > 0 && w.rng.IntN(100) < w.cfg.resetRequests {
				w.submitReset(first, request)
				return
			}
			w.submit(w.entries[first], request, w.cfg.resends)
		})
	}
	for range w.cfg.faults {
		w.schedule(w.between(500*time.Millisecond, busy), w.injectFault)
	}
	w.simulate(w.cfg.length)
	return w.violation
}

// submit has a caller send a job. It sends it again after no answer, as callers do, and
// sometimes sooner to the same entry, or to it after another answer.
func (w *searchWorld) submit(e *replayEntry, request ccreplay.Request, resends int) {
	request.Deadline = w.now.Add(w.cfg.deadline)
	ref := e.ref
	w.send(e, request, func(state ccreplay.State) {
		failed := state == "" || state == ccreplay.StateExpired || state == ccreplay.StateUnknown
		switch {
		case resends == 0:
		case state != "" && w.rng.IntN(100) < w.cfg.resendAnswered:
			w.schedule(w.between(0, w.cfg.resendWithin), func() {
				if e.ref == ref {
					w.submit(e, request, resends-1)
				}
			})
		case failed:
			w.schedule(resendAfter, func() {
				next := e
				if w.cfg.resendSame == 0 || w.rng.IntN(100) >= w.cfg.resendSame {
					next = w.entries[w.rng.IntN(len(w.entries))]
				}
				w.submit(next, request, resends-1)
			})
		}
	})
}

// slow has a process get too little of the processor.
func (w *searchWorld) slow(p *process, span time.Duration) {
	p.slow(span, time.Millisecond, w.between(2*time.Millisecond, w.cfg.maxCost))
}

// resize changes the capacity of a worker for a while. Its runs go on.
func (w *searchWorld) resize(m *modelWorker, span time.Duration) {
	m.capacity = 1000 * int64(w.rng.IntN(5))
	w.logf("worker %s: has a capacity of %d", m.id, m.capacity)
	w.schedule(span, func() { m.capacity = modelCapacity })
}

// injectFault injects a random fault according to the weights.
func (w *searchWorld) injectFault() {
	a, e := w.agents[w.rng.IntN(len(w.agents))], w.entries[w.rng.IntN(len(w.entries))]
	span := w.between(w.cfg.minSpan, w.cfg.maxSpan)
	weights := w.cfg.weights
	kinds := []struct {
		name   string
		weight int
		inject func()
	}{
		{"reset", weights.reset, func() { w.net.resetSession(a, e) }},
		{"cut", weights.cut, func() { w.net.cut(a, e, span) }},
		{"cut agent", weights.cutAgent, func() {
			for _, other := range w.entries {
				w.net.cut(a, other, span)
			}
		}},
		{"kill entry", weights.killEntry, func() { w.killEntry(e) }},
		{"kill agent", weights.killAgent, func() { w.startAgent(a) }},
		{"freeze entry", weights.freezeEntry, func() { e.frozenUntil = w.now.Add(span) }},
		{"freeze agent", weights.freezeAgent, func() { a.frozenUntil = w.now.Add(span) }},
		{"crash worker", weights.crashWorker, func() { w.crash(a) }},
		{"mute return", weights.muteReturn, func() { w.crashMute(a, span) }},
		{"foreign heartbeats", weights.foreign, func() { w.sendForeignHeartbeats(a, span) }},
		{"slow entry", weights.slowEntry, func() { w.slow(e.process, span) }},
		{"slow agent", weights.slowAgent, func() { w.slow(a.process, span) }},
		{"late ticks", weights.lateTicks, func() {
			a.process.noTicksUntil = w.now.Add(w.between(50*time.Millisecond, 400*time.Millisecond))
		}},
		{"late silence", weights.lateSilence, func() {
			w.net.cut(a, e, span)
			w.schedule(w.between(200*time.Millisecond, 400*time.Millisecond), func() {
				a.process.noTicksUntil = w.now.Add(w.between(200*time.Millisecond, 400*time.Millisecond))
			})
		}},
		{"resize worker", weights.resize, func() { w.resize(a.worker, span) }},
		{"turn away", weights.turnAway, func() { w.net.turnAway(a, e, span) }},
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	if total == 0 {
		return
	}
	dice := w.rng.IntN(total)
	for _, k := range kinds {
		if dice < k.weight {
			w.logf("fault: %s at %s, %s for %v", k.name, a.ref.ID, e.ref.ID, span)
			k.inject()
			return
		}
		dice -= k.weight
	}
}
