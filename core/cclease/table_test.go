package cclease

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

func TestBounds(t *testing.T) {
	// A caller sends a job again after 1.3 s, at whichever entry.
	if RunsOverAfter >= 1300*time.Millisecond {
		t.Errorf("runs are over after %v, a job comes again after 1.3 s", RunsOverAfter)
	}
	if LeaseTime > time.Second {
		t.Errorf("lease: got %v, the worker allows 1 s", LeaseTime)
	}
}

func TestStart(t *testing.T) {
	t.Run("an order that fits calls the worker under a lease", func(t *testing.T) {
		f := newFixture(t)
		out := f.start(entryA, "j1", 1000)
		if len(out.Starts) != 1 || out.Starts[0].Run != 1 || out.Starts[0].Token != 7 {
			t.Fatalf("starts: got %+v", out.Starts)
		}
		if want := time.Second + LeaseTime; out.Starts[0].Until != want {
			t.Errorf("lease ends at %v, want %v", out.Starts[0].Until, want)
		}
	})
	t.Run("an order beyond the room is given back without a call", func(t *testing.T) {
		f := newFixture(t)
		out := f.start(entryA, "j1", 5000)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunNoCapacity)
	})
	t.Run("room stays taken until the end of a stopped run is listed", func(t *testing.T) {
		f := newFixture(t)
		call := f.start(entryA, "j1", 4000).Starts[0]
		f.table.Started(f.now, call, Answer{Reply: ReplyOK})
		f.order(entryA, ccwire.Orders{Stops: []ccwire.TaskRef{{Job: "j1"}}})
		out := f.take()
		wantStops(t, out, "j1")
		f.table.Stopped(f.now, out.Stops[0], Answer{Reply: ReplyOK})
		wantEnd(t, endsIn(f.start(entryB, "j2", 1000), entryB), "j2", ccwire.RunNoCapacity)
		f.answerLook(f.look(), okLook(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunStopped}}))
		if out := f.start(entryB, "j3", 4000); len(out.Starts) != 1 {
			t.Errorf("starts after the end: got %d, want 1", len(out.Starts))
		}
	})
	t.Run("an order of an entry whose echo is old does not start", func(t *testing.T) {
		f := newFixture(t)
		f.now = f.now.Add(OwnerSilence + 10*time.Millisecond)
		f.table.Ordered(f.now, entryA.ID, ccwire.Orders{Sequence: 1, Starts: []ccwire.StartOrder{{Task: ccwire.TaskRef{Job: "j1"}, Attempt: 1}}})
		out := f.take()
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunRefused)
	})
	t.Run("a task that runs for another entry is stopped first", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		out := f.start(entryB, "j1", 1000)
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
		f.table.Heartbeat(f.now, w)
		out := f.start(entryA, "j1", 1000)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
	})
}

func TestRefusals(t *testing.T) {
	t.Run("a run number that is too low is raised", func(t *testing.T) {
		f := newFixture(t)
		call := f.start(entryA, "j1", 1000).Starts[0]
		f.table.Started(f.now, call, Answer{Reply: ReplyOldRun})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Run <= call.Run {
			t.Errorf("second start: got %+v, want a higher run than %d", out.Starts, call.Run)
		}
	})
	t.Run("a fencing token that is too low is raised", func(t *testing.T) {
		f := newFixture(t)
		call := f.start(entryA, "j1", 1000).Starts[0]
		f.table.Started(f.now, call, Answer{Reply: ReplyFenced})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Token <= call.Token {
			t.Errorf("second start: got %+v, want a higher token than %d", out.Starts, call.Token)
		}
	})
	t.Run("a worker without room gives the order back", func(t *testing.T) {
		f := newFixture(t)
		call := f.start(entryA, "j1", 1000).Starts[0]
		f.table.Started(f.now, call, Answer{Reply: ReplyNoRoom})
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunNoCapacity)
	})
	t.Run("an unhealthy worker rests", func(t *testing.T) {
		f := newFixture(t)
		call := f.start(entryA, "j1", 1000).Starts[0]
		f.table.Started(f.now, call, Answer{Reply: ReplyUnhealthy})
		f.take()
		if out := f.start(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
		f.pass(unhealthyPause + time.Millisecond)
		f.echo(entryA)
		f.take()
		if out := f.start(entryA, "j3", 1000); len(out.Starts) != 1 {
			t.Errorf("starts after the pause: got %d, want 1", len(out.Starts))
		}
	})
}

