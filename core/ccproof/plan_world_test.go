package ccproof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
)

const (
	// planBound is how long after its acceptance a plan must be in force at an entry that
	// reaches the store, and detachedPlanBound at one that the store turns away while
	// others reach it.
	planBound         = 2 * time.Second
	detachedPlanBound = planBound + 5*time.Second
	// calmTime is how long an entry must be undisturbed before the bounds hold.
	calmTime = 3 * time.Second
	// sessionsClosedAfter is how long an entry and an agent may be cut off from each other
	// until both have closed their session.
	sessionsClosedAfter = 1100 * time.Millisecond
	// planFetchDelay is the longest time that the store takes to deliver a plan.
	planFetchDelay = 500 * time.Millisecond
)

// planWorld simulates how plans spread over a fleet: from a store that turns some entries
// away, over agents that relay them.
type planWorld struct {
	*replayWorld
	accepted []time.Time // When each plan was accepted. The revision is the index plus one.
	readers  map[ccnode.ID]*planReader
	// evacuations has the failure domains that are out. Nil if none is ever taken out.
	evacuations *evacuations
}

// planReader is an entry's access to the store.
type planReader struct {
	awayUntil time.Time
	// readAt is when the last plan read from the store arrives.
	readAt time.Time
	read   uint64
	// disturbedAt is the end of the last disturbance of the entry, and awayAt the end of
	// the last time without the store.
	disturbedAt time.Time
	awayAt      time.Time
	incarnation ccnode.Incarnation
	applied     uint64 // The highest revision in force in this incarnation.
}

// newPlanWorld returns a world of entries and agents in three domains. Each agent has
// sessions with the entries of its domain and with one of another domain.
func newPlanWorld(seed uint64) *planWorld {
	const domains = 3
	return newPlanWorldWith(seed, domains, 4*domains, func(agent, entry int) bool {
		remote := (agent + 1 + domains*(agent/domains%2)) % (2 * domains)
		return entry%domains == agent%domains || entry == remote
	})
}

// newPlanWorldWith returns a world with two entries in each domain. An agent has sessions with the
// entries that it uses.
func newPlanWorldWith(seed uint64, domains, agents int, uses func(agent, entry int) bool) *planWorld {
	w := &planWorld{replayWorld: newEmptyWorld(seed), readers: map[ccnode.ID]*planReader{}}
	w.rng = rand.New(rand.NewPCG(seed, 3))
	w.domains = domains
	for range 2 * domains {
		w.readers[w.addEntry().ref.ID] = &planReader{incarnation: 1, disturbedAt: w.start}
	}
	for i := range agents {
		w.addAgent(func(entry int) bool { return uses(i, entry) })
	}
	return w
}

// run simulates the given length of time. It returns a message about the first broken
// promise, or an empty string.
func (w *planWorld) run(length time.Duration) string {
	w.schedule(0, w.tick)
	w.schedule(time.Millisecond, w.reconnect)
	w.schedule(0, w.readStore)
	w.schedule(0, w.accept)
	for range 24 {
		w.schedule(time.Duration(500+w.rng.IntN(int(length.Milliseconds())))*time.Millisecond, w.disturb)
	}
	w.simulate(length)
	return w.violation
}

// accept accepts a plan and schedules the next one.
func (w *planWorld) accept() {
	w.accepted = append(w.accepted, w.now)
	if w.evacuations != nil {
		w.evacuations.accept()
	}
	w.logf("plan %d is accepted", len(w.accepted))
	pause := time.Duration(100+w.rng.IntN(1400)) * time.Millisecond
	if w.rng.IntN(3) == 0 {
		// No newer plan hides that this one is missing somewhere.
		pause += detachedPlanBound + calmTime
	}
	w.schedule(pause, w.accept)
}

