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

// init fixes rapid's seed. The flag on the command line goes first.
func init() { _ = flag.Set("rapid.seed", "1") }

// chooser makes the choices of a walk: rapid or a seeded generator.
type chooser func(n int, what string) int

// attempt names one attempt of one task.
type attempt struct {
	job     ccjob.ID
	index   int
	claim   uint64
	attempt int
}

// covers reports whether a promise about p holds for q too.
func (p attempt) covers(q attempt) bool {
	if p.job != q.job || p.index != q.index {
		return false
	}
	return q.claim < p.claim || q.claim == p.claim && q.attempt <= p.attempt
}

// parcel is a dispatch that is under way, with what its sender knew.
type parcel struct {
	from ccnode.Ref
	msg  ccwire.Dispatch
	sent time.Time
}

// walk drives a table through random events. Messages are delayed, doubled and
// crossed, the agent is paused and restarted, entries reconnect.
type walk struct {
	choose  chooser
	guards  Guards
	now     time.Time
	table   *Controller
	self    ccnode.Ref
	out     bool
	version uint64
	session map[ccnode.ID]uint64
	parcels []parcel
	running []Start
	taken   map[attempt]parcel // Dispatches that were not ignored, by their attempt.
	awake   time.Time          // The end of the last pause.
	confirm time.Time          // When the view was last confirmed.
	starts  []attempt          // Starts that were not refused.
	bounced []attempt          // Exactly these never started.
	fenced  []attempt          // These and all before never started.
	err     error
}

func newWalk(choose chooser, guards Guards) *walk {
	w := &walk{choose: choose, guards: guards, now: epoch, taken: make(map[attempt]parcel), session: map[ccnode.ID]uint64{entryA.ID: 1, entryB.ID: 1}}
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
	w.table = NewController(Config{Self: w.self, Domain: "a", Service: "proof", Slots: 2, StartedAt: w.now, Guards: w.guards})
	w.running, w.out, w.version = nil, false, max(w.version, 1)
	w.setView()
	// Numbers of sessions go on where they were: what tells the lives apart is the
	// incarnation.
	for _, entry := range []ccnode.Ref{entryA, entryB} {
		w.session[entry.ID]--
		w.hello(entry)
	}
}

func (w *walk) setView() {
	w.table.SetView(w.now, &ccsettings.AgentView{
		Version: w.version,
		Domains: map[string]ccsettings.Domain{"a": {Out: w.out}},
		Fleet:   ccsettings.Fleet{Retention: ccsettings.Duration(time.Hour)},
	})
}

func (w *walk) hello(entry ccnode.Ref) {
	w.session[entry.ID]++
	_, _ = w.table.Hello(w.now, ccwire.Hello{Entry: entry, Session: w.session[entry.ID], Version: w.version})
}

func (w *walk) entry() ccnode.Ref {
	return []ccnode.Ref{entryA, entryB}[w.choose(2, "entry")]
}

// pick draws an attempt. A job is only ever sent to one life of the agent, since
// entries hold what they sent to an earlier life for lost.
func (w *walk) pick() attempt {
	return attempt{
		job:   ccjob.ID(fmt.Sprintf("job-%d", w.self.Incarnation)),
		index: w.choose(3, "index"), claim: uint64(1 + w.choose(3, "claim")), attempt: 1 + w.choose(3, "attempt"),
	}
}

func (w *walk) send() {
	a, from := w.pick(), w.entry()
	w.parcels = append(w.parcels, parcel{from: from, sent: w.now, msg: ccwire.Dispatch{
		Agent: w.self, Session: w.session[from.ID], Version: w.version,
		Echo: w.table.Clock(w.now).Milliseconds(), WantSlots: w.choose(3, "want"),
		Jobs: []ccwire.DispatchJob{{ID: a.job, Claim: a.claim, Service: "proof", BudgetMS: 1000, Tasks: []ccwire.DispatchTask{
			{Index: a.index, Attempt: a.attempt},
		}}},
	}})
}

// deliver hands over any parcel, and mostly leaves a copy under way.
func (w *walk) deliver() {
	if len(w.parcels) == 0 {
		return
	}
	i := w.choose(len(w.parcels), "parcel")
	p := w.parcels[i]
	if w.choose(4, "last copy") == 0 {
		w.parcels = slices.Delete(w.parcels, i, i+1)
	}
	result := w.table.Dispatch(w.now, p.from, p.msg)
	if part := p.msg.Jobs[0]; !result.Ignored {
		w.taken[attempt{part.ID, part.Tasks[0].Index, part.Claim, part.Tasks[0].Attempt}] = p
	}
	for _, start := range result.Starts {
		w.started(start, p)
	}
	w.collect()
}