func TestLostAnswer(t *testing.T) {
	t.Run("a start without an answer that is listed goes on", func(t *testing.T) {
		f := newFixture(t)
		out := f.start(entryA, "j1", 1000)
		f.table.Started(f.now, out.Starts[0], Answer{Reply: ReplyNone})
		f.look()
		check := f.look()
		f.answerLook(check, okLook([]Running{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}, nil))
		if out := f.take(); len(out.Stops) != 0 || f.table.Alive() != 1 {
			t.Errorf("got %d stops and %d alive, want 0 and 1", len(out.Stops), f.table.Alive())
		}
	})
	t.Run("a start without an answer that is not listed is closed by a stop", func(t *testing.T) {
		f := newFixture(t)
		out := f.start(entryA, "j1", 1000)
		f.table.Started(f.now, out.Starts[0], Answer{Reply: ReplyNone})
		f.look()
		check := f.look()
		check.Sent = f.now.Add(time.Millisecond)
		f.now = f.now.Add(2 * time.Millisecond)
		f.answerLook(check, okLook(nil, nil))
		out = f.take()
		wantStops(t, out, "j1")
		if len(endsIn(out, entryA)) != 0 {
			t.Error("the run is said to be over before its stop is confirmed")
		}
		f.table.Stopped(f.now, out.Stops[0], Answer{Reply: ReplyOK})
		f.now = f.now.Add(stopTime + 2*time.Millisecond)
		f.answerLook(LookCall{Worker: "w-1", Sent: f.now}, okLook(nil, nil))
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunStopped)
	})
	t.Run("a stop without an answer is sent again", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.order(entryA, ccwire.Orders{Stops: []ccwire.TaskRef{{Job: "j1"}}})
		stop := f.take().Stops[0]
		f.table.Stopped(f.now, stop, Answer{Reply: ReplyNone})
		f.take()
		f.pass(stopRetry)
		wantStops(t, f.take(), "j1")
	})
}

func TestSilentEntry(t *testing.T) {
	t.Run("its runs are stopped, the other entry's go on", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.running(entryB, "j2")
		f.take()
		for range 5 {
			f.pass(OwnerSilence / 4)
			f.echo(entryB)
		}
		wantStops(t, f.take(), "j1")
	})
	t.Run("a new incarnation owns nothing of the earlier one", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.table.Detached(entryA.ID)
		f.table.Attached(f.now, ccnode.Ref{ID: entryA.ID, Incarnation: 2}, f.now)
		wantStops(t, f.take(), "j1")
	})
	t.Run("the same incarnation finds its runs and late ends", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.running(entryA, "j2")
		f.table.Detached(entryA.ID)
		f.answerLook(LookCall{Worker: "w-1", Wait: lookWait, Sent: f.now}, okLook(
			[]Running{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}},
			[]EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j2"}, Run: 1, End: ccwire.RunDone}}))
		attach := f.table.Attachment(f.now, ccnode.Ref{ID: "agent"}, entryA.ID)
		if len(attach.Runs) != 1 || attach.Runs[0].Job != "j1" {
			t.Errorf("runs: got %v, want j1", attach.Runs)
		}
		wantEnd(t, attach.Report.Results, "j2", ccwire.RunDone)
	})
}

func TestLease(t *testing.T) {
	t.Run("an overdue stop ends the renewal, and the lease's end ends the runs", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.order(entryA, ccwire.Orders{Stops: []ccwire.TaskRef{{Job: "j1"}}})
		f.take()
		f.now = f.now.Add(StopGrace + time.Millisecond)
		f.answerLook(f.look(), Look{Answer: Answer{Reply: ReplyNone}})
		if call := f.look(); call.Until != 0 {
			t.Errorf("lease is renewed until %v while a stop is overdue", call.Until)
		}
		f.echo(entryA)
		f.pass(LeaseTime / 2)
		f.echo(entryA)
		f.take()
		f.pass(LeaseTime / 2)
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
	})
	t.Run("no run is said to be over before the lease can be", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.answerLook(f.look(), Look{Answer: Answer{Reply: ReplyNone}})
		f.pass(LeaseTime)
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Errorf("ends: got %v after %v of the worker's clock, which may be slow", ends, LeaseTime)
		}
	})
	t.Run("a silent worker gets looks that renew nothing", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		for range missesAllowed + 1 {
			f.answerLook(f.look(), Look{Answer: Answer{Reply: ReplyNone}})
		}
		if call := f.look(); call.Until != 0 || call.Wait != 0 {
			t.Errorf("look: got %+v, want neither a lease nor a wait", call)
		}
	})
}

