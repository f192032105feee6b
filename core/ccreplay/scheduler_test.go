package ccreplay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var route = ccroute.Route{Name: "proof", Service: "proof", MaxAttempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond}

// fixture drives a scheduler by hand.
type fixture struct {
	t     *testing.T
	s     *Scheduler
	now   time.Time
	free  map[ccnode.ID]int64
	seen  map[ccnode.ID]uint64
	token uint64
}

// newFixture returns a scheduler with agents that have room for four tasks each,
// in the domains named.
func newFixture(t *testing.T, domains ...string) *fixture {
	t.Helper()
	f := &fixture{
		t: t, now: epoch, free: map[ccnode.ID]int64{}, seen: map[ccnode.ID]uint64{},
		s: New(Config{Self: ccnode.Ref{ID: "entry"}, Domain: "north"}),
	}
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 1, Routes: []ccroute.Route{route}})
	for i, domain := range domains {
		f.attach(ccnode.ID(fmt.Sprintf("agent-%d", i+1)), 1, domain)
	}
	f.s.Take(f.now)
	return f
}

func (f *fixture) attach(id ccnode.ID, life ccnode.Incarnation, domain string, runs ...ccwire.TaskRef) {
	f.free[id] = 4000
	capacity := ccresource.Amount{CPU: 4000}
	f.s.Attach(f.now, ccwire.Attach{
		Node: ccnode.Ref{ID: id, Incarnation: life}, Runs: runs,
		Report: ccwire.RunReport{PriorRunsEnded: true, Free: capacity, Worker: &ccwire.WorkerInfo{Domain: domain, Service: "proof", Capacity: capacity}},
	})
}

func (f *fixture) take() Actions {
	out := f.s.Take(f.now)
	for _, m := range out.Messages {
		f.seen[m.To] = m.Orders.Sequence
	}
	return out
}

func (f *fixture) report(id ccnode.ID, ends ...ccwire.RunResult) {
	f.s.Report(f.now, id, ccwire.RunReport{
		ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.seen[id], Free: ccresource.Amount{CPU: f.free[id]}, Results: ends,
	})
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.s.Tick(f.now)
}

func (f *fixture) submit(id string, tasks int, change ...func(*Request)) uint64 {
	f.token++
	request := Request{
		Token: f.token, ID: id, Route: route, Tasks: tasks, Need: ccresource.Amount{CPU: 1000},
		Estimate: 100 * time.Millisecond, Payload: "p", Deadline: f.now.Add(2 * time.Second),
	}
	for _, c := range change {
		c(&request)
	}
	f.s.Submit(f.now, request)
	return f.token
}

type start struct {
	agent ccnode.ID
	order ccwire.StartOrder
}

func startsIn(out Actions) []start {
	var starts []start
	for _, m := range out.Messages {
		for _, order := range m.Orders.Starts {
			starts = append(starts, start{agent: m.To, order: order})
		}
	}
	return starts
}

func stopsIn(out Actions) []ccwire.TaskRef {
	var stops []ccwire.TaskRef
	for _, m := range out.Messages {
		stops = append(stops, m.Orders.Stops...)
	}
	return stops
}

func end(s start, how ccwire.RunOutcome) ccwire.RunResult {
	return ccwire.RunResult{Task: s.order.Task, Attempt: s.order.Attempt, Outcome: how, RunMS: 100}
}

func (f *fixture) wantStarts(out Actions, n int) []start {
	f.t.Helper()
	starts := startsIn(out)
	if len(starts) != n {
		f.t.Fatalf("starts: got %d, want %d: %+v", len(starts), n, starts)
	}
	return starts
}

func (f *fixture) wantAnswer(out Actions, token uint64, state State) {
	f.t.Helper()
	for _, a := range out.Answers {
		if a.Token == token {
			if a.State != state {
				f.t.Errorf("answer %d: got %s (%s), want %s", token, a.State, a.Reason, state)
			}
			if state == StateRefused && a.RetryAfter <= 0 {
				f.t.Errorf("answer %d: a refusal must say when to come back", token)
			}
			return
		}
	}
	f.t.Errorf("answer %d: got none, want %s", token, state)
}

