package cclease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

func TestBounds(t *testing.T) {
	// A caller resubmits a job after 1.3 s, to any entry.
	if RunsExpireAfter >= 1300*time.Millisecond {
		t.Errorf("runs expire after %v, but a job is resubmitted after 1.3 s", RunsExpireAfter)
	}
	if LeaseDuration > time.Second {
		t.Errorf("lease: got %v, want at most 1 s, the limit of the worker", LeaseDuration)
	}
}

func TestStart(t *testing.T) {
	t.Run("an order that fits is sent to the worker with a lease", func(t *testing.T) {
		f := newFixture(t)
		out := f.orderStart(entryA, "j1", 1000)
		if len(out.Starts) != 1 || out.Starts[0].Run != 1 || out.Starts[0].Token != 7 {
			t.Fatalf("starts: got %+v", out.Starts)
		}
		if want := time.Second + LeaseDuration; out.Starts[0].LeaseEnd != want {
			t.Errorf("lease ends at %v, want %v", out.Starts[0].LeaseEnd, want)
		}
	})
	t.Run("an order that exceeds the free capacity is refused without a call", func(t *testing.T) {
		f := newFixture(t)
		out := f.orderStart(entryA, "j1", 5000)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunNoCapacity)
	})
	t.Run("capacity stays reserved until the end of a stopped run is listed", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 4000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusOK})
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("j1")}})
		out := f.take()
		wantStops(t, out, "j1")
		f.manager.StopCompleted(f.now, out.Stops[0], Response{Status: StatusOK})
		wantEnd(t, endsIn(f.orderStart(entryB, "j2", 1000), entryB), "j2", ccwire.RunNoCapacity)
		f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunStopped}}))
		if out := f.orderStart(entryB, "j3", 4000); len(out.Starts) != 1 {
			t.Errorf("starts after the end: got %d, want 1", len(out.Starts))
		}
	})
	t.Run("an order of an entry with an outdated echo is refused", func(t *testing.T) {
		f := newFixture(t)
		f.now = f.now.Add(OwnerTimeout + 10*time.Millisecond)
		f.manager.OrdersReceived(f.now, entryA.ID, ccwire.Orders{Sequence: 1, Starts: []ccwire.StartOrder{{Task: ccwire.TaskRef{Job: "j1"}, Order: 99}}})
		out := f.take()
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunRefused)
	})
	t.Run("a run of the same task for another entry is stopped first", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		out := f.orderStart(entryB, "j1", 1000)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		wantStops(t, out, "j1")
		wantEnd(t, endsIn(out, entryB), "j1", ccwire.RunRefused)
	})
	t.Run("a draining worker gets no start", func(t *testing.T) {
		f := newFixture(t)
		w := f.worker()
		w.Sequence, w.Draining = 2, true
		f.manager.Heartbeat(f.now, w)
		out := f.orderStart(entryA, "j1", 1000)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
	})
}

func TestRefusals(t *testing.T) {
	t.Run("a run number that is too low is raised", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusStaleRun})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Run <= call.Run {
			t.Errorf("second start: got %+v, want a higher run than %d", out.Starts, call.Run)
		}
	})
	t.Run("a fencing token that is too low is raised", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusFenced})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Token <= call.Token {
			t.Errorf("second start: got %+v, want a higher token than %d", out.Starts, call.Token)
		}
	})
	t.Run("an order is returned if the worker has no capacity", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusNoCapacity})
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunNoCapacity)
	})
	t.Run("an unhealthy worker gets no starts for a while", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusUnhealthy})
		f.take()
		if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		f.advance(unhealthyPause + time.Millisecond)
		f.keepAlive(entryA)
		f.take()
		if out := f.orderStart(entryA, "j3", 1000); len(out.Starts) != 1 {
			t.Errorf("starts after the pause: got %d, want 1", len(out.Starts))
		}
	})
}

