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

// fixture drives a Scheduler with a simulated clock and simulated agents.
type fixture struct {
	t       *testing.T
	s       *Scheduler
	now     time.Time
	free    map[ccnode.ID]int64
	handled map[ccnode.ID]uint64
	token   uint64
	session uint64 // The last session number that was issued.
}

// newFixture returns a fixture with one agent in each of the given domains. Each agent
// has capacity for four tasks.
func newFixture(t *testing.T, domains ...string) *fixture {
	t.Helper()
	f := &fixture{
		t: t, now: epoch, free: map[ccnode.ID]int64{}, handled: map[ccnode.ID]uint64{},
		s: New(Config{Self: ccnode.Ref{ID: "entry"}, Domain: "north"}),
	}
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 1, Routes: []ccroute.Route{route}})
	for i, domain := range domains {
		f.attach(ccnode.ID(fmt.Sprintf("agent-%d", i+1)), 1, domain)
	}
	f.s.Take(f.now)
	return f
}

func (f *fixture) attach(id ccnode.ID, incarnation ccnode.Incarnation, domain string, runs ...ccwire.RunRef) {
	f.free[id] = 4000
	f.session++
	capacity := ccresource.Amount{CPU: 4000}
	f.s.Attach(f.now, ccwire.Attach{
		Node: ccnode.Ref{ID: id, Incarnation: incarnation}, Session: f.session, Runs: runs,
		Report: ccwire.RunReport{PriorRunsEnded: true, Free: capacity, Worker: &ccwire.WorkerInfo{Domain: domain, Service: "proof", Capacity: capacity}},
	})
}

func (f *fixture) take() Actions {
	out := f.s.Take(f.now)
	for _, m := range out.Messages {
		f.handled[m.To] = m.Orders.Sequence
	}
	return out
}

func (f *fixture) report(id ccnode.ID, ends ...ccwire.RunResult) {
	f.s.Report(f.now, id, ccwire.RunReport{
		ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.handled[id], Free: ccresource.Amount{CPU: f.free[id]}, Results: ends,
	})
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.s.Tick(f.now)
}