func (f *fixture) wantNoAnswer(out Actions) {
	f.t.Helper()
	if len(out.Answers) != 0 {
		f.t.Errorf("answers: got %+v, want none", out.Answers)
	}
}

func TestJob(t *testing.T) {
	t.Run("is complete when all tasks have ended", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 2)
		starts := f.wantStarts(f.take(), 2)
		f.report("agent-1", end(starts[0], ccwire.RunDone))
		f.wantNoAnswer(f.take())
		f.report("agent-1", end(starts[1], ccwire.RunDone))
		f.wantAnswer(f.take(), token, StateComplete)
		if f.s.Jobs() != 0 {
			t.Errorf("jobs kept: %d", f.s.Jobs())
		}
	})
	t.Run("fails when a task has failed as often as it may, elsewhere each time", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, end(first, ccwire.RunFailed))
		second := f.wantStarts(f.take(), 1)[0]
		if second.agent == first.agent {
			t.Errorf("second run at %s again", first.agent)
		}
		f.report(second.agent, end(second, ccwire.RunFailed))
		f.wantAnswer(f.take(), token, StateFailed)
	})
	t.Run("that no known worker can run is refused at once", func(t *testing.T) {
		f := newFixture(t, "north")
		f.now = f.now.Add(learnAgents)
		token := f.submit("j1", 1, func(r *Request) { r.Need.CPU = 9000 })
		f.wantAnswer(f.take(), token, StateRefused)
		token = f.submit("j2", 1, func(r *Request) { r.Label = "gpu" })
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("that comes right after the entry's start waits for its agents", func(t *testing.T) {
		f := newFixture(t)
		token := f.submit("j1", 1)
		if out := f.take(); len(out.Answers) != 0 {
			t.Fatalf("answers before any agent can have attached: got %+v", out.Answers)
		}
		f.now = f.now.Add(100 * time.Millisecond)
		f.attach("agent-1", 1, "north")
		f.report("agent-1", end(f.wantStarts(f.take(), 1)[0], ccwire.RunDone))
		f.wantAnswer(f.take(), token, StateComplete)
	})
	t.Run("that comes later and finds no agents is refused at once", func(t *testing.T) {
		f := newFixture(t)
		f.now = f.now.Add(learnAgents)
		token := f.submit("j1", 1)
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("that is open when its entry ends is answered then", func(t *testing.T) {
		f := newFixture(t, "north")
		placed := f.submit("j1", 4)
		f.wantStarts(f.take(), 4)
		waits := f.submit("j2", 1)
		f.s.Stop(f.now)
		out := f.take()
		f.wantAnswer(out, placed, StateUnknown)
		f.wantAnswer(out, waits, StateRefused)
		if stops := stopsIn(out); len(stops) != 4 {
			t.Errorf("stops: got %d, want 4", len(stops))
		}
		later := f.submit("j1", 1)
		f.wantAnswer(f.take(), later, StateRefused)
	})
	t.Run("that finds no room in time is refused as not run", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("big", 4, func(r *Request) { r.Estimate = time.Second; r.Deadline = f.now.Add(9 * time.Second) })
		f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		f.report("agent-1")
		token := f.submit("j1", 1)
		for range 100 {
			f.pass(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateRefused)
				return
			}
		}
		t.Error("the job is held without an answer")
	})
	t.Run("that has run in part is never called refused", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 8)
		f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		for range 300 {
			f.pass(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateExpired)
				return
			}
		}
		t.Error("the job is held without an answer")
	})
}

