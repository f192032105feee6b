package ccproof

import (
	"fmt"
	"maps"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccwire"
)

// evacuationBound is how long after a failure domain was taken out or back its agents may go by its
// former state.
const evacuationBound = 5 * time.Second

// evacuations takes failure domains out and back, cuts entries off from the store and the other
// domains, and watches where tasks start.
type evacuations struct {
	w *planWorld
	// out has the domains that are out, by plan, and since when each domain has its state.
	out   []map[string]bool
	since map[string]time.Time
	// disturbedAt is the end of the last disturbance of an agent.
	disturbedAt map[ccnode.ID]time.Time
	starts      int
}

// evacuationNetwork loses what entries tell agents of their domain, if that is put off.
type evacuationNetwork struct {
	network
	evacuations *evacuations
	closed      map[ccnode.ID]bool // The agents that count their domain as out.
	silent      bool
}

func (n *evacuationNetwork) sendOrders(e *replayEntry, m ccreplay.Message) {
	if n.silent {
		m.Orders.Domain = nil
	}
	n.network.sendOrders(e, m)
}

func (n *evacuationNetwork) sendReport(a *replayAgent, r cclease.Report) {
	n.closed[a.ref.ID] = r.Report.DomainOutRevision != 0
	n.network.sendReport(a, r)
}

func (n *evacuationNetwork) agentKilled(a *replayAgent) {
	n.evacuations.disturbedAt[a.ref.ID] = n.evacuations.w.now
	n.closed[a.ref.ID] = false
	n.network.agentKilled(a)
}

// newEvacuationWorld returns a planWorld in which domains are taken out and back. If silent is set,
// agents are not told.
func newEvacuationWorld(seed uint64, silent bool) *planWorld {
	// More agents than those that relay plans have sessions with each entry.
	const domains = 3
	w := newPlanWorldWith(seed, domains, 4*domains, func(_, _ int) bool { return true })
	ev := &evacuations{w: w, since: map[string]time.Time{}, disturbedAt: map[ccnode.ID]time.Time{}}
	w.evacuations = ev
	w.calls = callFaults{}
	links := &evacuationNetwork{network: w.network, evacuations: ev, closed: map[ccnode.ID]bool{}, silent: silent}
	w.network = links
	for _, a := range w.agents {
		ev.since[a.worker.domain] = w.start
		a.worker.onStart = func(task ccwire.TaskRef) { ev.started(a, task) }
	}
	w.schedule(0, func() { ev.check(links) })
	w.schedule(0, ev.submit)
	for range 10 {
		w.schedule(w.between(time.Second, 30*time.Second), ev.cutOff)
	}
	return w
}

// accept adds the domains that are out to a plan that is accepted now.
func (ev *evacuations) accept() {
	out := map[string]bool{}
	if n := len(ev.out); n > 0 {
		maps.Copy(out, ev.out[n-1])
	}
	if domain := domainName(ev.w.rng.IntN(ev.w.domains)); ev.w.rng.IntN(2) == 0 {
		out[domain] = !out[domain]
		ev.since[domain] = ev.w.now
		ev.w.logf("%s is out: %v", domain, out[domain])
	}
	ev.out = append(ev.out, out)
}

// submit has callers send jobs to all entries.
func (ev *evacuations) submit() {
	ev.w.submit(fmt.Sprintf("job-%d", ev.w.seq), 0, ev.w.now.Add(time.Second))
	ev.w.schedule(50*time.Millisecond, ev.submit)
}

// cutOff cuts an entry off from the store and the agents of other domains. It may be killed then.
func (ev *evacuations) cutOff() {
	w, i := ev.w, ev.w.rng.IntN(len(ev.w.entries))
	e, until := w.entries[i], w.now.Add(w.between(6*time.Second, 14*time.Second))
	w.readers[e.ref.ID].awayUntil, w.readers[e.ref.ID].disturbedAt = until, until
	if w.rng.IntN(2) == 0 {
		for _, a := range w.agents {
			if link := a.links[e.ref.ID]; link != nil && a.worker.domain != domainName(i%w.domains) {
				link.cutUntil = until
			}
		}
	}
	kill := w.rng.IntN(2) == 0
	w.logf("%s is cut off until %v, killed: %v", e.ref, until.Sub(w.start), kill)
	if kill {
		w.killEntry(e)
	}
}

// bound reports whether an agent must know the state of its domain: it is undisturbed, and so is an
// entry that reaches the store and has a session with it.
func (ev *evacuations) bound(a *replayAgent) bool {
	w := ev.w
	if w.now.Before(a.frozenUntil) {
		ev.disturbedAt[a.ref.ID] = w.now
	}
	if w.now.Sub(ev.disturbedAt[a.ref.ID]) <= calmTime || w.now.Sub(ev.since[a.worker.domain]) <= evacuationBound {
		return false
	}
	for _, e := range w.entries {
		r, link := w.readers[e.ref.ID], a.links[e.ref.ID]
		if link != nil && link.session != 0 && w.now.Sub(link.cutUntil) > calmTime && w.now.Sub(r.awayAt) > calmTime && w.now.Sub(r.disturbedAt) > calmTime {
			return true
		}
	}
	return false
}

// isOut reports whether an agent's domain is out.
func (ev *evacuations) isOut(a *replayAgent) bool { return ev.out[len(ev.out)-1][a.worker.domain] }

// started records a violation if a task has started in a domain that is out.
func (ev *evacuations) started(a *replayAgent, task ccwire.TaskRef) {
	ev.starts++
	if ev.isOut(a) && ev.bound(a) {
		ev.w.violate("%s starts %v, though %s is out since %v", a.ref, task, a.worker.domain, ev.since[a.worker.domain].Sub(ev.w.start))
	}
}

// check records a violation if an agent doesn't know the state of its domain.
func (ev *evacuations) check(links *evacuationNetwork) {
	for _, a := range ev.w.agents {
		if ev.bound(a) && links.closed[a.ref.ID] != ev.isOut(a) && !links.silent {
			ev.w.violate("%s counts %s as out: %v, since %v it is not so", a.ref, a.worker.domain, links.closed[a.ref.ID], ev.since[a.worker.domain].Sub(ev.w.start))
		}
	}
	ev.w.schedule(20*time.Millisecond, func() { ev.check(links) })
}