func (f *fixture) submit(id string, tasks int, modify ...func(*Request)) uint64 {
	f.token++
	request := Request{
		Token: f.token, ID: id, Route: route, Tasks: tasks, Need: ccresource.Amount{CPU: 1000},
		Estimate: 100 * time.Millisecond, Payload: "p", Deadline: f.now.Add(2 * time.Second),
	}
	for _, c := range modify {
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

func stopsIn(out Actions) []ccwire.RunRef {
	var stops []ccwire.RunRef
	for _, m := range out.Messages {
		stops = append(stops, m.Orders.Stops...)
	}
	return stops
}

func endOf(s start, runEnd ccwire.RunOutcome) ccwire.RunResult {
	return ccwire.RunResult{Task: s.order.Task, Order: s.order.Order, Outcome: runEnd, RunMS: 100}
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
				f.t.Errorf("answer %d: a refusal must set RetryAfter", token)
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
	t.Run("completes when all tasks are done", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 2)
		starts := f.wantStarts(f.take(), 2)
		f.report("agent-1", endOf(starts[0], ccwire.RunDone))
		f.wantNoAnswer(f.take())
		f.report("agent-1", endOf(starts[1], ccwire.RunDone))
		f.wantAnswer(f.take(), token, StateComplete)
		if f.s.Jobs() != 0 {
			t.Errorf("jobs: got %d, want 0", f.s.Jobs())
		}
	})
	t.Run("fails when a task has failed MaxAttempts times, each time on another agent", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, endOf(first, ccwire.RunFailed))
		second := f.wantStarts(f.take(), 1)[0]
		if second.agent == first.agent {
			t.Errorf("second run is placed on %s again", first.agent)
		}
		f.report(second.agent, endOf(second, ccwire.RunFailed))
		f.wantAnswer(f.take(), token, StateFailed)
	})
	t.Run("is refused at once if no known worker can run it", func(t *testing.T) {
		f := newFixture(t, "north")
		f.now = f.now.Add(startupGrace)
		token := f.submit("j1", 1, func(r *Request) { r.Need.CPU = 9000 })
		f.wantAnswer(f.take(), token, StateRefused)
		token = f.submit("j2", 1, func(r *Request) { r.Label = "gpu" })
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("waits for agents right after the entry's start", func(t *testing.T) {
		f := newFixture(t)
		token := f.submit("j1", 1)
		if out := f.take(); len(out.Answers) != 0 {
			t.Fatalf("answers before any agent attached: got %+v, want none", out.Answers)
		}
		f.now = f.now.Add(100 * time.Millisecond)
		f.attach("agent-1", 1, "north")
		f.report("agent-1", endOf(f.wantStarts(f.take(), 1)[0], ccwire.RunDone))
		f.wantAnswer(f.take(), token, StateComplete)
	})
	t.Run("is refused at once if no agent has attached after the startup grace period", func(t *testing.T) {
		f := newFixture(t)
		f.now = f.now.Add(startupGrace)
		token := f.submit("j1", 1)
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("is answered when its entry stops", func(t *testing.T) {
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
	t.Run("is refused as not run if no capacity becomes free in time", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("big", 4, func(r *Request) { r.Estimate = time.Second; r.Deadline = f.now.Add(9 * time.Second) })
		f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		f.report("agent-1")
		token := f.submit("j1", 1)
		for range 100 {
			f.advance(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateRefused)
				return
			}
		}
		t.Error("the job was not answered")
	})
	t.Run("is not answered as refused after it has run in part", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 8)
		f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		for range 300 {
			f.advance(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateExpired)
				return
			}
		}
		t.Error("the job was not answered")
	})
}

func TestCaller(t *testing.T) {
	t.Run("leaves: its runs are stopped", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 2)
		f.take()
		f.s.Cancel(f.now, "j1", token)
		if stops := stopsIn(f.take()); len(stops) != 2 {
			t.Errorf("stops: got %v, want 2", stops)
		}
	})
	t.Run("submits twice: both requests get the same answer", func(t *testing.T) {
		f := newFixture(t, "north")
		first, second := f.submit("j1", 1), f.submit("j1", 1)
		starts := f.wantStarts(f.take(), 1)
		f.report("agent-1", endOf(starts[0], ccwire.RunDone))
		out := f.take()
		f.wantAnswer(out, first, StateComplete)
		f.wantAnswer(out, second, StateComplete)
	})
	t.Run("submits again while runs are stopping: the request waits until they have ended", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.s.Cancel(f.now, "j1", token)
		f.take()
		f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
		f.report(first.agent, endOf(first, ccwire.RunStopped))
		f.wantStarts(f.take(), 1)
	})
}