func TestCaller(t *testing.T) {
	t.Run("that leaves has its runs stopped", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 2)
		f.take()
		f.s.Cancel(f.now, "j1", token)
		if stops := stopsIn(f.take()); len(stops) != 2 {
			t.Errorf("stops: got %v, want 2", stops)
		}
	})
	t.Run("that comes twice gets the same answer", func(t *testing.T) {
		f := newFixture(t, "north")
		first, second := f.submit("j1", 1), f.submit("j1", 1)
		starts := f.wantStarts(f.take(), 1)
		f.report("agent-1", end(starts[0], ccwire.RunDone))
		out := f.take()
		f.wantAnswer(out, first, StateComplete)
		f.wantAnswer(out, second, StateComplete)
	})
	t.Run("that comes again while runs are stopping waits until they are over", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.s.Cancel(f.now, "j1", token)
		f.take()
		f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
		f.report(first.agent, end(first, ccwire.RunStopped))
		f.wantStarts(f.take(), 1)
	})
}

func TestAgentSilence(t *testing.T) {
	lose := func(f *fixture) (time.Time, uint64) {
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = time.Second })
		f.wantStarts(f.take(), 1)
		f.s.Detach(f.now, "agent-1")
		return f.now, token
	}
	t.Run("a task runs again only when its run is certainly over", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		heard, _ := lose(f)
		for f.now.Before(heard.Add(2 * time.Second)) {
			f.pass(10 * time.Millisecond)
			f.report("agent-2")
			if starts := startsIn(f.take()); len(starts) > 0 {
				if waited := f.now.Sub(heard); waited < cclease.RunsExpireAfter {
					t.Errorf("started after %v, runs are over after %v", waited, cclease.RunsExpireAfter)
				}
				return
			}
		}
		t.Error("the task is not started again")
	})
	t.Run("an agent that attaches without the run frees the task at once", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		lose(f)
		f.attach("agent-1", 2, "north")
		f.wantStarts(f.take(), 1)
	})
	t.Run("a new incarnation that does not know yet what runs frees nothing", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		heard, _ := lose(f)
		f.s.Attach(f.now, ccwire.Attach{Node: ccnode.Ref{ID: "agent-1", Incarnation: 2}})
		f.wantStarts(f.take(), 0)
		f.now = heard.Add(200 * time.Millisecond)
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PriorRunsEnded: true})
		f.wantStarts(f.take(), 1)
	})
	t.Run("an agent that attaches with the run goes on", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		_, token := lose(f)
		f.attach("agent-1", 1, "north", ccwire.TaskRef{Job: "j1"})
		for range 20 {
			f.pass(100 * time.Millisecond)
			f.report("agent-1")
			f.report("agent-2")
			f.wantStarts(f.take(), 0)
		}
		f.report("agent-1", ccwire.RunResult{Task: ccwire.TaskRef{Job: "j1"}, Attempt: 1, Outcome: ccwire.RunDone})
		f.wantAnswer(f.take(), token, StateComplete)
	})
	t.Run("an agent that attaches with a run of nobody's is told to stop it", func(t *testing.T) {
		f := newFixture(t, "north")
		f.attach("agent-1", 2, "north", ccwire.TaskRef{Job: "j9"})
		if stops := stopsIn(f.take()); len(stops) != 1 || stops[0].Job != "j9" {
			t.Errorf("stops: got %v, want j9", stops)
		}
	})
	t.Run("a silent agent's session is given up", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 1)
		f.take()
		f.pass(suspectAfter + time.Millisecond)
		if out := f.take(); len(out.Silent) != 1 {
			t.Errorf("silent: got %v, want agent-1", out.Silent)
		}
	})
	t.Run("a late end of an earlier attempt is ignored", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, end(first, ccwire.RunLost))
		f.wantStarts(f.take(), 1)
		f.report(first.agent, end(first, ccwire.RunDone))
		f.wantNoAnswer(f.take())
	})
}

