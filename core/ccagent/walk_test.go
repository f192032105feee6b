package ccagent

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// init fixes rapid's seed. A flag on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// chooser returns a number below n for the next choice of a walk. It draws from
// rapid or from a seeded generator.
type chooser func(n int, label string) int

// attempt identifies one attempt of one task.
type attempt struct {
	job     ccjob.ID
	index   int
	claim   uint64
	attempt int
}

// covers reports whether the guarantee that p has not started and won't start
// includes q.
func (p attempt) covers(q attempt) bool {
	if p.job != q.job || p.index != q.index {
		return false
	}
	return q.claim < p.claim || q.claim == p.claim && q.attempt <= p.attempt
}

// sentDispatch is a dispatch in flight with its sender and the time of sending.
type sentDispatch struct {
	from   ccnode.Ref
	msg    ccwire.Dispatch
	sentAt time.Time
}

// walk drives a controller through random events: messages are delayed, duplicated
// and reordered, the agent is paused and restarted, and entries reconnect.
type walk struct {
	choose      chooser
	guards      Guards
	now         time.Time
	controller  *Controller
	self        ccnode.Ref
	domainOut   bool
	version     uint64
	session     map[ccnode.ID]uint64
	inFlight    []sentDispatch
	running     []Start
	accepted    map[attempt]sentDispatch // Dispatches that were not ignored.
	lastResume  time.Time                // The end of the last pause.
	lastConfirm time.Time                // When the view was last confirmed.
	starts      []attempt                // Starts that the target did not refuse.
	bounced     []attempt                // Reported as not started, each attempt alone.
	fenced      []attempt                // Guaranteed never to start, with all that they cover.
	err         error
}

func newWalk(choose chooser, guards Guards) *walk {
	w := &walk{choose: choose, guards: guards, now: epoch, accepted: make(map[attempt]sentDispatch), session: map[ccnode.ID]uint64{entryA.ID: 1, entryB.ID: 1}}
	w.restart()
	return w
}

func (w *walk) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *walk) restart() {
	w.self = ccnode.Ref{ID: "agent", Incarnation: w.self.Incarnation + 1}
	w.controller = NewController(Config{Self: w.self, Domain: "a", Service: "proof", Slots: 2, StartedAt: w.now, Guards: w.guards})
	w.running, w.domainOut, w.version = nil, false, max(w.version, 1)
	w.setView()
	// Session numbers stay the same across the restart, so that only the incarnation
	// distinguishes the old sessions from the new ones.
	for _, entry := range []ccnode.Ref{entryA, entryB} {
		w.session[entry.ID]--
		w.hello(entry)
	}
}

func (w *walk) setView() {
	w.controller.SetView(w.now, &ccsettings.AgentView{
		Version: w.version,
		Domains: map[string]ccsettings.Domain{"a": {Out: w.domainOut}},
		Fleet:   ccsettings.Fleet{Retention: ccsettings.Duration(time.Hour)},
	})
}

func (w *walk) hello(entry ccnode.Ref) {
	w.session[entry.ID]++
	_, _ = w.controller.Hello(w.now, ccwire.Hello{Entry: entry, Session: w.session[entry.ID], Version: w.version})
}

func (w *walk) entry() ccnode.Ref {
	return []ccnode.Ref{entryA, entryB}[w.choose(2, "entry")]
}

// randomAttempt draws an attempt. A job is only ever sent to one incarnation of the
// agent, since entries treat tasks that they sent to an earlier one as lost.
func (w *walk) randomAttempt() attempt {
	return attempt{
		job:   ccjob.ID(fmt.Sprintf("job-%d", w.self.Incarnation)),
		index: w.choose(3, "index"), claim: uint64(1 + w.choose(3, "claim")), attempt: 1 + w.choose(3, "attempt"),
	}
}