func TestWorkerLives(t *testing.T) {
	reborn := func(f *fixture) time.Time {
		w := f.worker()
		w.Born, w.Sequence = w.Born.Add(time.Minute), 1
		f.table.Heartbeat(f.now, w)
		return w.Born
	}
	t.Run("a new life ends all runs that the earlier one listed", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.answerLook(f.look(), okLook([]Running{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}, nil))
		reborn(f)
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
	})
	t.Run("a run that the new life has begun is not over", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.asked = nil
		f.table.Looked(f.now, LookCall{Worker: "w-1", Wait: lookWait}, Look{Answer: Answer{Reply: ReplyOK, Born: epoch}})
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Fatalf("ends: got %v, though the start may have reached the new life", ends)
		}
		call := f.look()
		if call.Token <= 7 {
			t.Errorf("token %d does not fence off orders that are on their way", call.Token)
		}
		call.Sent = f.now.Add(time.Millisecond)
		f.answerLook(call, Look{Answer: Answer{Reply: ReplyOK, Born: epoch}, Running: []Running{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}})
		if out := f.take(); len(endsIn(out, entryA)) != 0 || len(out.Stops) != 0 || f.table.Alive() != 1 {
			t.Errorf("the run does not go on in the new life: %+v", out)
		}
	})
	t.Run("a run that neither life lists is closed by a stop", func(t *testing.T) {
		f := newFixture(t)
		f.running(entryA, "j1")
		f.asked = nil
		born := reborn(f)
		call := f.look()
		call.Sent = f.now.Add(time.Millisecond)
		f.answerLook(call, Look{Answer: Answer{Reply: ReplyOK, Born: born}})
		wantStops(t, f.take(), "j1")
	})
	t.Run("a late heartbeat of an earlier life changes nothing", func(t *testing.T) {
		f := newFixture(t)
		w := f.worker()
		w.Born, w.Draining, w.Sequence = w.Born.Add(-time.Minute), true, 99
		f.table.Heartbeat(f.now, w)
		if out := f.start(entryA, "j1", 1000); len(out.Starts) != 1 {
			t.Errorf("starts: got %d, want 1", len(out.Starts))
		}
	})
	for _, reply := range []Reply{ReplyGone, ReplyOtherLife} {
		t.Run("an answer of "+string(reply)+" ends all runs", func(t *testing.T) {
			f := newFixture(t)
			f.running(entryA, "j1")
			f.answerLook(f.look(), Look{Answer: Answer{Reply: reply}})
			wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
		})
	}
	t.Run("what an earlier incarnation of the agent left is stopped before anything starts", func(t *testing.T) {
		f := &fixture{t: t, table: NewTable(Config{Token: 8, Now: epoch}), now: epoch}
		f.table.Heartbeat(f.now, f.worker())
		call := f.look()
		f.table.Attached(f.now, entryA, f.now)
		f.take()
		if out := f.start(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts before the first look: got %v", out.Starts)
		}
		f.answerLook(call, okLook([]Running{{Task: ccwire.TaskRef{Job: "j1"}, Run: 5}}, nil))
		out := f.take()
		wantStops(t, out, "j1")
		// Its owner counts from the earlier incarnation's last word, so its lease must
		// not grow, whatever becomes of the stop.
		if call := f.look(); call.Until != 0 {
			t.Errorf("the lease of a stray run is renewed until %v", call.Until)
		}
		if out := f.start(entryA, "j3", 1000); len(out.Starts) != 0 {
			t.Errorf("starts beside a stray run: got %v", out.Starts)
		}
		f.table.Stopped(f.now, out.Stops[0], Answer{Reply: ReplyOK})
		f.answerLook(LookCall{Worker: "w-1", Wait: lookWait, Sent: f.now}, okLook(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 5, End: ccwire.RunStopped}}))
		f.take()
		if out := f.start(entryA, "j1", 1000); len(out.Starts) != 1 || out.Starts[0].Run <= 5 {
			t.Errorf("starts afterwards: got %+v, want a run above 5", out.Starts)
		}
	})
}

func TestOneLostLookChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.running(entryA, "j1")
	f.answerLook(f.look(), Look{Answer: Answer{Reply: ReplyNone}})
	if call := f.look(); call.Until == 0 || call.Wait != 0 {
		t.Errorf("look: got %+v, want one that renews and does not wait", call)
	}
	if out := f.start(entryA, "j2", 1000); len(out.Starts) != 1 {
		t.Error("the worker is given up for one answer that was lost")
	}
	if lookWait > 100*time.Millisecond {
		t.Errorf("a lost answer hides ends for %v, which is most of a short job's objective", lookWait)
	}
}