func TestBounds(t *testing.T) {
	t.Run("jobs beyond the bound are refused as not run", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.list = slices.Repeat([]*job{{}}, maxJobs)
		token := f.submit("one more", 1)
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("an agent that is gone for long is forgotten", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.Detach(f.now, "agent-1")
		f.pass(forgetAfter + time.Second)
		if len(f.s.agents) != 0 || len(f.s.order) != 0 {
			t.Errorf("agents kept: %v", f.s.order)
		}
		f.attach("agent-1", 2, "north")
		f.submit("j1", 1)
		f.wantStarts(f.take(), 1)
	})
}

func TestPlanIsSent(t *testing.T) {
	sent := func(out Actions) bool {
		for _, m := range out.Messages {
			if m.Orders.Plan != nil {
				return true
			}
		}
		return false
	}
	t.Run("at once to an agent that has none", func(t *testing.T) {
		f := newFixture(t)
		f.attach("agent-1", 1, "north")
		if !sent(f.take()) {
			t.Error("the plan is not sent")
		}
	})
	t.Run("not to an agent that has it from another entry", func(t *testing.T) {
		f := newFixture(t)
		f.attach("agent-1", 1, "north")
		f.take()
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2})
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2})
		for range 10 {
			f.pass(50 * time.Millisecond)
			f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2})
			if sent(f.take()) {
				t.Fatal("a copy is sent")
			}
		}
	})
}

func TestPause(t *testing.T) {
	t.Run("a process that wakes places no earlier job before its callers' leaving is seen", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = time.Second })
		f.wantStarts(f.take(), 1)
		f.now = f.now.Add(3 * time.Second)
		f.attach("agent-1", 1, "north")
		f.attach("agent-2", 1, "south")
		f.wantStarts(f.take(), 0)
		f.submit("j2", 1)
		if s := f.wantStarts(f.take(), 1); s[0].order.Task.Job != "j2" {
			t.Errorf("start of %s, want j2, which came after the pause", s[0].order.Task.Job)
		}
		f.s.Cancel(f.now, "j1", token)
		f.pass(pauseQuiet)
		f.wantStarts(f.take(), 0)
	})
	t.Run("a caller who still waits is served after that", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = 2 * time.Second })
		f.wantStarts(f.take(), 1)
		f.now = f.now.Add(time.Second)
		f.attach("agent-1", 1, "north")
		f.wantStarts(f.take(), 0)
		f.pass(pauseQuiet)
		f.wantStarts(f.take(), 1)
	})
}