// readStore delivers the newest plan to each entry that reaches the store, and checks the
// promises.
func (w *planWorld) readStore() {
	newest := uint64(len(w.accepted))
	for _, e := range w.entries {
		r := w.readers[e.ref.ID]
		if r.incarnation != e.ref.Incarnation {
			r.incarnation, r.read, r.applied = e.ref.Incarnation, 0, 0
		}
		if w.now.Before(r.awayUntil) {
			r.awayAt = w.now
			continue
		}
		if w.now.Before(e.frozenUntil) || w.now.Before(r.readAt) || r.read == newest {
			continue
		}
		delay := time.Duration(w.rng.Int64N(int64(planFetchDelay)))
		ref := e.ref
		r.read, r.readAt = newest, w.now.Add(delay)
		w.schedule(delay, func() {
			e.deliver(func() {
				if e.ref == ref {
					e.scheduler.SetPlan(w.now, w.plan(newest))
				}
			})
		})
	}
	w.checkPlans()
	w.schedule(20*time.Millisecond, w.readStore)
}

// plan returns the plan with a revision.
func (w *planWorld) plan(revision uint64) *ccroute.Plan {
	plan := &ccroute.Plan{Revision: revision}
	if w.evacuations != nil {
		plan.DomainsOut = w.evacuations.out[revision-1]
	}
	return plan
}

// checkPlans records a violation if an entry's plan is older than it may be.
func (w *planWorld) checkPlans() {
	reached := slices.ContainsFunc(w.entries, func(e *replayEntry) bool {
		r := w.readers[e.ref.ID]
		return w.now.Sub(r.awayAt) > calmTime && w.now.Sub(r.disturbedAt) > calmTime
	})
	for _, e := range w.entries {
		r := w.readers[e.ref.ID]
		if w.now.Before(e.frozenUntil) {
			r.disturbedAt = w.now
		}
		plan := e.scheduler.Plan()
		if plan == nil {
			continue
		}
		if plan.Revision < r.applied {
			w.violate("%s went back from plan %d to %d", e.ref, r.applied, plan.Revision)
		}
		r.applied = plan.Revision
		bound := planBound
		if w.now.Sub(r.awayAt) <= calmTime {
			bound = detachedPlanBound
		}
		if !reached || w.now.Sub(r.disturbedAt) <= calmTime || plan.Revision == uint64(len(w.accepted)) {
			continue
		}
		if age := w.now.Sub(w.accepted[plan.Revision]); age > bound {
			w.violate("%s has plan %d, and plan %d was accepted %v ago", e.ref, plan.Revision, plan.Revision+1, age)
		}
	}
}

func (w *planWorld) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...) + fmt.Sprintf(" at %v", w.now.Sub(w.start))
	}
}

// disturb injects one random fault.
func (w *planWorld) disturb() {
	a := w.agents[w.rng.IntN(len(w.agents))]
	e := w.entries[w.rng.IntN(len(w.entries))]
	span := time.Duration(100+w.rng.IntN(1900)) * time.Millisecond
	kind := w.rng.IntN(7)
	w.logf("fault %d at %s, %s for %v", kind, a.ref.ID, e.ref.ID, span)
	r := w.readers[e.ref.ID]
	switch kind {
	case 0, 1:
		// The store turns a part of the entries away.
		span *= 8
		for _, other := range w.entries {
			if w.rng.IntN(2) == 0 {
				w.readers[other.ref.ID].awayUntil = w.now.Add(span)
			}
		}
	case 2:
		span += sessionsClosedAfter
		w.cut(e, span)
		r.disturbedAt = w.now.Add(span)
	case 3:
		w.killEntry(e)
		r.disturbedAt = w.now
	case 4:
		w.killAgent(a)
	case 5:
		e.frozenUntil = w.now.Add(span)
	case 6:
		a.frozenUntil = w.now.Add(span)
	}
}

// cut cuts an entry off from all agents, for long enough that both ends close their
// sessions. What is sent until then is lost.
func (w *planWorld) cut(e *replayEntry, span time.Duration) {
	for _, a := range w.agents {
		if link := a.links[e.ref.ID]; link != nil {
			link.cutUntil = w.now.Add(span)
		}
	}
}
