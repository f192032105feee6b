// Package ccproof tests the state machines of entries and agents together, over
// a network and a store that lose, double, delay and cross messages, while
// processes pause, restart and are cut off.
package ccproof

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"camphorcroft/core/ccjob"
)

// Steps of a schedule.
const (
	steps       = 120
	maxJobs     = 3
	tasksPerJob = 3
)

// jobAt returns an ID of UUID version 7 that carries the time.
func jobAt(at time.Time, n int) ccjob.ID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(n)&0xfff)
	id[8] = 0x80
	return ccjob.ID(id.String())
}

// actions are what may happen. The more often one is named, the likelier it is.
var actions = []struct {
	name  string
	share int
	run   func(w *world, t *rapid.T)
}{
	{"submit", 2, submit},
	{"resubmit", 4, resubmit},
	{"deliver one", 5, func(w *world, t *rapid.T) { deliverOne(w, t, false) }},
	{"deliver many", 10, func(w *world, t *rapid.T) { w.settle(rapid.SampledFrom([]int{3, 10, 40}).Draw(t, "count")) }},
	{"double", 2, func(w *world, t *rapid.T) { deliverOne(w, t, true) }},
	{"delay", 3, delay},
	{"drop", 1, drop},
	{"advance", 10, advance},
	{"advance a little", 2, func(w *world, _ *rapid.T) { w.advance(30 * time.Millisecond) }},
	{"pass", 2, pass},
	{"finish", 4, finish},
	{"pause entry", 1, func(w *world, t *rapid.T) {
		e := pick(t, w.entries)
		e.paused = !e.paused
		w.note("%s paused: %t", e.ref, e.paused)
	}},
	{"pause agent", 1, func(w *world, t *rapid.T) {
		a := pick(t, w.agents)
		a.paused = !a.paused
		w.note("%s paused: %t", a.ref, a.paused)
	}},
	{"restart entry", 1, func(w *world, t *rapid.T) { e := pick(t, w.entries); e.start(); w.note("%s started", e.ref) }},
	{"restart agent", 1, func(w *world, t *rapid.T) { a := pick(t, w.agents); a.start(); w.note("%s started", a.ref) }},
	{"reconnect", 1, func(w *world, t *rapid.T) {
		e, a := pick(t, w.entries), pick(t, w.agents)
		w.note("%s connects to %s", e.ref, a.ref)
		e.step(func() { e.connect(a.id) })
	}},
	{"cut off", 1, func(w *world, t *rapid.T) {
		e := pick(t, w.entries)
		e.cut = !e.cut
		w.note("%s cut off: %t", e.ref, e.cut)
	}},
	{"outage", 1, func(w *world, _ *rapid.T) { w.store.down = !w.store.down; w.note("store down: %t", w.store.down) }},
}

func pick[T any](t *rapid.T, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "which")]
}

func submit(w *world, t *rapid.T) {
	if len(w.jobs) == maxJobs {
		return
	}
	ahead := time.Duration(rapid.IntRange(-1, 1).Draw(t, "client's clock")) * margin
	payloads := make([]string, rapid.IntRange(1, tasksPerJob).Draw(t, "tasks"))
	w.jobs = append(w.jobs, ccjob.Spec{
		ID: jobAt(w.now.Add(ahead), len(w.jobs)), Service: service, Team: "t", Payloads: payloads,
		Deadline: rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second, 30 * time.Second}).Draw(t, "deadline"),
	})
	w.submitTo(pick(t, w.entries), w.jobs[len(w.jobs)-1])
}

func resubmit(w *world, t *rapid.T) {
	if len(w.jobs) > 0 {
		w.submitTo(pick(t, w.entries), pick(t, w.jobs))
	}
}

func (w *world) submitTo(e *entry, spec ccjob.Spec) {
	if w.paused(string(e.id)) {
		return
	}
	w.note("client submits %s with %d tasks to %s", spec.ID, len(spec.Payloads), e.ref)
	w.open[spec.ID]++
	e.step(func() {
		e.submit(spec, func(claim uint64, outcome ccjob.Outcome) { w.answered(e, spec.ID, claim, outcome) })
	})
}

func deliverOne(w *world, t *rapid.T, keep bool) {
	if len(w.flights) > 0 {
		w.deliver(rapid.IntRange(0, len(w.flights)-1).Draw(t, "message"), keep)
	}
}

func delay(w *world, t *rapid.T) {
	if len(w.flights) > 0 {
		f := &w.flights[rapid.IntRange(0, len(w.flights)-1).Draw(t, "message")]
		f.held = true
		w.note("delayed: %s to %s", f.label, f.to)
	}
}

func drop(w *world, t *rapid.T) {
	if len(w.flights) > 0 {
		index := rapid.IntRange(0, len(w.flights)-1).Draw(t, "message")
		w.note("lost: %s to %s", w.flights[index].label, w.flights[index].to)
		w.flights = append(w.flights[:index:index], w.flights[index+1:]...)
	}
}

func advance(w *world, t *rapid.T) {
	passed := rapid.SampledFrom([]time.Duration{
		10 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second,
	}).Draw(t, "time")
	w.advance(passed)
}

// pass lets time pass while messages that aren't delayed arrive, so that leases
// lapse and slots are taken over.
func pass(w *world, t *rapid.T) {
	for range rapid.SampledFrom([]int{4, 12, 24}).Draw(t, "quarters of a second") {
		w.settle(maxFlight)
		w.advance(250 * time.Millisecond)
	}
	w.settle(maxFlight)
}

func finish(w *world, t *rapid.T) {
	a := pick(t, w.agents)
	if !a.paused && len(a.running) > 0 {
		a.finish(rapid.IntRange(0, len(a.running)-1).Draw(t, "task"))
	}
}

// focus makes one kind of trouble likely. The zero value favors none.
type focus struct {
	// opening comes before what is left to chance. It needs three entries, the
	// last of which may not have joined.
	opening opening
	late    bool
	// shares replaces the shares of actions. One that isn't named doesn't happen.
	shares map[string]int
}

// weigh lists each action as often as its share says.
func weigh(t *rapid.T, f focus) []int {
	var weighted []int
	for i, action := range actions {
		share := f.shares[action.name]
		if f.shares == nil {
			// Schedules differ in what happens often, so that some are long in one kind
			// of trouble and free of others.
			share = action.share * rapid.IntRange(0, 3).Draw(t, "share")
		}
		for range share {
			weighted = append(weighted, i)
		}
	}
	return weighted
}

// play runs one schedule to its end, or to the first step after which something
// doesn't hold.
func play(t *rapid.T, g guards, f focus) *world {
	weighted := weigh(t, f)
	var w *world
	if f.opening == nil {
		w = newWorld(g, rapid.IntRange(2, 3).Draw(t, "entries"), 2, rapid.Bool().Draw(t, "late"))
	} else {
		w = newWorld(g, 3, 2, f.late)
		f.opening(w)
	}
	for range steps {
		if len(weighted) == 0 || w.broken != "" {
			break
		}
		actions[rapid.SampledFrom(weighted).Draw(t, "action")].run(w, t)
	}
	return w
}