func TestPlacement(t *testing.T) {
	t.Run("prefers the entry's own domain", func(t *testing.T) {
		f := newFixture(t, "south", "north")
		f.submit("j1", 4)
		for _, s := range f.wantStarts(f.take(), 4) {
			if s.agent != "agent-2" {
				t.Errorf("start at %s, want agent-2", s.agent)
			}
		}
	})
	t.Run("never exceeds the room, counting what is on its way", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 3)
		f.wantStarts(f.take(), 3)
		f.submit("j2", 3)
		f.wantStarts(f.take(), 1)
	})
	t.Run("sends nothing to a domain that is taken out", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2, DomainsOut: map[string]bool{"north": true}})
		f.submit("j1", 8)
		for _, s := range f.wantStarts(f.take(), 4) {
			if s.agent != "agent-2" {
				t.Errorf("start at %s, want agent-2", s.agent)
			}
		}
	})
	t.Run("keeps to the bound of tasks a worker", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 4, func(r *Request) { r.MaxPerWorker = 1 })
		f.wantStarts(f.take(), 2)
	})
	t.Run("a job whose orders were given back is refused as not run", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("full", 4, func(r *Request) { r.Estimate = time.Second; r.Deadline = f.now.Add(9 * time.Second) })
		f.wantStarts(f.take(), 4)
		token := f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
		// The agent's report was old: it has room for one that it does not take.
		f.free["agent-1"] = 1000
		f.report("agent-1")
		ahead := f.wantStarts(f.take(), 1)
		f.free["agent-1"] = 0
		f.report("agent-1", end(ahead[0], ccwire.RunNoCapacity))
		for range 100 {
			f.pass(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateRefused)
				return
			}
		}
		t.Error("the job is held without an answer")
	})
	t.Run("prefers the rack of the task's data", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.s.cfg.AwayFactor = 3
		f.s.Report(f.now, "agent-2", ccwire.RunReport{Free: ccresource.Amount{CPU: 4000}, Worker: &ccwire.WorkerInfo{
			Domain: "south", Service: "proof", Capacity: ccresource.Amount{CPU: 4000}, Labels: []string{"a", "r1-3"},
		}})
		f.submit("j1", 1, func(r *Request) { r.Rack = "r1-3" })
		if s := f.wantStarts(f.take(), 1); s[0].agent != "agent-2" {
			t.Errorf("start at %s, want agent-2, which is near the data", s[0].agent)
		}
	})
	t.Run("places a task again at once when an agent had no room", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.free[first.agent] = 0
		f.report(first.agent, end(first, ccwire.RunNoCapacity))
		if s := f.wantStarts(f.take(), 1); s[0].agent == first.agent {
			t.Errorf("placed at %s again", first.agent)
		}
	})
	t.Run("tells the first refusals for want of room, then fewer and fewer", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 1, func(r *Request) { r.Estimate = 900 * time.Millisecond })
		told := 0
		for range 40 {
			out := f.take()
			f.report("agent-1", end(f.wantStarts(out, 1)[0], ccwire.RunNoCapacity))
			for _, c := range out.Changes {
				if c.What == "Task placed." && !c.Quiet {
					told++
				}
			}
		}
		// The orders after 0 to 2 refusals, and after 4, 8, 16 and 32.
		if told != 7 {
			t.Errorf("lines for 40 orders: got %d, want 7", told)
		}
	})
	t.Run("sends nothing to an agent that is closed", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.Report(f.now, "agent-1", ccwire.RunReport{ClosedReason: "worker is draining", Free: ccresource.Amount{CPU: 4000}})
		f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
	})
	t.Run("serves the more urgent route first", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("full", 4)
		starts := f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		f.report("agent-1")
		f.submit("low", 1, func(r *Request) { r.Route.Priority = 2 })
		f.submit("high", 1)
		f.free["agent-1"] = 1000
		f.report("agent-1", end(starts[0], ccwire.RunDone))
		if s := f.wantStarts(f.take(), 1); s[0].order.Task.Job != "high" {
			t.Errorf("first start: got %s, want high", s[0].order.Task.Job)
		}
	})
	t.Run("waits for an agent where it meets its objective", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.submit("full", 4)
		full := f.wantStarts(f.take(), 4)
		slow := ccnode.ID("agent-1")
		if full[0].agent == slow {
			slow = "agent-2"
		}
		f.free[full[0].agent] = 0
		f.report(full[0].agent)
		f.s.Report(f.now, slow, ccwire.RunReport{Free: ccresource.Amount{CPU: 4000}, Pace: 2})
		f.submit("long", 1, func(r *Request) { r.Estimate = 900 * time.Millisecond })
		f.wantStarts(f.take(), 0)
		f.free[full[0].agent] = 1000
		f.report(full[0].agent, end(full[0], ccwire.RunDone))
		if s := f.wantStarts(f.take(), 1); s[0].agent == slow {
			t.Errorf("placed at %s, which is too slow", slow)
		}
	})
	t.Run("takes a slow agent while many jobs wait", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.submit("full", 4)
		full := f.wantStarts(f.take(), 4)
		f.free[full[0].agent] = 0
		f.report(full[0].agent)
		for _, id := range []ccnode.ID{"agent-1", "agent-2"} {
			if id != full[0].agent {
				f.s.Report(f.now, id, ccwire.RunReport{Free: ccresource.Amount{CPU: 4000}, Pace: 2})
			}
		}
		for i := range patientQueue + 1 {
			f.submit(fmt.Sprintf("long-%d", i), 1, func(r *Request) { r.Estimate = 900 * time.Millisecond })
		}
		if got := startsIn(f.take()); len(got) == 0 {
			t.Error("starts: got none")
		}
	})
	t.Run("moves a run that makes no progress", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.s.Report(f.now, first.agent, ccwire.RunReport{Free: ccresource.Amount{CPU: 3000}, Progress: []ccwire.Progress{{Task: first.order.Task, Percent: 1, ElapsedMS: 120}}})
		if stops := stopsIn(f.take()); len(stops) != 1 {
			t.Fatalf("stops: got %v, want 1", stops)
		}
		f.report(first.agent, end(first, ccwire.RunStopped))
		if s := f.wantStarts(f.take(), 1); s[0].agent == first.agent {
			t.Errorf("moved to %s again", s[0].agent)
		}
	})
	t.Run("leaves a run alone that a move would not save", func(t *testing.T) {
		// As on a quiet day: an estimate of 90 ms, 24 % done after 125 ms. Either way the
		// job misses its objective, and is still of use.
		f := newFixture(t, "north", "south")
		f.submit("j1", 1, func(r *Request) { r.Estimate = 90 * time.Millisecond })
		first := f.wantStarts(f.take(), 1)[0]
		f.now = f.now.Add(125 * time.Millisecond)
		f.s.Report(f.now, first.agent, ccwire.RunReport{Free: ccresource.Amount{CPU: 3000}, Progress: []ccwire.Progress{{Task: first.order.Task, Percent: 24, ElapsedMS: 125}}})
		if stops := stopsIn(f.take()); len(stops) != 0 {
			t.Errorf("stops: got %v, want none", stops)
		}
	})
}

