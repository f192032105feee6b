package ccproof

import (
	"fmt"
	"slices"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

const (
	margin    = 200 * time.Millisecond // Between any two clocks.
	leaseTime = 3 * time.Second
	retention = 10 * time.Minute
	maxFlight = 300 // Messages under way; the oldest are lost beyond that.
	service   = "proof"
)

// guards says which checks are on.
type guards struct {
	claims, vouching, promises, leases, grantLife, incarnation, tombstone, fence bool
}

func allGuards() guards {
	return guards{claims: true, vouching: true, promises: true, leases: true, grantLife: true, incarnation: true, tombstone: true, fence: true}
}

// flight is a message under way.
type flight struct {
	to, label string
	run       func()
	held      bool // Delayed; messages sent later go ahead.
}

// world holds all processes, the messages between them, and what has to hold.
type world struct {
	now     time.Time
	guards  guards
	entries []*entry
	agents  []*agent
	flights []flight
	store   store
	lives   []ccclaim.AgentIncarnation
	lineage ccnode.Incarnation
	log     []string
	broken  string // What doesn't hold, once something doesn't.
	starts  map[string]int
	open    map[ccjob.ID]int // Submissions that may still start tasks.
	banned  map[string]bool  // Claims whose job was answered as not run.
	jobs    []ccjob.Spec
	done    int
}

// store is the platform's store, as far as entries' membership goes.
type store struct {
	down   bool
	roster *ccroster.Roster
	leases map[ccnode.ID]lease
}

type lease struct {
	holder ccnode.Ref
	until  time.Time
}

func newWorld(g guards, entries, agents int, late bool) *world {
	w := &world{
		now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), guards: g,
		starts: map[string]int{}, open: map[ccjob.ID]int{}, banned: map[string]bool{},
	}
	w.store.leases = map[ccnode.ID]lease{}
	for i := range agents {
		w.agents = append(w.agents, &agent{w: w, id: ccnode.ID(fmt.Sprintf("agent%d", i))})
		w.agents[i].start()
	}
	for i := range entries {
		e := &entry{w: w, id: ccnode.ID(fmt.Sprintf("entry%d", i)), skew: time.Duration(i-1) * margin / 2}
		w.entries = append(w.entries, e)
		if i == 2 && late {
			continue // It joins when it is restarted.
		}
		e.start()
		for !e.member() {
			w.settle(20)
			w.advance(50 * time.Millisecond)
		}
	}
	w.settle(1000)
	w.advance(50 * time.Millisecond)
	w.settle(1000)
	w.log = nil
	return w
}

// note adds a line to the time line.
func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8s  ", w.now.Sub(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)))+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
		w.note("BROKEN: %s", w.broken)
	}
}

func (w *world) nextLife() ccnode.Incarnation {
	w.lineage++
	return w.lineage
}

// send puts a message under way.
func (w *world) send(to, label string, run func()) {
	w.flights = append(w.flights, flight{to: to, label: label, run: run})
	if len(w.flights) > maxFlight {
		w.flights = w.flights[1:]
	}
}

// deliver hands over one message, and keeps it under way if it is doubled.
func (w *world) deliver(index int, keep bool) {
	message := w.flights[index]
	if w.paused(message.to) {
		return
	}
	if !keep {
		w.flights = slices.Delete(w.flights, index, index+1)
	}
	w.note("-> %s: %s", message.to, message.label)
	message.run()
}

// settle delivers up to n messages in order.
func (w *world) settle(n int) {
	for range n {
		index := slices.IndexFunc(w.flights, func(f flight) bool { return !f.held && !w.paused(f.to) })
		if index < 0 {
			return
		}
		w.deliver(index, false)
	}
}

func (w *world) paused(to string) bool {
	for _, e := range w.entries {
		if string(e.id) == to {
			return e.paused || !e.running()
		}
	}
	for _, a := range w.agents {
		if string(a.id) == to {
			return a.paused
		}
	}
	return false
}

// advance lets time pass, and everything that isn't paused notice it.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		if !a.paused {
			a.tick()
		}
	}
	for _, e := range w.entries {
		if !e.paused && e.running() {
			e.tick()
		}
	}
}

// call is a request from an entry to another process's address. The reply is
// lost if the entry has ended meanwhile.
func call[R any](e *entry, to, label string, serve func() (R, bool), take func(R)) {
	w, life := e.w, e.ref
	w.send(to, label+" from "+string(e.id), func() {
		reply, ok := serve()
		if !ok {
			return
		}
		w.send(string(e.id), label+" answered by "+to, func() {
			if e.ref == life {
				e.step(func() { take(reply) })
			}
		})
	})
}