// fresh reports whether a dispatch rests on what is still true: it is from after
// the last pause, and is young or meets a view that is known to be new.
func (w *walk) fresh(p parcel) bool {
	age := w.now.Sub(p.sent)
	confirmed := w.now.Sub(w.confirm) <= confirmLimit && age <= idleEchoLimit
	return !p.sent.Before(w.awake) && (age <= echoLimit || confirmed)
}

func (w *walk) started(start Start, p parcel) {
	a := attempt{start.Job, start.Index, start.Claim, start.Attempt}
	switch {
	case slices.ContainsFunc(w.starts, func(b attempt) bool { return a.job == b.job && a.index == b.index }):
		w.failf("%v started twice", a)
	case slices.Contains(w.bounced, a):
		w.failf("%v started after it was said not to", a)
	case slices.ContainsFunc(w.fenced, func(b attempt) bool { return b.covers(a) }):
		w.failf("%v started after it was fenced", a)
	case p.msg.Session != w.session[p.from.ID]:
		w.failf("%v started on an older session", a)
	case !w.fresh(p):
		w.failf("%v started %s after it was sent", a, w.now.Sub(p.sent))
	case w.out:
		w.failf("%v started in a domain that is out", a)
	case p.msg.Version < w.version:
		w.failf("%v started under settings %d, not %d", a, p.msg.Version, w.version)
	case len(w.running) >= 2:
		w.failf("%v started without a slot", a)
	}
	w.starts = append(w.starts, a)
	w.running = append(w.running, start)
}

// collect runs held tasks that start late, and checks every report that is due.
// A late start is held against the dispatch that brought it.
func (w *walk) collect() {
	for _, start := range w.table.TakeQueueResult().Starts {
		w.started(start, w.taken[attempt{start.Job, start.Index, start.Claim, start.Attempt}])
	}
	for _, entry := range w.table.ReportsDue() {
		report, _ := w.table.TakeReport(w.now, entry)
		for _, part := range report.Jobs {
			w.check(part, false)
		}
	}
}

// check holds what is said not to have started against what did.
func (w *walk) check(part ccwire.ReportJob, revoked bool) {
	for _, task := range part.Tasks {
		if task.Code.Started() {
			continue
		}
		a := attempt{part.ID, task.Index, part.Claim, task.Attempt}
		if slices.Contains(w.starts, a) {
			w.failf("%v was said to be %s but started", a, task.Code)
		}
		w.bounced = append(w.bounced, a)
		if revoked {
			w.promise(a)
		}
	}
}

func (w *walk) promise(a attempt) {
	if slices.ContainsFunc(w.starts, a.covers) {
		w.failf("%v was promised not to have started but did", a)
	}
	w.fenced = append(w.fenced, a)
}

func (w *walk) revoke() {
	a := w.pick()
	reply, err := w.table.Revoke(w.now, ccwire.Revoke{Agent: w.self, Jobs: []ccwire.RevokeJob{
		{ID: a.job, Claim: a.claim, Tasks: []ccwire.RevokeTask{{Index: a.index, Attempt: a.attempt}}},
	}})
	if err != nil {
		w.failf("revoke: %v", err)
		return
	}
	w.check(reply.Jobs[0], true)
}

func (w *walk) recover() {
	a := w.pick()
	reply, err := w.table.Recover(w.now, w.entry(), ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: a.job, Claim: a.claim}}})
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
			w.promise(attempt{a.job, index, a.claim - 1, 1 << 30})
		}
	}
}

// finish ends a running task. A refused one provably did not start.
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
	w.table.TaskFinished(w.now, TaskResult{Job: start.Job, Index: start.Index, Attempt: start.Attempt, Claim: start.Claim, Code: code, RunTime: 10 * time.Millisecond})
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
			w.confirm = w.now
			w.table.ConfirmView(w.now)
		}
		w.table.Tick(w.now)
		w.collect()
	case 11:
		w.hello(w.entry())
	case 12:
		w.out, w.version = !w.out, w.version+1
		w.setView()
		w.collect()
	case 13:
		if w.choose(4, "pause or restart") == 0 {
			w.restart()
			return
		}
		w.now = w.now.Add(2 * time.Second)
		w.awake = w.now
	}
}

// TestWalk checks that whatever is delivered, doubled and crossed, no task
// starts twice and nothing that was said not to have started did or does.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWalk(func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(rt, what) }, Guards{})
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			w.step()
			if w.err != nil {
				rt.Fatal(w.err)
			}
		}
	})
}

// TestWalkFindsMissingGuard checks that the walk finds what each guard prevents
// once the guard is off, and nothing over the same seeds with all guards on.
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
				t.Fatalf("%d seeds found nothing", seeds)
			}
			t.Logf("seed %d: %v", seed, err)
		})
	}
}