func TestEndsAreAcknowledged(t *testing.T) {
	f := newFixture(t)
	f.running(entryA, "j1")
	f.answerLook(f.look(), okLook(nil, []EndedRun{{Number: 41, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunDone}}))
	if call := f.look(); call.Seen != 41 || call.Until != 0 {
		t.Errorf("look after the last end: got %+v, want 41 acknowledged and no lease", call)
	}
}

func TestEntryThatIsGoneIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.table.Detached(entryA.ID)
	f.echo(entryB)
	f.pass(forgetAfter + time.Second)
	if _, kept := f.table.owners[entryA.ID]; kept {
		t.Error("the entry is kept")
	}
}

func TestHealth(t *testing.T) {
	fail := func(f *fixture, n uint64) Actions {
		job := fmt.Sprintf("j%d", n)
		f.running(entryA, job)
		f.answerLook(LookCall{Worker: "w-1", Wait: lookWait, Sent: f.now}, okLook(nil, []EndedRun{{Number: n, Task: ccwire.TaskRef{Job: job}, Run: 1, End: ccwire.RunFailed}}))
		return f.take()
	}
	t.Run("a worker that fails different jobs rests, then is tried with one run", func(t *testing.T) {
		f := newFixture(t)
		wantEnd(t, endsIn(fail(f, 1), entryA), "j1", ccwire.RunFailed)
		fail(f, 2)
		wantEnd(t, endsIn(fail(f, 3), entryA), "j3", ccwire.RunLost)
		if out := f.start(entryA, "j4", 1000); len(out.Starts) != 0 {
			t.Errorf("starts while it rests: got %v", out.Starts)
		}
		f.pass(pauseMin + time.Millisecond)
		f.echo(entryA)
		f.take()
		f.running(entryA, "j5")
		if out := f.start(entryA, "j6", 1000); len(out.Starts) != 0 {
			t.Errorf("a second start on trial: got %v", out.Starts)
		}
		f.answerLook(LookCall{Worker: "w-1", Wait: lookWait, Sent: f.now}, okLook(nil, []EndedRun{{Number: 4, Task: ccwire.TaskRef{Job: "j5"}, Run: 1, End: ccwire.RunDone}}))
		f.take()
		f.running(entryA, "j7")
		f.running(entryA, "j8")
	})
	t.Run("one job that fails again and again says nothing of the worker", func(t *testing.T) {
		f := newFixture(t)
		for n := uint64(1); n <= 5; n++ {
			out := f.start(entryA, "j1", 1000)
			if len(out.Starts) != 1 {
				t.Fatalf("start %d: got %d, want 1", n, len(out.Starts))
			}
			f.table.Started(f.now, out.Starts[0], Answer{Reply: ReplyOK})
			f.answerLook(LookCall{Worker: "w-1", Wait: lookWait, Sent: f.now}, okLook(nil, []EndedRun{{Number: n, Task: ccwire.TaskRef{Job: "j1"}, Run: out.Starts[0].Run, End: ccwire.RunFailed}}))
			f.take()
		}
	})
}

func TestAttachmentTellsTheWorker(t *testing.T) {
	f := newFixture(t)
	// An entry that attaches an open agent must know what fits it at once.
	if attach := f.table.Attachment(f.now, ccnode.Ref{ID: "agent"}, "entry-c"); attach.Report.Worker == nil || attach.Report.Worker.Capacity.CPU != 4000 {
		t.Errorf("worker: got %+v", attach.Report.Worker)
	}
}

func TestPlanIsRelayed(t *testing.T) {
	got := func(f *fixture) bool {
		for range 10 {
			f.pass(100 * time.Millisecond)
			for _, r := range f.take().Reports {
				if r.To == entryB.ID && r.Report.Plan != nil && r.Report.Plan.Revision == 9 {
					return true
				}
			}
			f.echo(entryA, entryB)
		}
		return false
	}
	t.Run("an entry that lacks the plan gets it within a second", func(t *testing.T) {
		f := newFixture(t)
		f.order(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		if !got(f) {
			t.Error("the other entry does not get the plan")
		}
	})
	t.Run("an entry that has the plan from the store gets no copy", func(t *testing.T) {
		f := newFixture(t)
		f.order(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
		f.order(entryB, ccwire.Orders{PlanRevision: 9})
		if got(f) {
			t.Error("the other entry gets a copy")
		}
	})
}

func TestOlderPlanIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.order(entryA, ccwire.Orders{PlanRevision: 9, Plan: &ccroute.Plan{Revision: 9}})
	f.order(entryB, ccwire.Orders{PlanRevision: 8, Plan: &ccroute.Plan{Revision: 8}})
	if got := f.table.Plan().Revision; got != 9 {
		t.Errorf("plan: got revision %d, want 9", got)
	}
}