func (w *walk) send() {
	a, from := w.randomAttempt(), w.entry()
	w.inFlight = append(w.inFlight, sentDispatch{from: from, sentAt: w.now, msg: ccwire.Dispatch{
		Agent: w.self, Session: w.session[from.ID], Version: w.version,
		Echo: w.controller.Clock(w.now).Milliseconds(), WantSlots: w.choose(3, "want"),
		Jobs: []ccwire.DispatchJob{{ID: a.job, Claim: a.claim, Service: "proof", BudgetMS: 1000, Tasks: []ccwire.DispatchTask{
			{Index: a.index, Attempt: a.attempt},
		}}},
	}})
}

// deliver delivers a random dispatch and mostly leaves a copy of it in flight.
func (w *walk) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.choose(len(w.inFlight), "dispatch")
	p := w.inFlight[i]
	if w.choose(4, "last copy") == 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	result := w.controller.Dispatch(w.now, p.from, p.msg)
	if part := p.msg.Jobs[0]; !result.Ignored {
		w.accepted[attempt{part.ID, part.Tasks[0].Index, part.Claim, part.Tasks[0].Attempt}] = p
	}
	for _, start := range result.Starts {
		w.recordStart(start, p)
	}
	w.collect()
}

// isFresh reports whether a dispatch may start tasks: it was sent after the last
// pause, and it is recent or the agent's view is known to be current.
func (w *walk) isFresh(p sentDispatch) bool {
	age := w.now.Sub(p.sentAt)
	confirmed := w.now.Sub(w.lastConfirm) <= maxViewAge && age <= maxIdleEchoAge
	return !p.sentAt.Before(w.lastResume) && (age <= maxEchoAge || confirmed)
}

func (w *walk) recordStart(start Start, p sentDispatch) {
	a := attempt{start.Job, start.Index, start.Claim, start.Attempt}
	switch {
	case slices.ContainsFunc(w.starts, func(b attempt) bool { return a.job == b.job && a.index == b.index }):
		w.failf("%v started twice", a)
	case slices.Contains(w.bounced, a):
		w.failf("%v started after it was reported as not started", a)
	case slices.ContainsFunc(w.fenced, func(b attempt) bool { return b.covers(a) }):
		w.failf("%v started after it was fenced", a)
	case p.msg.Session != w.session[p.from.ID]:
		w.failf("%v started in an older session", a)
	case !w.isFresh(p):
		w.failf("%v started %s after it was sent", a, w.now.Sub(p.sentAt))
	case w.domainOut:
		w.failf("%v started in a domain that is out", a)
	case p.msg.Version < w.version:
		w.failf("%v started under settings %d, not %d", a, p.msg.Version, w.version)
	case len(w.running) >= 2:
		w.failf("%v started without a free slot", a)
	}
	w.starts = append(w.starts, a)
	w.running = append(w.running, start)
}

// collect records the starts of queued tasks and checks every report that is due.
// The start of a queued task is checked against the dispatch that carried it.
func (w *walk) collect() {
	for _, start := range w.controller.TakeQueueResult().Starts {
		w.recordStart(start, w.accepted[attempt{start.Job, start.Index, start.Claim, start.Attempt}])
	}
	for _, entry := range w.controller.ReportsDue() {
		report, _ := w.controller.TakeReport(w.now, entry)
		for _, part := range report.Jobs {
			w.checkNotStarted(part, false)
		}
	}
}

// checkNotStarted checks that no task reported as not started has started.
func (w *walk) checkNotStarted(part ccwire.ReportJob, revoked bool) {
	for _, task := range part.Tasks {
		if task.Code.Started() {
			continue
		}
		a := attempt{part.ID, task.Index, part.Claim, task.Attempt}
		if slices.Contains(w.starts, a) {
			w.failf("%v was reported as %s but started", a, task.Code)
		}
		w.bounced = append(w.bounced, a)
		if revoked {
			w.guaranteeNotStarted(a)
		}
	}
}

func (w *walk) guaranteeNotStarted(a attempt) {
	if slices.ContainsFunc(w.starts, a.covers) {
		w.failf("%v was guaranteed not to have started but did", a)
	}
	w.fenced = append(w.fenced, a)
}

