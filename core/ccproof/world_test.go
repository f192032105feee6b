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
	clockMargin = 200 * time.Millisecond // Maximum skew between any two clocks.
	leaseTTL    = 3 * time.Second
	retention   = 10 * time.Minute
	maxInFlight = 300 // When more messages are in flight, the oldest are dropped.
	service     = "proof"
)

// guards selects the safety checks that are enabled.
type guards struct {
	claims, proveNew, promises, leases, grantTTL, incarnation, tombstone, fence bool
}

func allGuards() guards {
	return guards{claims: true, proveNew: true, promises: true, leases: true, grantTTL: true, incarnation: true, tombstone: true, fence: true}
}

// message is a message in flight.
type message struct {
	to, label string
	run       func()
	delayed   bool // Messages sent later are delivered first.
}

// world simulates a cluster: its processes, the store and the messages in flight.
// It records what the invariants are checked against.
type world struct {
	now               time.Time
	guards            guards
	entries           []*entry
	agents            []*agent
	inFlight          []message
	store             store
	agentIncarnations []ccclaim.AgentIncarnation
	lastIncarnation   ccnode.Incarnation
	log               []string
	violation         string // The first violated invariant, or empty.
	starts            map[string]int
	openSubmissions   map[ccjob.ID]int // Submissions not yet answered as not run; their tasks may start.
	notRunClaims      map[string]bool  // Claims whose job was answered as not run.
	jobs              []ccjob.Spec
	completed         int
}

// store models the part of the platform's store that holds entry membership.
type store struct {
	down   bool
	roster *ccroster.Roster
	leases map[ccnode.ID]lease
}

type lease struct {
	holder ccnode.Ref
	until  time.Time
}

func newWorld(g guards, entries, agents int, lateEntry bool) *world {
	w := &world{
		now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), guards: g,
		starts: map[string]int{}, openSubmissions: map[ccjob.ID]int{}, notRunClaims: map[string]bool{},
	}
	w.store.leases = map[ccnode.ID]lease{}
	for i := range agents {
		w.agents = append(w.agents, &agent{w: w, id: ccnode.ID(fmt.Sprintf("agent%d", i))})
		w.agents[i].start()
	}
	for i := range entries {
		e := &entry{w: w, id: ccnode.ID(fmt.Sprintf("entry%d", i)), skew: time.Duration(i-1) * clockMargin / 2}
		w.entries = append(w.entries, e)
		if i == 2 && lateEntry {
			continue // It joins when it is restarted.
		}
		e.start()
		for !e.member() {
			w.deliverNext(20)
			w.advance(50 * time.Millisecond)
		}
	}
	w.deliverNext(1000)
	w.advance(50 * time.Millisecond)
	w.deliverNext(1000)
	w.log = nil
	return w
}

// logf adds a line with the simulated time to the log.
func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8s  ", w.now.Sub(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)))+fmt.Sprintf(format, args...))
}

func (w *world) failf(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.logf("BROKEN: %s", w.violation)
	}
}

func (w *world) nextIncarnation() ccnode.Incarnation {
	w.lastIncarnation++
	return w.lastIncarnation
}

// send puts a message in flight.
func (w *world) send(to, label string, run func()) {
	w.inFlight = append(w.inFlight, message{to: to, label: label, run: run})
	if len(w.inFlight) > maxInFlight {
		w.inFlight = w.inFlight[1:]
	}
}

// deliver delivers one message. With keep it stays in flight, so that it can be
// delivered again.
func (w *world) deliver(index int, keep bool) {
	message := w.inFlight[index]
	if w.isPaused(message.to) {
		return
	}
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	w.logf("-> %s: %s", message.to, message.label)
	message.run()
}

// deliverNext delivers up to n messages in order, except delayed ones and those to
// paused processes.
func (w *world) deliverNext(n int) {
	for range n {
		index := slices.IndexFunc(w.inFlight, func(f message) bool { return !f.delayed && !w.isPaused(f.to) })
		if index < 0 {
			return
		}
		w.deliver(index, false)
	}
}

