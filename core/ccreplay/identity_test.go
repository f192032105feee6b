package ccreplay

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// sessionRequest returns a request for a session that an agent makes now. It may be
// delivered at any later time.
func (f *fixture) sessionRequest(id ccnode.ID, incarnation ccnode.Incarnation, runs ...ccwire.RunRef) ccwire.Attach {
	capacity := ccresource.Amount{CPU: 4000}
	f.session++
	previous := uint64(0)
	if a := f.s.agents[id]; a != nil && a.ref.Incarnation == incarnation {
		previous = a.session
	}
	return ccwire.Attach{
		Node: ccnode.Ref{ID: id, Incarnation: incarnation}, Session: f.session, PreviousSession: previous, Runs: runs,
		Report: ccwire.RunReport{
			ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.handled[id], PriorRunsEnded: true, Free: capacity,
			Worker: &ccwire.WorkerInfo{Domain: "north", Service: "proof", Capacity: capacity},
		},
	}
}

// runOf returns what an agent lists of a run when it opens a session.
func runOf(s start) ccwire.RunRef {
	return ccwire.RunRef{Task: s.order.Task, Order: s.order.Order}
}

// slow gives a request an estimate and a deadline that no test reaches.
func slow(r *Request) { r.Estimate, r.Deadline = 5*time.Second, epoch.Add(time.Minute) }

// TestLateSessionRequest guards against a task that runs twice at once: a request for a
// session that an agent has given up arrives after a later one, and its list lacks the runs
// that were placed since.
func TestLateSessionRequest(t *testing.T) {
	f := newFixture(t, "north", "south")
	older := f.sessionRequest("agent-1", 1)
	older.Report.HandledSequence = 9 // Of the session before.
	f.now = f.now.Add(500 * time.Millisecond)
	f.s.Attach(f.now, f.sessionRequest("agent-1", 1))
	f.report("agent-2")
	f.submit("j1", 1, slow)
	if placed := f.wantStarts(f.take(), 1)[0]; placed.agent != "agent-1" {
		t.Fatalf("placed on %s, want agent-1", placed.agent)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.report("agent-1")
	f.report("agent-2")
	f.s.Attach(f.now, older)
	f.wantStarts(f.take(), 0)
	f.advance(10 * time.Millisecond)
	f.wantStarts(f.take(), 0)
}

// TestRepeatedEndOfAnEarlierRequest guards against a task that runs twice at once: the same
// job is handed in again, and the agent repeats the end of the first run when it opens a
// session.
func TestRepeatedEndOfAnEarlierRequest(t *testing.T) {
	f := newFixture(t, "north", "south")
	token := f.submit("j1", 1, slow)
	first := f.wantStarts(f.take(), 1)[0]
	f.s.Cancel(f.now, "j1", token)
	f.take()
	stopped := endOf(first, ccwire.RunStopped)
	f.report(first.agent, stopped)
	f.submit("j1", 1, slow)
	second := f.wantStarts(f.take(), 1)[0]
	if second.agent != first.agent {
		t.Fatalf("placed on %s, want %s", second.agent, first.agent)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.report("agent-1")
	f.report("agent-2")
	again := f.sessionRequest(first.agent, 1, runOf(second))
	again.Report.Results = []ccwire.RunResult{stopped}
	f.s.Attach(f.now, again)
	f.wantStarts(f.take(), 0)
}

// TestRefusedSessionRequest guards against a refused request that changes anything, and
// against one that leaves no trace in the log.
func TestRefusedSessionRequest(t *testing.T) {
	refused := func(out Actions) []Change {
		var refused []Change
		for _, c := range out.Changes {
			if c.Message == "Session request refused." {
				refused = append(refused, c)
			}
		}
		return refused
	}
	t.Run("an older one and a repeated one", func(t *testing.T) {
		f := newFixture(t)
		older, latest := f.sessionRequest("agent-1", 1), f.sessionRequest("agent-1", 1)
		for i, attach := range []ccwire.Attach{latest, older, latest} {
			if got := f.s.Attach(f.now, attach); got != (i == 0) {
				t.Errorf("request %d: got %v", i, got)
			}
		}
		if got := refused(f.take()); len(got) != 2 || got[0].Session != older.Session || got[0].LatestSession != latest.Session {
			t.Errorf("got %+v, want one line for each refused request, with both numbers", got)
		}
	})
	t.Run("one of an agent that is detached", func(t *testing.T) {
		f := newFixture(t)
		older, latest := f.sessionRequest("agent-1", 1), f.sessionRequest("agent-1", 1)
		f.s.Attach(f.now, latest)
		f.s.Detach(f.now, "agent-1")
		if f.s.Attach(f.now, older) || f.s.UsableAgents(f.now) != 0 {
			t.Error("an older request opened a session")
		}
	})
	t.Run("one of an agent that is forgotten", func(t *testing.T) {
		f := newFixture(t)
		older, latest := f.sessionRequest("agent-1", 1), f.sessionRequest("agent-1", 1)
		f.s.Attach(f.now, latest)
		f.s.Detach(f.now, "agent-1")
		f.advance(forgetAfter + time.Second)
		if f.s.Attach(f.now, older) || len(f.s.agents) != 0 {
			t.Error("an older request opened a session")
		}
		if !f.s.Attach(f.now, f.sessionRequest("agent-1", 1)) {
			t.Error("a later request was refused")
		}
	})
}

// TestAgentClockSetBack guards against a session of an agent that has started again with a
// lower incarnation, because its clock was set back, and is taken for its earlier self: the
// runs of that one would never end, and the lists of the new one would be ignored.
func TestAgentClockSetBack(t *testing.T) {
	start := func(t *testing.T) (*fixture, ccwire.Attach) {
		f := newFixture(t)
		f.s.Attach(f.now, f.sessionRequest("agent-1", 5))
		f.submit("j1", 1, slow)
		f.wantStarts(f.take(), 1)
		f.attach("agent-2", 1, "south")
		f.now = f.now.Add(100 * time.Millisecond)
		f.report("agent-2")
		return f, f.sessionRequest("agent-1", 3)
	}
	t.Run("its earlier runs are settled by the new incarnation", func(t *testing.T) {
		f, later := start(t)
		later.Report.PriorRunsEnded = false
		if !f.s.Attach(f.now, later) {
			t.Fatal("the session was refused")
		}
		f.wantStarts(f.take(), 0)
		f.s.Report(f.now, "agent-1", ccwire.RunReport{PriorRunsEnded: true})
		f.wantStarts(f.take(), 1)
	})
	t.Run("its list of runs is followed", func(t *testing.T) {
		f, later := start(t)
		f.s.Attach(f.now, later)
		f.wantStarts(f.take(), 1)
		f.submit("j2", 4, slow)
		f.wantStarts(f.take(), 4)
		f.s.Attach(f.now, f.sessionRequest("agent-1", 3, ccwire.RunRef{Task: ccwire.TaskRef{Job: "j9"}, Order: 9}))
		if stops := stopsIn(f.take()); len(stops) != 1 || stops[0].Task.Job != "j9" {
			t.Errorf("stops: got %v, want j9", stops)
		}
	})
}

// TestLostAttachReply guards against a job that is answered as one that may have run,
// though its only start was ordered in a session that the agent never opened: the number of
// the last orders that the agent has handled is that of the session before.
func TestLostAttachReply(t *testing.T) {
	f := newFixture(t, "north")
	f.handled["agent-1"] = 9
	next := f.sessionRequest("agent-1", 1)
	f.s.Attach(f.now, f.sessionRequest("agent-1", 1)) // Its reply is lost.
	next.Session = f.session + 1
	token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(100 * time.Millisecond) })
	f.wantStarts(f.s.Take(f.now), 1)
	next.Report.ClosedReason = "worker is draining"
	f.s.Attach(f.now, next)
	f.advance(100 * time.Millisecond)
	f.wantAnswer(f.s.Take(f.now), token, StateRefused)
}

