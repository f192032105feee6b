package cclease

import (
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// TestNewEntryIsNotToldOfEarlierRuns guards against a task that runs twice at once: an
// entry that has started again takes the end of a run that it ordered before for the end of
// one that it has ordered since.
func TestNewEntryIsNotToldOfEarlierRuns(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.openSession(ccnode.Ref{ID: entryA.ID, Incarnation: 2})
	f.manager.StopCompleted(f.now, f.take().Stops[0], Response{Status: StatusOK})
	f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunStopped}}))
	if f.manager.ActiveRuns() != 0 {
		t.Fatalf("active runs: got %d, want 0", f.manager.ActiveRuns())
	}
	if ends := endsIn(f.take(), entryA); len(ends) != 0 {
		t.Errorf("ends told to the new incarnation: got %+v, want none", ends)
	}
}

// TestReplyToAnEarlierRequest guards against a task that runs twice at once: the agent has
// turned to another request, whose list lacks what the orders of the earlier session start.
func TestReplyToAnEarlierRequest(t *testing.T) {
	wantNoStart := func(t *testing.T, f *fixture) {
		t.Helper()
		if out := f.orderStart(entryA, "j1", 1000); len(out.Starts) != 0 || f.manager.ActiveRuns() != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
	}
	t.Run("opens no session", func(t *testing.T) {
		f := newFixture(t)
		earlier, latest := f.attachRequest(entryA), f.attachRequest(entryA)
		if f.manager.SessionOpened(f.now, entryA, earlier.Session) || f.manager.Connected(entryA.ID) {
			t.Error("the reply to an earlier request opened a session")
		}
		wantNoStart(t, f)
		if !f.manager.SessionOpened(f.now, entryA, latest.Session) {
			t.Fatal("the reply to the latest request opened no session")
		}
		if f.manager.SessionOpened(f.now, entryA, latest.Session) || f.manager.SessionOpened(f.now, entryA, earlier.Session) {
			t.Error("a repeated or late reply opened a session")
		}
		if f.manager.SessionOpened(f.now, ccnode.Ref{ID: entryA.ID, Incarnation: 2}, latest.Session) {
			t.Error("the reply of another incarnation opened a session")
		}
		if out := f.orderStart(entryA, "j1", 1000); len(out.Starts) != 1 {
			t.Errorf("starts in the latest session: got %v, want 1", out.Starts)
		}
	})
	t.Run("orders of the session before are dropped", func(t *testing.T) {
		f := newFixture(t)
		f.attachRequest(entryA)
		wantNoStart(t, f)
	})
	t.Run("an earlier handshake does not close a later session", func(t *testing.T) {
		f := newFixture(t)
		f.openSession(entryA)
		if _, ok := f.manager.AttachRequest(f.now, ccnode.Ref{ID: "agent"}, entryA, f.session-1); ok || !f.manager.Connected(entryA.ID) {
			t.Error("a request with an earlier number was made")
		}
		if _, ok := f.manager.AttachRequest(f.now, ccnode.Ref{ID: "agent"}, ccnode.Ref{ID: entryA.ID, Incarnation: 2}, 1); !ok {
			t.Error("the numbers of another incarnation count anew, and the request was not made")
		}
	})
}

// TestHandledSequenceNamesItsSession guards against an entry that takes the number of the
// last orders of another session, or of its earlier incarnation, for that of its own.
func TestHandledSequenceNamesItsSession(t *testing.T) {
	f := newFixture(t)
	f.openSession(entryA)
	opened := f.session
	f.keepAlive(entryA)
	f.attachRequest(entryA) // The reply is lost.
	if got := f.attachRequest(entryA); got.PreviousSession != opened || got.Report.HandledSequence != f.seq {
		t.Errorf("got session %d, orders %d, want session %d, which was opened last, orders %d", got.PreviousSession, got.Report.HandledSequence, opened, f.seq)
	}
	restarted := ccnode.Ref{ID: entryA.ID, Incarnation: 2}
	if got := f.attachRequest(restarted); got.PreviousSession != 0 || got.Report.HandledSequence != 0 {
		t.Errorf("told to a new incarnation: got session %d, orders %d, want 0 and 0", got.PreviousSession, got.Report.HandledSequence)
	}
}

// TestStatementsAboutAnotherRun guards against a stop, or a repeated start order, that is
// taken for one about the task's current run.
func TestStatementsAboutAnotherRun(t *testing.T) {
	t.Run("a stop of an earlier run stops nothing", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		stop := f.runOf("j1")
		f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: stop.Task, Run: 1, End: ccwire.RunDone}}))
		f.startRunning(entryA, "j1")
		f.take()
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{stop}})
		wantStops(t, f.take())
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("j1")}})
		wantStops(t, f.take(), "j1")
	})
	t.Run("a stop by another entry stops nothing", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j2")
		stop := f.runOf("j2")
		f.sendOrders(entryB, ccwire.Orders{Stops: []ccwire.RunRef{stop}})
		wantStops(t, f.take())
	})
	t.Run("a repeated start order neither ends the run nor starts another", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		run := f.runOf("j1")
		orders := ccwire.Orders{Starts: []ccwire.StartOrder{{Task: run.Task, Order: run.Order, Need: ccresource.Amount{CPU: 1000}}}}
		f.manager.OrdersReceived(f.now, entryA.ID, orders)
		if out := f.take(); len(out.Starts) != 0 || len(endsIn(out, entryA)) != 0 {
			t.Errorf("while it runs: got %d starts, ends %+v, want none", len(out.Starts), endsIn(out, entryA))
		}
		f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: run.Task, Run: 1, End: ccwire.RunDone}}))
		f.take()
		f.manager.OrdersReceived(f.now, entryA.ID, orders)
		if out := f.take(); len(out.Starts) != 0 || len(endsIn(out, entryA)) != 0 {
			t.Errorf("after its end: got %d starts, ends %+v, want none", len(out.Starts), endsIn(out, entryA))
		}
	})
}

// TestRequestListsRunsOfItsEntryAlone guards against a restarted entry that is told of runs
// which it did not order, under numbers that it has given to others.
func TestRequestListsRunsOfItsEntryAlone(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.startRunning(entryA, "j2")
	run := f.runOf("j1")
	f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: run.Task, Run: 1}}, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j2"}, Run: 1, End: ccwire.RunDone}}))
	if got := f.attachRequest(entryA); len(got.Runs) != 1 || got.Runs[0] != run || len(got.Report.Results) != 1 {
		t.Errorf("told to their entry: got runs %v, ends %v, want %v and one end", got.Runs, got.Report.Results, run)
	}
	if got := f.attachRequest(ccnode.Ref{ID: entryA.ID, Incarnation: 2}); len(got.Runs) != 0 || len(got.Report.Results) != 0 {
		t.Errorf("told to a new incarnation: got runs %v, ends %v, want none", got.Runs, got.Report.Results)
	}
}