func TestAgentSilence(t *testing.T) {
	loseAgent := func(f *fixture) (time.Time, uint64) {
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = time.Second })
		f.wantStarts(f.take(), 1)
		f.s.Detach(f.now, "agent-1")
		return f.now, token
	}
	t.Run("a task runs again only after its earlier run has certainly ended", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		lastReport, _ := loseAgent(f)
		for f.now.Before(lastReport.Add(2 * time.Second)) {
			f.advance(10 * time.Millisecond)
			f.report("agent-2")
			if starts := startsIn(f.take()); len(starts) > 0 {
				if waited := f.now.Sub(lastReport); waited < cclease.RunsExpireAfter {
					t.Errorf("started again after %v, want at least %v", waited, cclease.RunsExpireAfter)
				}
				return
			}
		}
		t.Error("the task was not started again")
	})
	t.Run("an agent that attaches without the run requeues the task at once", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		loseAgent(f)
		f.attach("agent-1", 2, "north")
		f.wantStarts(f.take(), 1)
	})
	t.Run("a new incarnation that is not settled requeues nothing", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		lastReport, _ := loseAgent(f)
		f.session++
		f.s.Attach(f.now, ccwire.Attach{Node: ccnode.Ref{ID: "agent-1", Incarnation: 2}, Session: f.session})
		f.wantStarts(f.take(), 0)
		f.now = lastReport.Add(200 * time.Millisecond)
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PriorRunsEnded: true})
		f.wantStarts(f.take(), 1)
	})
	t.Run("an agent that attaches with the run continues it", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		_, token := loseAgent(f)
		f.attach("agent-1", 1, "north", ccwire.RunRef{Task: ccwire.TaskRef{Job: "j1"}, Order: 1})
		for range 20 {
			f.advance(100 * time.Millisecond)
			f.report("agent-1")
			f.report("agent-2")
			f.wantStarts(f.take(), 0)
		}
		f.report("agent-1", ccwire.RunResult{Task: ccwire.TaskRef{Job: "j1"}, Order: 1, Outcome: ccwire.RunDone})
		f.wantAnswer(f.take(), token, StateComplete)
	})
	t.Run("an agent that attaches with a run of an unknown job is told to stop it", func(t *testing.T) {
		f := newFixture(t, "north")
		f.attach("agent-1", 2, "north", ccwire.RunRef{Task: ccwire.TaskRef{Job: "j9"}, Order: 9})
		if stops := stopsIn(f.take()); len(stops) != 1 || stops[0].Task.Job != "j9" {
			t.Errorf("stops: got %v, want j9", stops)
		}
	})
	t.Run("the session of a silent agent is closed", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 1)
		f.take()
		f.advance(suspectAfter + time.Millisecond)
		if out := f.take(); len(out.CloseSessions) != 1 {
			t.Errorf("silent: got %v, want agent-1", out.CloseSessions)
		}
	})
	t.Run("a late end of an earlier attempt is ignored", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, endOf(first, ccwire.RunLost))
		f.wantStarts(f.take(), 1)
		f.report(first.agent, endOf(first, ccwire.RunDone))
		f.wantNoAnswer(f.take())
	})
}

func TestBounds(t *testing.T) {
	t.Run("jobs above the limit are refused as not run", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.jobList = slices.Repeat([]*job{{}}, maxJobs)
		token := f.submit("one more", 1)
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("an agent that is detached for long is forgotten", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.Detach(f.now, "agent-1")
		f.advance(forgetAfter + time.Second)
		if len(f.s.agents) != 0 || len(f.s.agentList) != 0 {
			t.Errorf("agents: got %v, want none", f.s.agentList)
		}
		f.attach("agent-1", 2, "north")
		f.submit("j1", 1)
		f.advance(pauseHold)
		f.wantStarts(f.take(), 1)
	})
}

func TestPlanIsSent(t *testing.T) {
	planSent := func(out Actions) bool {
		for _, m := range out.Messages {
			if m.Orders.Plan != nil {
				return true
			}
		}
		return false
	}
	t.Run("immediately to an agent without a plan", func(t *testing.T) {
		f := newFixture(t)
		f.attach("agent-1", 1, "north")
		if !planSent(f.take()) {
			t.Error("the plan was not sent")
		}
	})
	t.Run("not to an agent that got it from another entry", func(t *testing.T) {
		f := newFixture(t)
		f.attach("agent-1", 1, "north")
		f.take()
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2})
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2})
		for range 10 {
			f.advance(50 * time.Millisecond)
			f.s.Report(f.now, "agent-1", ccwire.RunReport{PlanRevision: 2})
			if planSent(f.take()) {
				t.Fatal("the plan was sent to an agent that has it")
			}
		}
	})
}