func TestLostResponse(t *testing.T) {
	t.Run("an unanswered start whose run is listed continues", func(t *testing.T) {
		f := newFixture(t)
		out := f.orderStart(entryA, "j1", 1000)
		f.manager.StartCompleted(f.now, out.Starts[0], Response{Status: StatusNoResponse})
		f.nextPoll()
		immediatePoll := f.nextPoll()
		f.completePoll(immediatePoll, okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}, nil))
		if out := f.take(); len(out.Stops) != 0 || f.manager.ActiveRuns() != 1 {
			t.Errorf("got %d stops and %d active runs, want 0 and 1", len(out.Stops), f.manager.ActiveRuns())
		}
	})
	t.Run("an unanswered start whose run is not listed is repeated, and then stopped", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		var out Actions
		for i := range maxStartRepeats + 1 {
			f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
			f.take()
			f.pendingPolls = nil
			f.now = f.now.Add(2 * time.Millisecond)
			f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse(nil, nil))
			if out = f.take(); i == maxStartRepeats {
				break
			}
			if len(out.Starts) != 1 || out.Starts[0].Run != call.Run || out.Starts[0].Token <= call.Token || len(out.Stops) != 0 {
				t.Fatalf("repeat %d: got starts %+v and stops %+v, want one start of run %d with a token above %d", i+1, out.Starts, out.Stops, call.Run, call.Token)
			}
			call = out.Starts[0]
		}
		wantStops(t, out, "j1")
		if len(out.Starts) != 0 || len(endsIn(out, entryA)) != 0 {
			t.Errorf("got %d starts and ends %v, want none before the stop is confirmed", len(out.Starts), endsIn(out, entryA))
		}
		f.manager.StopCompleted(f.now, out.Stops[0], Response{Status: StatusOK})
		f.now = f.now.Add(maxStopDuration + 2*time.Millisecond)
		f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse(nil, nil))
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunStopped)
	})
	t.Run("an unanswered start is not repeated for an entry that has stopped it", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf(call.Task.Job)}})
		f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
		f.take()
		f.now = f.now.Add(2 * time.Millisecond)
		f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse(nil, nil))
		out := f.take()
		wantStops(t, out, "j1")
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
	})
	t.Run("an unanswered start is not repeated for an entry that is silent", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
		f.take()
		f.now = f.now.Add(OwnerTimeout + time.Millisecond)
		f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse(nil, nil))
		out := f.take()
		wantStops(t, out, "j1")
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
	})
	t.Run("an unanswered start is not repeated at a worker that has restarted since", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
		restarted := f.worker()
		restarted.StartTime = f.now
		f.restartWorker(restarted)
		f.take()
		f.now = f.now.Add(2 * time.Millisecond)
		f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse(nil, nil))
		out := f.take()
		wantStops(t, out, "j1")
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
	})
	t.Run("an unanswered stop is repeated", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("j1")}})
		stop := f.take().Stops[0]
		f.manager.StopCompleted(f.now, stop, Response{Status: StatusNoResponse})
		f.take()
		f.advance(stopRetryInterval)
		wantStops(t, f.take(), "j1")
	})
}

func TestSilentEntry(t *testing.T) {
	t.Run("its runs are stopped, those of another entry continue", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.startRunning(entryB, "j2")
		f.take()
		for range 5 {
			f.advance(OwnerTimeout / 4)
			f.keepAlive(entryB)
		}
		wantStops(t, f.take(), "j1")
	})
	t.Run("a new incarnation does not own the runs of the previous one", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.manager.SessionClosed(entryA.ID)
		f.openSession(ccnode.Ref{ID: entryA.ID, Incarnation: 2})
		wantStops(t, f.take(), "j1")
	})
	t.Run("the same incarnation gets its runs and recent ends back", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.startRunning(entryA, "j2")
		f.manager.SessionClosed(entryA.ID)
		f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(
			[]ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}},
			[]EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j2"}, Run: 1, End: ccwire.RunDone}}))
		attach := f.attachRequest(entryA)
		if len(attach.Runs) != 1 || attach.Runs[0].Task.Job != "j1" {
			t.Errorf("runs: got %v, want j1", attach.Runs)
		}
		wantEnd(t, attach.Report.Results, "j2", ccwire.RunDone)
	})
}

func TestLease(t *testing.T) {
	t.Run("an overdue stop blocks the renewal, and the runs end when the lease expires", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("j1")}})
		f.take()
		f.now = f.now.Add(StopGrace + time.Millisecond)
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
		if call := f.nextPoll(); call.LeaseEnd != 0 {
			t.Errorf("lease is renewed until %v while a stop is overdue", call.LeaseEnd)
		}
		f.keepAlive(entryA)
		f.advance(LeaseDuration / 2)
		f.keepAlive(entryA)
		f.take()
		f.advance(LeaseDuration / 2)
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
	})
	t.Run("no run ends before the lease has expired on a slow clock", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
		f.advance(LeaseDuration)
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Errorf("ends: got %v after %v, but the worker's clock may be slow", ends, LeaseDuration)
		}
	})
	t.Run("polls of an unresponsive worker do not renew the lease", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		for range maxMissedPolls + 1 {
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
		}
		if call := f.nextPoll(); call.LeaseEnd != 0 || call.Wait != 0 {
			t.Errorf("poll: got %+v, want neither a lease nor a wait", call)
		}
	})
}