func TestPlan(t *testing.T) {
	f := newFixture(t, "north")
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 5})
	f.s.Report(f.now, "agent-1", ccwire.RunReport{Plan: &ccroute.Plan{Revision: 4}, PlanRevision: 4})
	if got := f.s.Plan().Revision; got != 5 {
		t.Errorf("plan: got revision %d, want 5: an older one came by an agent", got)
	}
	f.s.Report(f.now, "agent-1", ccwire.RunReport{Plan: &ccroute.Plan{Revision: 6}, PlanRevision: 6})
	if got := f.s.Plan().Revision; got != 6 {
		t.Errorf("plan: got revision %d, want 6, which an agent relayed", got)
	}
}

func TestEntryBoundsWhatAgentsReport(t *testing.T) {
	t.Run("the pause between reports of room grows with the agents", func(t *testing.T) {
		few, many := newFixture(t, make([]string, 10)...), newFixture(t, make([]string, 200)...)
		for _, f := range []*fixture{few, many} {
			f.pass(time.Second / 2)
			f.submit("j1", 1)
		}
		first, second := few.take().Messages[0].Orders.CapacityIntervalMS, many.take().Messages[0].Orders.CapacityIntervalMS
		if first != 20 || second != 400 {
			t.Errorf("got %d and %d ms, want 20 and 400 for %d reports a second", first, second, roomReports)
		}
	})
	t.Run("an agent without runs gets fewer heartbeats", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.submit("j1", 1)
		placed := f.take().Messages[0].To
		count := map[ccnode.ID]int{}
		for range 100 {
			f.pass(10 * time.Millisecond)
			for _, m := range f.take().Messages {
				count[m.To]++
			}
			f.report("agent-1")
			f.report("agent-2")
		}
		for id, got := range count {
			if want := int(time.Second / idleHeartbeat); id != placed && got > want+1 {
				t.Errorf("idle agent: got %d heartbeats in a second, want %d", got, want)
			}
			if want := int(time.Second / heartbeatInterval); id == placed && got < want-1 {
				t.Errorf("agent with a run: got %d heartbeats in a second, want %d", got, want)
			}
		}
	})
}