func (w *world) isPaused(to string) bool {
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

// advance moves the clock forward and ticks every process that isn't paused.
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

// call sends a request from an entry to another process. The reply is dropped if
// the entry has restarted in the meantime.
func call[R any](e *entry, to, label string, serve func() (R, bool), take func(R)) {
	w, self := e.w, e.ref
	w.send(to, label+" from "+string(e.id), func() {
		reply, ok := serve()
		if !ok {
			return
		}
		w.send(string(e.id), label+" answered by "+to, func() {
			if e.ref == self {
				e.step(func() { take(reply) })
			}
		})
	})
}

func taskKey(id ccjob.ID, index int) string { return fmt.Sprintf("%s/%d", id, index) }

func claimKey(id ccjob.ID, claim uint64) string { return fmt.Sprintf("%s#%d", id, claim) }

func answerOf(id ccjob.ID, index int) string { return "answer of " + taskKey(id, index) }

// taskStarted checks that a task starts at most once, and not after its job or its
// claim was answered as not run.
func (w *world) taskStarted(a *agent, id ccjob.ID, index int, claim uint64) {
	w.logf("   %s starts %s with claim %d", a.ref, taskKey(id, index), claim)
	w.starts[taskKey(id, index)]++
	if w.starts[taskKey(id, index)] > 1 {
		w.failf("task %s started twice", taskKey(id, index))
	}
	if w.openSubmissions[id] == 0 || w.notRunClaims[claimKey(id, claim)] {
		w.failf("task %s started after it was reported as not run", taskKey(id, index))
	}
}

// jobAnswered checks a job outcome that a client received.
func (w *world) jobAnswered(e *entry, id ccjob.ID, claim uint64, outcome ccjob.Outcome) {
	w.logf("   %s answers %s: %s %s notRun=%t", e.ref, id, outcome.State, outcome.Kind, outcome.NotRun)
	spec := w.jobs[slices.IndexFunc(w.jobs, func(s ccjob.Spec) bool { return s.ID == id })]
	switch {
	case outcome.State == ccjob.StateComplete:
		w.completed++
		w.checkAnswers(&spec, outcome)
	case outcome.NotRun:
		w.openSubmissions[id]--
		w.notRunClaims[claimKey(id, claim)] = claim != 0
		for index := range spec.Payloads {
			if w.starts[taskKey(id, index)] > 0 {
				w.failf("job %s was reported as not run after task %d started", id, index)
			}
		}
	case len(outcome.Answers) > 0:
		w.failf("job %s failed but has answers", id)
	}
}

func (w *world) checkAnswers(spec *ccjob.Spec, outcome ccjob.Outcome) {
	if len(outcome.Answers) != len(spec.Payloads) {
		w.failf("job %s completed with %d answers, not one for each task", spec.ID, len(outcome.Answers))
		return
	}
	for index, answer := range outcome.Answers {
		if answer.Index != index || answer.Payload != answerOf(spec.ID, index) {
			w.failf("job %s has a wrong answer for task %d", spec.ID, index)
		}
	}
}

// callStore calls the store from an entry. The request and the reply are separate
// messages, so either may be lost.
func callStore[R any](e *entry, label string, effect func() R, take func(sent time.Time, reply R)) {
	if e.storeCut {
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

// storeView is what one poll of the store returns.
type storeView struct {
	holdsKey bool // The caller's key exists and its lease is valid.
	roster   *ccroster.Roster
	live     map[ccnode.ID]ccnode.Ref
}

// renewLease extends the caller's lease. With createKey it also creates the key if
// that is free or held by an earlier incarnation.
func (s *store) renewLease(now time.Time, ref ccnode.Ref, createKey bool) storeView {
	held, ok := s.leases[ref.ID]
	alive := ok && now.Before(held.until)
	free := !alive || held.holder.Incarnation <= ref.Incarnation
	holds := alive && held.holder == ref || createKey && free
	if holds {
		s.leases[ref.ID] = lease{holder: ref, until: now.Add(leaseTTL)}
	}
	view := storeView{holdsKey: holds, roster: s.roster, live: map[ccnode.ID]ccnode.Ref{}}
	for id, held := range s.leases {
		if now.Before(held.until) {
			view.live[id] = held.holder
		}
	}
	return view
}

// swapRoster replaces the roster if the new epoch directly follows the current one.
func (s *store) swapRoster(next *ccroster.Roster) bool {
	if s.roster != nil && s.roster.Epoch+1 != next.Epoch || s.roster == nil && next.Epoch != ccroster.FirstEpoch {
		return false
	}
	s.roster = next
	return true
}

// agentAt and entryAt return the process that currently has an ID.
func (w *world) agentAt(id ccnode.ID) *agent {
	return w.agents[slices.IndexFunc(w.agents, func(a *agent) bool { return a.id == id })]
}

func (w *world) entryAt(id ccnode.ID) *entry {
	return w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.id == id })]
}