func taskKey(id ccjob.ID, index int) string { return fmt.Sprintf("%s/%d", id, index) }

func claimKey(id ccjob.ID, claim uint64) string { return fmt.Sprintf("%s#%d", id, claim) }

func answerOf(id ccjob.ID, index int) string { return "answer of " + taskKey(id, index) }

// started checks a start against all that was promised.
func (w *world) started(a *agent, id ccjob.ID, index int, claim uint64) {
	w.note("   %s starts %s under claim %d", a.ref, taskKey(id, index), claim)
	w.starts[taskKey(id, index)]++
	if w.starts[taskKey(id, index)] > 1 {
		w.fail("task %s started twice", taskKey(id, index))
	}
	if w.open[id] == 0 || w.banned[claimKey(id, claim)] {
		w.fail("task %s started after it was said not to run", taskKey(id, index))
	}
}

// answered checks an outcome that a client got.
func (w *world) answered(e *entry, id ccjob.ID, claim uint64, outcome ccjob.Outcome) {
	w.note("   %s answers %s: %s %s notRun=%t", e.ref, id, outcome.State, outcome.Kind, outcome.NotRun)
	spec := w.jobs[slices.IndexFunc(w.jobs, func(s ccjob.Spec) bool { return s.ID == id })]
	switch {
	case outcome.State == ccjob.StateComplete:
		w.done++
		w.checkWhole(&spec, outcome)
	case outcome.NotRun:
		w.open[id]--
		w.banned[claimKey(id, claim)] = claim != 0
		for index := range spec.Payloads {
			if w.starts[taskKey(id, index)] > 0 {
				w.fail("job %s was said not to run after task %d started", id, index)
			}
		}
	case len(outcome.Answers) > 0:
		w.fail("job %s failed with answers", id)
	}
}

func (w *world) checkWhole(spec *ccjob.Spec, outcome ccjob.Outcome) {
	if len(outcome.Answers) != len(spec.Payloads) {
		w.fail("job %s has %d answers", spec.ID, len(outcome.Answers))
		return
	}
	for index, answer := range outcome.Answers {
		if answer.Index != index || answer.Payload != answerOf(spec.ID, index) {
			w.fail("job %s has a wrong answer %d", spec.ID, index)
		}
	}
}

// storeCall is a call of an entry to the store. The effect and the answer travel
// apart, so either may be lost.
func storeCall[R any](e *entry, label string, effect func() R, take func(sent time.Time, reply R)) {
	if e.cut {
		return
	}
	sent := e.clock()
	call(e, "store", label, func() (R, bool) {
		if e.w.store.down {
			var none R
			return none, false
		}
		return effect(), true
	}, func(reply R) { take(sent, reply) })
}

// shown is what a round at the store shows.
type shown struct {
	holds  bool // The caller's key is there.
	roster *ccroster.Roster
	live   map[ccnode.ID]ccnode.Ref
}

// renew extends a lease, or makes one if it is asked to and the key is free or an
// earlier life's.
func (s *store) renew(now time.Time, ref ccnode.Ref, makeKey bool) shown {
	held, ok := s.leases[ref.ID]
	alive := ok && now.Before(held.until)
	free := !alive || held.holder.Incarnation <= ref.Incarnation
	holds := alive && held.holder == ref || makeKey && free
	if holds {
		s.leases[ref.ID] = lease{holder: ref, until: now.Add(leaseTime)}
	}
	look := shown{holds: holds, roster: s.roster, live: map[ccnode.ID]ccnode.Ref{}}
	for id, held := range s.leases {
		if now.Before(held.until) {
			look.live[id] = held.holder
		}
	}
	return look
}

// swap replaces the roster if its epoch is the expected one.
func (s *store) swap(next *ccroster.Roster) bool {
	if s.roster != nil && s.roster.Epoch+1 != next.Epoch || s.roster == nil && next.Epoch != ccroster.FirstEpoch {
		return false
	}
	s.roster = next
	return true
}

// agentAt and entryAt find the process at an address now.
func (w *world) agentAt(id ccnode.ID) *agent {
	return w.agents[slices.IndexFunc(w.agents, func(a *agent) bool { return a.id == id })]
}

func (w *world) entryAt(id ccnode.ID) *entry {
	return w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.id == id })]
}
