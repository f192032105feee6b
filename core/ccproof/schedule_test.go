// Package ccproof tests the state machines of entries and agents together, with a
// simulated network and store that drop, duplicate, delay and reorder messages,
// while processes pause, restart and lose their connection to the store.
package ccproof

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"camphorcroft/core/ccjob"
)

// Limits of a schedule.
const (
	steps       = 120
	maxJobs     = 3
	tasksPerJob = 3
)

// jobIDAt returns a UUIDv7 with the given timestamp.
func jobIDAt(at time.Time, n int) ccjob.ID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(n)&0xfff)
	id[8] = 0x80
	return ccjob.ID(id.String())
}

// actions lists the steps of a schedule, each with its relative probability.
var actions = []struct {
	name   string
	weight int
	run    func(w *world, t *rapid.T)
}{
	{"submit", 2, submit},
	{"resubmit", 4, resubmit},
	{"deliver one", 5, func(w *world, t *rapid.T) { deliverOne(w, t, false) }},
	{"deliver many", 10, func(w *world, t *rapid.T) { w.deliverNext(rapid.SampledFrom([]int{3, 10, 40}).Draw(t, "count")) }},
	{"double", 2, func(w *world, t *rapid.T) { deliverOne(w, t, true) }},
	{"delay", 3, delayMessage},
	{"drop", 1, dropMessage},
	{"advance", 10, advance},
	{"advance a little", 2, func(w *world, _ *rapid.T) { w.advance(30 * time.Millisecond) }},
	{"pass", 2, advanceDelivering},
	{"finish", 4, finishTask},
	{"pause entry", 1, func(w *world, t *rapid.T) {
		e := pick(t, w.entries)
		e.paused = !e.paused
		w.logf("%s paused: %t", e.ref, e.paused)
	}},
	{"pause agent", 1, func(w *world, t *rapid.T) {
		a := pick(t, w.agents)
		a.paused = !a.paused
		w.logf("%s paused: %t", a.ref, a.paused)
	}},
	{"restart entry", 1, func(w *world, t *rapid.T) { e := pick(t, w.entries); e.start(); w.logf("%s started", e.ref) }},
	{"restart agent", 1, func(w *world, t *rapid.T) { a := pick(t, w.agents); a.start(); w.logf("%s started", a.ref) }},
	{"reconnect", 1, func(w *world, t *rapid.T) {
		e, a := pick(t, w.entries), pick(t, w.agents)
		w.logf("%s reconnects to %s", e.ref, a.ref)
		e.step(func() { e.connect(a.id) })
	}},
	{"cut off", 1, func(w *world, t *rapid.T) {
		e := pick(t, w.entries)
		e.storeCut = !e.storeCut
		w.logf("%s cut off from the store: %t", e.ref, e.storeCut)
	}},
	{"outage", 1, func(w *world, _ *rapid.T) { w.store.down = !w.store.down; w.logf("store down: %t", w.store.down) }},
}

func pick[T any](t *rapid.T, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "which")]
}

func submit(w *world, t *rapid.T) {
	if len(w.jobs) == maxJobs {
		return
	}
	clockSkew := time.Duration(rapid.IntRange(-1, 1).Draw(t, "client's clock")) * clockMargin
	payloads := make([]string, rapid.IntRange(1, tasksPerJob).Draw(t, "tasks"))
	w.jobs = append(w.jobs, ccjob.Spec{
		ID: jobIDAt(w.now.Add(clockSkew), len(w.jobs)), Service: service, Team: "t", Payloads: payloads,
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
	if w.isPaused(string(e.id)) {
		return
	}
	w.logf("client submits %s with %d tasks to %s", spec.ID, len(spec.Payloads), e.ref)
	w.openSubmissions[spec.ID]++
	e.step(func() {
		e.submit(spec, func(claim uint64, outcome ccjob.Outcome) { w.jobAnswered(e, spec.ID, claim, outcome) })
	})
}

func deliverOne(w *world, t *rapid.T, keep bool) {
	if len(w.inFlight) > 0 {
		w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message"), keep)
	}
}

func delayMessage(w *world, t *rapid.T) {
	if len(w.inFlight) > 0 {
		f := &w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")]
		f.delayed = true
		w.logf("delayed: %s to %s", f.label, f.to)
	}
}

func dropMessage(w *world, t *rapid.T) {
	if len(w.inFlight) > 0 {
		index := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
		w.logf("dropped: %s to %s", w.inFlight[index].label, w.inFlight[index].to)
		w.inFlight = append(w.inFlight[:index:index], w.inFlight[index+1:]...)
	}
}

func advance(w *world, t *rapid.T) {
	passed := rapid.SampledFrom([]time.Duration{
		10 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second,
	}).Draw(t, "time")
	w.advance(passed)
}

// advanceDelivering advances the clock in small steps and delivers messages that
// aren't delayed, so that leases expire and slots are taken over.
func advanceDelivering(w *world, t *rapid.T) {
	for range rapid.SampledFrom([]int{4, 12, 24}).Draw(t, "quarters of a second") {
		w.deliverNext(maxInFlight)
		w.advance(250 * time.Millisecond)
	}
	w.deliverNext(maxInFlight)
}

func finishTask(w *world, t *rapid.T) {
	a := pick(t, w.agents)
	if !a.paused && len(a.running) > 0 {
		a.finishTask(rapid.IntRange(0, len(a.running)-1).Draw(t, "task"))
	}
}

// scenario makes one kind of fault likely. The zero value favors none.
type scenario struct {
	// setup runs before the random steps. It needs three entries, the last of which
	// may not have joined.
	setup     setupFunc
	lateEntry bool
	// weights replaces the weights of the actions, unless it is nil. Actions that
	// aren't listed don't occur.
	weights map[string]int
}

// weightedActions lists the index of each action as often as its weight says.
func weightedActions(t *rapid.T, s scenario) []int {
	var weighted []int
	for i, action := range actions {
		weight := s.weights[action.name]
		if s.weights == nil {
			// Weights vary between schedules, so that some have many faults of one
			// kind and none of another.
			weight = action.weight * rapid.IntRange(0, 3).Draw(t, "share")
		}
		for range weight {
			weighted = append(weighted, i)
		}
	}
	return weighted
}

// runSchedule runs one schedule to its end, or to the first step that violates an
// invariant.
func runSchedule(t *rapid.T, g guards, s scenario) *world {
	weighted := weightedActions(t, s)
	var w *world
	if s.setup == nil {
		w = newWorld(g, rapid.IntRange(2, 3).Draw(t, "entries"), 2, rapid.Bool().Draw(t, "late"))
	} else {
		w = newWorld(g, 3, 2, s.lateEntry)
		s.setup(w)
	}
	for range steps {
		if len(weighted) == 0 || w.violation != "" {
			break
		}
		actions[rapid.SampledFrom(weighted).Draw(t, "action")].run(w, t)
	}
	return w
}