func TestPause(t *testing.T) {
	t.Run("after a pause, earlier jobs are held until the loss of their callers is known", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = time.Second })
		f.wantStarts(f.take(), 1)
		f.now = f.now.Add(3 * time.Second)
		f.attach("agent-1", 1, "north")
		f.attach("agent-2", 1, "south")
		f.wantStarts(f.take(), 0)
		f.s.Cancel(f.now, "j1", token)
		f.advance(pauseHold)
		f.wantStarts(f.take(), 0)
	})
	// Guards against a task that runs twice because its caller left during the pause, before
	// the entry had read the request.
	t.Run("a request that is read after a pause is held as well", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.now = f.now.Add(3 * time.Second)
		token := f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
		f.attach("agent-1", 1, "north")
		f.wantStarts(f.take(), 0)
		f.submit("j2", 1)
		f.advance(pauseHold - time.Millisecond)
		f.wantStarts(f.take(), 0)
		f.s.Cancel(f.now, "j1", token)
		f.advance(time.Millisecond)
		if s := f.wantStarts(f.take(), 1); s[0].order.Task.Job != "j2" {
			t.Errorf("started %s, want j2, whose caller still waits", s[0].order.Task.Job)
		}
	})
	t.Run("after the hold, jobs of callers that still wait are placed", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(9 * time.Second); r.Estimate = 2 * time.Second })
		f.wantStarts(f.take(), 1)
		f.now = f.now.Add(time.Second)
		f.attach("agent-1", 1, "north")
		f.wantStarts(f.take(), 0)
		f.advance(pauseHold)
		f.wantStarts(f.take(), 1)
	})
}

