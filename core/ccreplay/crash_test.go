package ccreplay

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// crashed reports a crash of the worker that runs the given starts, which it ends.
func (f *fixture) crashed(number uint64, ran time.Duration, starts ...start) {
	report := ccwire.CrashReport{Number: number}
	var ends []ccwire.RunResult
	for _, s := range starts {
		report.Suspects = append(report.Suspects, ccwire.CrashSuspect{Task: s.order.Task, Class: s.order.Class, RanMS: ran.Milliseconds(), Crashes: s.order.Crashes})
		ends = append(ends, endOf(s, ccwire.RunLost))
	}
	agent := starts[0].agent
	f.s.Report(f.now, agent, ccwire.RunReport{
		ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.handled[agent], Free: ccresource.Amount{CPU: f.free[agent]},
		Crashes: []ccwire.CrashReport{report}, Results: ends,
	})
}

func TestCrashes(t *testing.T) {
	// Guards against one task that crashes worker after worker.
	t.Run("a job fails with the second crash of one of its tasks", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		token := f.submit("job", 1)
		f.crashed(1, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		again := f.wantStarts(f.take(), 1)
		if got := again[0].order.Crashes; got != 1 {
			t.Errorf("crashes in the order: got %d, want 1", got)
		}
		f.crashed(2, 13*time.Millisecond, again...)
		out := f.take()
		f.wantAnswer(out, token, StateFailed)
		f.wantStarts(out, 0)
	})
	t.Run("it fails at once when its caller sends it again", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		f.submit("job", 1)
		f.crashed(1, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		f.crashed(2, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		f.take()
		token := f.submit("job", 1)
		f.wantAnswer(f.take(), token, StateFailed)
	})
	// Guards against the failure of a job because of another one that crashed its workers.
	t.Run("a task beside the one that crashes its workers runs again", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		f.submit("job", 1)
		first := f.wantStarts(f.take(), 1)
		f.crashed(1, 80*time.Millisecond, first...)
		f.crashed(2, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		out := f.take()
		f.wantNoAnswer(out)
		f.wantStarts(out, 1)
	})
}

// otherRoute is a route whose jobs crash no workers.
var otherRoute = ccroute.Route{Name: "other", Service: "proof", MaxAttempts: 3, Stretch: 1.6, Allowance: 60 * time.Millisecond}

// isolate makes a job of route crash two workers, and returns their agents in the order of
// the crashes.
func (f *fixture) isolate() []ccnode.ID {
	f.t.Helper()
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2, Routes: []ccroute.Route{route, otherRoute}})
	f.submit("culprit", 1)
	var crashed []ccnode.ID
	for number := range uint64(2) {
		starts := f.wantStarts(f.take(), 1)
		f.crashed(number+1, 12*time.Millisecond, starts...)
		crashed = append(crashed, starts[0].agent)
	}
	f.take()
	return crashed
}

// agentsOf returns the agents that the starts went to.
func agentsOf(starts []start) map[ccnode.ID]bool {
	agents := map[ccnode.ID]bool{}
	for _, s := range starts {
		agents[s.agent] = true
	}
	return agents
}

// Guards against a class of jobs that crashes worker after worker, beside all others.
func TestIsolation(t *testing.T) {
	ofOtherRoute := func(r *Request) { r.Route = otherRoute }
	t.Run("jobs of the class and others share no worker", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north", "north")
		f.isolate()
		f.submit("same", 4)
		isolated := agentsOf(f.wantStarts(f.take(), 4))
		f.submit("other", 12, ofOtherRoute)
		others := agentsOf(f.wantStarts(f.take(), 12))
		if len(isolated) != 1 || len(others) != 3 {
			t.Fatalf("agents: got %v for the class and %v for others, want one and three", isolated, others)
		}
		for id := range isolated {
			if others[id] {
				t.Errorf("both run at %s", id)
			}
		}
	})
	// Guards against a class that costs the others workers beside those that it has crashed.
	t.Run("the class is kept on the workers that crashed under it", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north", "north", "north", "north", "north")
		crashed := f.isolate()
		f.submit("same", 8)
		got := agentsOf(f.wantStarts(f.take(), 8))
		if len(got) != 2 || !got[crashed[0]] || !got[crashed[1]] {
			t.Errorf("agents: got %v, want %v", got, crashed)
		}
	})
	t.Run("jobs of the class are refused at once while their workers are down", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north", "north")
		f.isolate()
		f.submit("first", 4)
		for id := range agentsOf(f.wantStarts(f.take(), 4)) {
			f.s.Report(f.now, id, ccwire.RunReport{HandledSequence: f.handled[id], ClosedReason: "no heartbeat"})
		}
		token := f.submit("second", 1)
		out := f.take()
		f.wantAnswer(out, token, StateRefused)
		f.submit("other", 4, ofOtherRoute)
		f.wantStarts(f.take(), 4)
	})
	t.Run("they run everywhere again after a quiet time", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north", "north")
		f.isolate()
		for range 60 {
			f.advance(100 * time.Millisecond)
			for _, id := range []ccnode.ID{"agent-1", "agent-2", "agent-3", "agent-4"} {
				f.report(id)
			}
			f.take()
		}
		f.submit("same", 16)
		if got := agentsOf(f.wantStarts(f.take(), 16)); len(got) != 4 {
			t.Errorf("agents: got %v, want all four", got)
		}
	})
}

// Guards against several jobs of a class that crash worker after worker before one of them
// is found to be the cause.
func TestAlikeCrashesHoldTheClass(t *testing.T) {
	// crashTwo makes two jobs crash a worker each after runs of the given lengths, and
	// returns what is placed then.
	crashTwo := func(t *testing.T, first, second time.Duration) (*fixture, Actions) {
		f := newFixture(t, "north", "north", "north", "north", "north")
		f.s.SetPlan(f.now, &ccroute.Plan{Revision: 2, Routes: []ccroute.Route{route, otherRoute}})
		f.submit("first", 1)
		a := f.wantStarts(f.take(), 1)
		f.submit("second", 1)
		b := f.wantStarts(f.take(), 1)
		if a[0].agent == b[0].agent {
			t.Fatalf("both run at %s", a[0].agent)
		}
		f.crashed(1, first, a...)
		f.wantStarts(f.take(), 1)
		f.crashed(1, second, b...)
		return f, f.take()
	}
	t.Run("only the suspect of the first crash runs until it may have crashed again", func(t *testing.T) {
		f, out := crashTwo(t, 12*time.Millisecond, 13*time.Millisecond)
		f.wantStarts(out, 0)
		f.submit("third", 2)
		f.wantStarts(f.take(), 0)
		f.submit("other", 2, func(r *Request) { r.Route = otherRoute })
		f.wantStarts(f.take(), 2)
		f.advance(50 * time.Millisecond)
		f.wantStarts(f.take(), 3)
	})
	t.Run("the class is not held if the runs differ", func(t *testing.T) {
		f, out := crashTwo(t, 12*time.Millisecond, 25*time.Millisecond)
		f.wantStarts(out, 1)
		f.submit("third", 2)
		f.wantStarts(f.take(), 2)
	})
}