func TestRestarts(t *testing.T) {
	restart := func(f *fixture) time.Time {
		w := f.worker()
		w.StartTime, w.Sequence = w.StartTime.Add(time.Minute), 1
		f.restartWorker(w)
		return w.StartTime
	}
	t.Run("a restart ends all runs that the previous incarnation listed", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}, nil))
		restart(f)
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
	})
	t.Run("a run that the new incarnation has started continues", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.pendingPolls = nil
		f.manager.PollCompleted(f.now, PollCall{Worker: "w-1", Wait: pollWait}, PollResponse{Response: Response{Status: StatusOK, StartTime: epoch}})
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Fatalf("ends: got %v, but the start may have reached the new incarnation", ends)
		}
		call := f.nextPoll()
		if call.Token <= 7 {
			t.Errorf("token %d does not fence off calls in transit", call.Token)
		}
		call.Sent = f.now.Add(time.Millisecond)
		f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, StartTime: epoch}, Running: []ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}})
		if out := f.take(); len(endsIn(out, entryA)) != 0 || len(out.Stops) != 0 || f.manager.ActiveRuns() != 1 {
			t.Errorf("the run does not continue in the new incarnation: %+v", out)
		}
	})
	t.Run("a run that neither incarnation lists is stopped", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.pendingPolls = nil
		startTime := restart(f)
		call := f.nextPoll()
		call.Sent = f.now.Add(time.Millisecond)
		f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, StartTime: startTime}})
		wantStops(t, f.take(), "j1")
	})
	t.Run("a late heartbeat of an earlier incarnation is ignored", func(t *testing.T) {
		f := newFixture(t)
		w := f.worker()
		w.StartTime, w.Draining, w.Sequence = w.StartTime.Add(-time.Minute), true, 99
		f.manager.Heartbeat(f.now, w)
		if out := f.orderStart(entryA, "j1", 1000); len(out.Starts) != 1 {
			t.Errorf("starts: got %d, want 1", len(out.Starts))
		}
	})
	for _, status := range []Status{StatusConnRefused, StatusWrongInstance} {
		t.Run("a response with status "+string(status)+" ends all runs", func(t *testing.T) {
			f := newFixture(t)
			f.startRunning(entryA, "j1")
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: status}})
			wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
		})
	}
	t.Run("runs of an earlier incarnation of the agent are stopped before anything starts", func(t *testing.T) {
		f := &fixture{t: t, manager: NewManager(Config{Token: 8, StartTime: epoch}), now: epoch}
		f.manager.Heartbeat(f.now, f.worker())
		call := f.nextPoll()
		f.openSession(entryA)
		f.take()
		if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts before the first poll response: got %v", out.Starts)
		}
		f.completePoll(call, okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 5}}, nil))
		out := f.take()
		wantStops(t, out, "j1")
		// The entry that owns the run counts RunsExpireAfter from the last message of the
		// earlier incarnation, so the lease must not be renewed even if the stop fails.
		if call := f.nextPoll(); call.LeaseEnd != 0 {
			t.Errorf("the lease of an orphaned run is renewed until %v", call.LeaseEnd)
		}
		if out := f.orderStart(entryA, "j3", 1000); len(out.Starts) != 0 {
			t.Errorf("starts while an orphaned run is active: got %v", out.Starts)
		}
		f.manager.StopCompleted(f.now, out.Stops[0], Response{Status: StatusOK})
		f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 5, End: ccwire.RunStopped}}))
		f.take()
		if out := f.orderStart(entryA, "j1", 1000); len(out.Starts) != 1 || out.Starts[0].Run <= 5 {
			t.Errorf("starts after the orphaned run: got %+v, want a run number above 5", out.Starts)
		}
	})
}

func TestSingleLostPollIsTolerated(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
	if call := f.nextPoll(); call.LeaseEnd == 0 || call.Wait != 0 {
		t.Errorf("poll: got %+v, want one that renews the lease and does not wait", call)
	}
	if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 {
		t.Error("no start after a single lost response")
	}
	if pollWait > 100*time.Millisecond {
		t.Errorf("a lost response delays ends by %v, most of the latency objective of a short job", pollWait)
	}
}

func TestEndsAreAcknowledged(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 41, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunDone}}))
	if call := f.nextPoll(); call.Ack != 41 || call.LeaseEnd != 0 {
		t.Errorf("poll after the last end: got %+v, want 41 acknowledged and no lease", call)
	}
}

func TestDisconnectedEntryIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.manager.SessionClosed(entryA.ID)
	f.keepAlive(entryB)
	f.advance(ownerRetention + time.Second)
	if _, kept := f.manager.owners[entryA.ID]; kept {
		t.Error("the entry is still tracked")
	}
}