func TestPlacement(t *testing.T) {
	t.Run("prefers the entry's failure domain", func(t *testing.T) {
		f := newFixture(t, "south", "north")
		f.submit("j1", 4)
		for _, s := range f.wantStarts(f.take(), 4) {
			if s.agent != "agent-2" {
				t.Errorf("placed on %s, want agent-2", s.agent)
			}
		}
	})
	t.Run("never exceeds the free capacity, counting starts in flight", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 3)
		f.wantStarts(f.take(), 3)
		f.submit("j2", 3)
		f.wantStarts(f.take(), 1)
	})
	t.Run("places nothing in a failure domain that is taken out", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2, DomainsOut: map[string]bool{"north": true}})
		f.submit("j1", 8)
		for _, s := range f.wantStarts(f.take(), 4) {
			if s.agent != "agent-2" {
				t.Errorf("placed on %s, want agent-2", s.agent)
			}
		}
	})
	t.Run("respects MaxPerWorker", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 4, func(r *Request) { r.MaxPerWorker = 1 })
		f.wantStarts(f.take(), 2)
	})
	t.Run("refuses a job as not run if its start orders were refused", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("full", 4, func(r *Request) { r.Estimate = time.Second; r.Deadline = f.now.Add(9 * time.Second) })
		f.wantStarts(f.take(), 4)
		token := f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
		// The report is outdated: it shows capacity for one task, but the agent refuses it.
		f.free["agent-1"] = 1000
		f.report("agent-1")
		refused := f.wantStarts(f.take(), 1)
		f.free["agent-1"] = 0
		f.report("agent-1", endOf(refused[0], ccwire.RunNoCapacity))
		for range 100 {
			f.advance(10 * time.Millisecond)
			f.report("agent-1")
			if out := f.take(); len(out.Answers) > 0 {
				f.wantAnswer(out, token, StateRefused)
				return
			}
		}
		t.Error("the job was not answered")
	})
	t.Run("prefers the rack that holds the data", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.s.cfg.AwayFactor = 3
		f.s.Report(f.now, "agent-2", ccwire.RunReport{Free: ccresource.Amount{CPU: 4000}, Worker: &ccwire.WorkerInfo{
			Domain: "south", Service: "proof", Capacity: ccresource.Amount{CPU: 4000}, Labels: []string{"a", "r1-3"},
		}})
		f.submit("j1", 1, func(r *Request) { r.Rack = "r1-3" })
		if s := f.wantStarts(f.take(), 1); s[0].agent != "agent-2" {
			t.Errorf("placed on %s, want agent-2, which is near the data", s[0].agent)
		}
	})
	t.Run("places a task elsewhere at once if an agent has no free capacity", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.free[first.agent] = 0
		f.report(first.agent, endOf(first, ccwire.RunNoCapacity))
		if s := f.wantStarts(f.take(), 1); s[0].agent == first.agent {
			t.Errorf("placed on %s again", first.agent)
		}
	})
	t.Run("logs the first refusals for lack of capacity, then fewer and fewer", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 1, func(r *Request) { r.Estimate = 900 * time.Millisecond })
		logged := 0
		for range 40 {
			out := f.take()
			f.report("agent-1", endOf(f.wantStarts(out, 1)[0], ccwire.RunNoCapacity))
			for _, c := range out.Changes {
				if c.Message == "Tasks placed." && !c.Quiet {
					logged++
				}
			}
		}
		// Logged are the orders after 0 to 2 refusals, and after 4, 8, 16 and 32.
		if logged != 7 {
			t.Errorf("log lines for 40 start orders: got %d, want 7", logged)
		}
	})
	t.Run("places nothing on an agent that takes no starts", func(t *testing.T) {
		f := newFixture(t, "north")
		f.s.Report(f.now, "agent-1", ccwire.RunReport{ClosedReason: "worker is draining", Free: ccresource.Amount{CPU: 4000}})
		f.submit("j1", 1)
		f.wantStarts(f.take(), 0)
	})
	t.Run("places the route with the higher priority first", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("full", 4)
		starts := f.wantStarts(f.take(), 4)
		f.free["agent-1"] = 0
		f.report("agent-1")
		f.submit("low", 1, func(r *Request) { r.Route.Priority = 2 })
		f.submit("high", 1)
		f.free["agent-1"] = 1000
		f.report("agent-1", endOf(starts[0], ccwire.RunDone))
		if s := f.wantStarts(f.take(), 1); s[0].order.Task.Job != "high" {
			t.Errorf("first start: got %s, want high", s[0].order.Task.Job)
		}
	})
	t.Run("waits for an agent that meets the objective", func(t *testing.T) {
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
		f.report(full[0].agent, endOf(full[0], ccwire.RunDone))
		if s := f.wantStarts(f.take(), 1); s[0].agent == slow {
			t.Errorf("placed on %s, which is too slow", slow)
		}
	})
	t.Run("uses a slow agent while many jobs wait", func(t *testing.T) {
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
		for i := range delayQueueLimit + 1 {
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
		f.s.Report(f.now, first.agent, ccwire.RunReport{Free: ccresource.Amount{CPU: 3000}, Progress: []ccwire.Progress{{Task: first.order.Task, Order: first.order.Order, Percent: 1, ElapsedMS: 120}}})
		if stops := stopsIn(f.take()); len(stops) != 1 {
			t.Fatalf("stops: got %v, want 1", stops)
		}
		f.report(first.agent, endOf(first, ccwire.RunStopped))
		if s := f.wantStarts(f.take(), 1); s[0].agent == first.agent {
			t.Errorf("moved to the same agent %s", s[0].agent)
		}
	})
	t.Run("does not move a run if the job would not benefit", func(t *testing.T) {
		// Values as under light load: an estimate of 90 ms, and 24 % done after 125 ms.
		// Moved or not, the job misses its objective but ends before its cutoff.
		f := newFixture(t, "north", "south")
		f.submit("j1", 1, func(r *Request) { r.Estimate = 90 * time.Millisecond })
		first := f.wantStarts(f.take(), 1)[0]
		f.now = f.now.Add(125 * time.Millisecond)
		f.s.Report(f.now, first.agent, ccwire.RunReport{Free: ccresource.Amount{CPU: 3000}, Progress: []ccwire.Progress{{Task: first.order.Task, Order: first.order.Order, Percent: 24, ElapsedMS: 125}}})
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
		t.Errorf("plan: got revision %d, want 5; the agent reported an older one", got)
	}
	f.s.Report(f.now, "agent-1", ccwire.RunReport{Plan: &ccroute.Plan{Revision: 6}, PlanRevision: 6})
	if got := f.s.Plan().Revision; got != 6 {
		t.Errorf("plan: got revision %d, want 6, which an agent reported", got)
	}
}

func TestEntryBoundsWhatAgentsReport(t *testing.T) {
	t.Run("the interval between capacity reports grows with the number of agents", func(t *testing.T) {
		few, many := newFixture(t, make([]string, 10)...), newFixture(t, make([]string, 200)...)
		for _, f := range []*fixture{few, many} {
			f.advance(time.Second / 2)
			f.submit("j1", 1)
		}
		first, second := few.take().Messages[0].Orders.CapacityIntervalMS, many.take().Messages[0].Orders.CapacityIntervalMS
		if first != 20 || second != 400 {
			t.Errorf("got %d and %d ms, want 20 and 400 for %d reports per second", first, second, capacityReportsPerSecond)
		}
	})
	t.Run("an agent without runs gets fewer heartbeats", func(t *testing.T) {
		f := newFixture(t, "north", "north")
		f.submit("j1", 1)
		placed := f.take().Messages[0].To
		count := map[ccnode.ID]int{}
		for range 100 {
			f.advance(10 * time.Millisecond)
			for _, m := range f.take().Messages {
				count[m.To]++
			}
			f.report("agent-1")
			f.report("agent-2")
		}
		for id, got := range count {
			if want := int(time.Second / idleHeartbeatInterval); id != placed && got > want+1 {
				t.Errorf("idle agent: got %d heartbeats per second, want %d", got, want)
			}
			if want := int(time.Second / heartbeatInterval); id == placed && got < want-1 {
				t.Errorf("agent with a run: got %d heartbeats per second, want %d", got, want)
			}
		}
	})
}

// TestIgnoredResults guards against logs that don't tell an ignored end of a run from one
// that never arrived, and against floods of them when an agent repeats its ends.
func TestIgnoredResults(t *testing.T) {
	ignored := func(out Actions) (logged, quiet []Change) {
		for _, c := range out.Changes {
			switch {
			case c.Message != "Result ignored.":
			case c.Quiet:
				quiet = append(quiet, c)
			default:
				logged = append(logged, c)
			}
		}
		return logged, quiet
	}
	t.Run("an end of an earlier run is logged with its order", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, endOf(first, ccwire.RunLost))
		f.wantStarts(f.take(), 1)
		f.report(first.agent, endOf(first, ccwire.RunDone))
		logged, _ := ignored(f.take())
		if len(logged) != 1 || logged[0].Order != first.order.Order || logged[0].Agent != first.agent || logged[0].Reason == "" {
			t.Errorf("got %+v, want one line that names the run", logged)
		}
	})
	t.Run("ends of unknown jobs and many ends are only counted", func(t *testing.T) {
		f := newFixture(t, "north")
		f.submit("j1", 8)
		f.wantStarts(f.take(), 4)
		results := []ccwire.RunResult{{Task: ccwire.TaskRef{Job: "j9"}, Order: 1, Outcome: ccwire.RunDone}}
		for i := range 8 {
			results = append(results, ccwire.RunResult{Task: ccwire.TaskRef{Job: "j1", Index: i}, Order: 77, Outcome: ccwire.RunDone})
		}
		f.report("agent-1", results...)
		if logged, quiet := ignored(f.take()); len(logged) != maxIgnoredLogged || len(quiet) != 9-maxIgnoredLogged {
			t.Errorf("got %d lines and %d counted, want %d and %d", len(logged), len(quiet), maxIgnoredLogged, 9-maxIgnoredLogged)
		}
	})
}