// TestStatementsAboutAnEarlierRun guards against a list of runs, or progress, that is taken
// for one about the run that was placed since.
func TestStatementsAboutAnEarlierRun(t *testing.T) {
	placeTwice := func(t *testing.T) (f *fixture, first, second start) {
		f = newFixture(t, "north")
		f.submit("j1", 1, slow)
		first = f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, endOf(first, ccwire.RunLost))
		second = f.wantStarts(f.take(), 1)[0]
		return f, first, second
	}
	t.Run("a listed earlier run is stopped, the newer one goes on", func(t *testing.T) {
		f, first, second := placeTwice(t)
		f.s.Attach(f.now, f.sessionRequest("agent-1", 1, runOf(first), runOf(second)))
		out := f.take()
		f.wantStarts(out, 0)
		if stops := stopsIn(out); len(stops) != 1 || stops[0] != runOf(first) {
			t.Errorf("stops: got %v, want %v", stops, runOf(first))
		}
	})
	t.Run("a listed earlier run does not stand for the newer one", func(t *testing.T) {
		f, first, second := placeTwice(t)
		f.s.Attach(f.now, f.sessionRequest("agent-1", 1, runOf(first)))
		if third := f.wantStarts(f.take(), 1)[0]; third.order.Order <= second.order.Order {
			t.Errorf("order: got %d, want more than %d", third.order.Order, second.order.Order)
		}
	})
	t.Run("progress of an earlier run does not move the newer one", func(t *testing.T) {
		f := newFixture(t, "north", "south")
		f.submit("j1", 1)
		first := f.wantStarts(f.take(), 1)[0]
		f.report(first.agent, endOf(first, ccwire.RunNoCapacity))
		second := f.wantStarts(f.take(), 1)[0]
		if second.agent != first.agent {
			t.Fatalf("placed on %s, want %s", second.agent, first.agent)
		}
		for _, s := range []start{first, second} {
			f.s.Report(f.now, s.agent, ccwire.RunReport{Free: ccresource.Amount{CPU: 3000}, Progress: []ccwire.Progress{{Task: s.order.Task, Order: s.order.Order, Percent: 1, ElapsedMS: 120}}})
			if stops := stopsIn(f.take()); len(stops) > 0 != (s == second) {
				t.Errorf("progress of order %d: got stops %v", s.order.Order, stops)
			}
		}
	})
}