func TestHealth(t *testing.T) {
	fail := func(f *fixture, n uint64) Actions {
		job := fmt.Sprintf("j%d", n)
		f.startRunning(entryA, job)
		f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(nil, []EndedRun{{Number: n, Task: ccwire.TaskRef{Job: job}, Run: 1, End: ccwire.RunFailed}}))
		return f.take()
	}
	t.Run("a worker that fails different jobs is paused, then tested with one run", func(t *testing.T) {
		f := newFixture(t)
		wantEnd(t, endsIn(fail(f, 1), entryA), "j1", ccwire.RunFailed)
		fail(f, 2)
		wantEnd(t, endsIn(fail(f, 3), entryA), "j3", ccwire.RunLost)
		if out := f.orderStart(entryA, "j4", 1000); len(out.Starts) != 0 {
			t.Errorf("starts during the pause: got %v", out.Starts)
		}
		f.advance(minPause + time.Millisecond)
		f.keepAlive(entryA)
		f.take()
		f.startRunning(entryA, "j5")
		if out := f.orderStart(entryA, "j6", 1000); len(out.Starts) != 0 {
			t.Errorf("second start during the test run: got %v", out.Starts)
		}
		f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(nil, []EndedRun{{Number: 4, Task: ccwire.TaskRef{Job: "j5"}, Run: 1, End: ccwire.RunDone}}))
		f.take()
		f.startRunning(entryA, "j7")
		f.startRunning(entryA, "j8")
	})
	t.Run("repeated failures of one job do not pause the worker", func(t *testing.T) {
		f := newFixture(t)
		for n := uint64(1); n <= 5; n++ {
			out := f.orderStart(entryA, "j1", 1000)
			if len(out.Starts) != 1 {
				t.Fatalf("start %d: got %d, want 1", n, len(out.Starts))
			}
			f.manager.StartCompleted(f.now, out.Starts[0], Response{Status: StatusOK})
			f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(nil, []EndedRun{{Number: n, Task: ccwire.TaskRef{Job: "j1"}, Run: out.Starts[0].Run, End: ccwire.RunFailed}}))
			f.take()
		}
	})
}

func TestAttachRequestDescribesWorker(t *testing.T) {
	f := newFixture(t)
	// An entry needs the capacity of an agent that accepts starts as soon as the session
	// opens.
	if attach := f.attachRequest(ccnode.Ref{ID: "entry-c"}); attach.Report.Worker == nil || attach.Report.Worker.Capacity.CPU != 4000 {
		t.Errorf("worker: got %+v", attach.Report.Worker)
	}
}

func TestPlanIsRelayed(t *testing.T) {
	receivesPlan := func(f *fixture) bool {
		for range 10 {
			f.advance(100 * time.Millisecond)
			for _, r := range f.take().Reports {
				if r.To == entryB.ID && r.Report.Plan != nil && r.Report.Plan.Revision == 9 {
					return true
				}
			}
			f.keepAlive(entryA, entryB)
		}
		return false
	}
	t.Run("an entry learns at once that the agent has a newer plan", func(t *testing.T) {
		f := newFixture(t)
		f.take()
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		if !slices.ContainsFunc(f.take().Reports, func(r Report) bool { return r.To == entryB.ID && r.Report.PlanRevision == 9 }) {
			t.Error("the other entry was not told of the plan")
		}
	})
	t.Run("an entry that asks for the plan gets it", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		f.sendOrders(entryB, ccwire.Orders{WantPlan: true})
		if !receivesPlan(f) {
			t.Error("the other entry did not get the plan")
		}
	})
	// Guards against an entry that keeps an old plan because the copy for it was lost with
	// its session.
	t.Run("an entry that asks again in a new session gets another copy", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		f.sendOrders(entryB, ccwire.Orders{WantPlan: true})
		if !receivesPlan(f) {
			t.Fatal("the other entry did not get the plan")
		}
		f.manager.SessionClosed(entryB.ID)
		f.openSession(entryB)
		f.sendOrders(entryB, ccwire.Orders{WantPlan: true})
		if !receivesPlan(f) {
			t.Error("the other entry did not get another copy")
		}
	})
	t.Run("an entry that doesn't ask gets no copy", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		if receivesPlan(f) {
			t.Error("the other entry got a copy")
		}
	})
	t.Run("an entry that has the plan when it asks gets no copy", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		f.sendOrders(entryB, ccwire.Orders{PlanRevision: 9, WantPlan: true})
		if receivesPlan(f) {
			t.Error("the other entry got a copy")
		}
	})
	t.Run("an entry that got the plan from the store gets no copy", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		f.sendOrders(entryB, ccwire.Orders{PlanRevision: 9})
		if receivesPlan(f) {
			t.Error("the other entry got a copy")
		}
	})
}

func TestOlderPlanIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.sendOrders(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
	f.sendOrders(entryB, ccwire.Orders{PlanRevision: 8, Plan: &ccroute.Plan{Revision: 8}})
	if got := f.manager.Plan().Revision; got != 9 {
		t.Errorf("plan: got revision %d, want 9", got)
	}
}