func (w *walk) revoke() {
	a := w.randomAttempt()
	reply, err := w.controller.Revoke(w.now, ccwire.Revoke{Agent: w.self, Jobs: []ccwire.RevokeJob{
		{ID: a.job, Claim: a.claim, Tasks: []ccwire.RevokeTask{{Index: a.index, Attempt: a.attempt}}},
	}})
	if err != nil {
		w.failf("revoke: %v", err)
		return
	}
	w.checkNotStarted(reply.Jobs[0], true)
}

func (w *walk) recover() {
	a := w.randomAttempt()
	reply, err := w.controller.Recover(w.now, w.entry(), ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: a.job, Claim: a.claim}}})
	if err != nil {
		w.failf("recover: %v", err)
		return
	}
	listed := make(map[int]bool)
	for _, part := range reply.Jobs {
		for _, task := range part.Tasks {
			listed[task.Index] = true
		}
	}
	for index := range 3 {
		if !listed[index] {
			w.guaranteeNotStarted(attempt{a.job, index, a.claim - 1, 1 << 30})
		}
	}
}

// finish finishes a running task. A refused one provably did not start.
func (w *walk) finish() {
	if len(w.running) == 0 {
		return
	}
	i := w.choose(len(w.running), "running")
	start := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	code := []ccwire.TaskCode{ccwire.CodeDone, ccwire.CodeLost, ccwire.CodeRefused}[w.choose(3, "code")]
	if code == ccwire.CodeRefused {
		w.starts = slices.DeleteFunc(w.starts, func(b attempt) bool { return b == attempt{start.Job, start.Index, start.Claim, start.Attempt} })
	}
	w.controller.TaskFinished(w.now, TaskResult{Job: start.Job, Index: start.Index, Attempt: start.Attempt, Claim: start.Claim, Code: code, RunTime: 10 * time.Millisecond})
	w.collect()
}

func (w *walk) step() {
	switch w.choose(14, "event") {
	case 0, 1, 2:
		w.send()
	case 3, 4, 5, 6:
		w.deliver()
	case 7:
		w.revoke()
	case 8:
		w.recover()
	case 9:
		w.finish()
	case 10:
		w.now = w.now.Add(time.Duration(1+w.choose(300, "wait")) * time.Millisecond)
		if w.choose(2, "confirm") == 0 {
			w.lastConfirm = w.now
			w.controller.ConfirmView(w.now)
		}
		w.controller.Tick(w.now)
		w.collect()
	case 11:
		w.hello(w.entry())
	case 12:
		w.domainOut, w.version = !w.domainOut, w.version+1
		w.setView()
		w.collect()
	case 13:
		if w.choose(4, "pause or restart") == 0 {
			w.restart()
			return
		}
		w.now = w.now.Add(2 * time.Second)
		w.lastResume = w.now
	}
}

// TestWalk checks that under any delay, duplication and reordering of messages no
// task starts twice, and that a task reported as not started neither has started
// nor starts later.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWalk(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }, Guards{})
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			w.step()
			if w.err != nil {
				rt.Fatal(w.err)
			}
		}
	})
}

// TestWalkFindsMissingGuard checks that the walk finds a violation when any one
// guard is disabled, and none over the same seeds with all guards enabled.
func TestWalkFindsMissingGuard(t *testing.T) {
	const seeds, steps = 300, 150
	find := func(guards Guards) (uint64, error) {
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, seed))
			w := newWalk(func(n int, _ string) int { return rng.IntN(n) }, guards)
			for range steps {
				if w.step(); w.err != nil {
					return seed, w.err
				}
			}
		}
		return 0, nil
	}
	t.Run("all on", func(t *testing.T) {
		if seed, err := find(Guards{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	})
	for name, guards := range map[string]Guards{
		"incarnation": {SkipIncarnation: true}, "session": {SkipSession: true}, "echo": {SkipEcho: true},
		"version": {SkipVersion: true}, "closed": {SkipClosed: true}, "fence": {SkipFence: true},
		"tombstone": {SkipTombstone: true}, "once": {SkipDuplicate: true}, "slots": {SkipSlots: true},
	} {
		t.Run("without "+name, func(t *testing.T) {
			seed, err := find(guards)
			if err == nil {
				t.Fatalf("no violation found with %d seeds", seeds)
			}
			t.Logf("seed %d: %v", seed, err)
		})
	}
}
