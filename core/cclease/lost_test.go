package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against the use of a worker that has left or crashed, because of a heartbeat that
// was delayed until then.
func TestDelayedHeartbeatOfALostWorker(t *testing.T) {
	wantWorker := func(t *testing.T, f *fixture, heartbeat Worker, want bool) {
		t.Helper()
		f.manager.Heartbeat(f.now, heartbeat)
		if got := f.manager.worker != nil; got != want {
			t.Errorf("worker is known: got %v, want %v", got, want)
		}
	}
	left := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.leave()
		return f
	}
	crashed := func(t *testing.T) *fixture {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusConnRefused})
		f.refuseConnections()
		return f
	}
	t.Run("that has left is ignored", func(t *testing.T) {
		f := left(t)
		delayed := f.worker()
		delayed.Sequence++
		wantWorker(t, f, delayed, false)
	})
	t.Run("that has crashed is ignored", func(t *testing.T) {
		f := crashed(t)
		wantWorker(t, f, f.worker(), false)
	})
	t.Run("a worker that was only unreachable is back, and keeps its run numbers", func(t *testing.T) {
		f := crashed(t)
		later := f.worker()
		later.Sequence++
		wantWorker(t, f, later, true)
		f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
		if out := f.orderStart(entryA, "j1", 1000); len(out.Starts) != 1 || out.Starts[0].Run != 2 {
			t.Errorf("starts: got %+v, want run 2", out.Starts)
		}
	})
	// Guards against runs that are taken for lost, and run again elsewhere, because of the
	// worker that was on the host before.
	t.Run("from before the current worker is ignored, whatever its ID", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.take()
		earlier := f.worker()
		earlier.ID, earlier.StartTime = "w-0", earlier.StartTime.Add(-time.Minute)
		f.manager.Heartbeat(f.now, earlier)
		if ends := endsIn(f.take(), entryA); len(ends) != 0 || f.manager.worker.ID != "w-1" {
			t.Errorf("worker: got %s with ends %+v, want w-1 with its run", f.manager.worker.ID, ends)
		}
	})
	t.Run("a new life is another worker", func(t *testing.T) {
		f := left(t)
		restarted := f.worker()
		restarted.StartTime = restarted.StartTime.Add(time.Minute)
		wantWorker(t, f, restarted, true)
	})
}

// leave has the worker say that it is leaving, and end.
func (f *fixture) leave() {
	f.t.Helper()
	f.manager.WorkerLeft(f.now, "w-1")
	f.now = f.now.Add(time.Millisecond)
	f.refuseConnections()
}

// Guards against a rerun beside a run of a worker that has said that it is leaving: its runs
// go on until it is gone, and the notice may be of its earlier life.
func TestLeavingWorkerKeepsItsRuns(t *testing.T) {
	leaving := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.now = f.now.Add(maxCallDelay) // No start of an earlier incarnation may arrive.
		heartbeat := f.worker()
		heartbeat.Sequence++
		f.manager.Heartbeat(f.now, heartbeat)
		f.keepAlive(entryA, entryB)
		f.startRunning(entryA, "j1")
		f.take()
		f.manager.WorkerLeft(f.now, "w-1")
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Errorf("ends when it says that it is leaving: %+v", ends)
		}
		return f
	}
	t.Run("until it is gone", func(t *testing.T) {
		f := leaving(t)
		probed := false
		for range 40 {
			f.advance(time.Millisecond)
			f.keepAlive(entryA, entryB)
			for _, call := range f.take().Polls {
				probed = probed || call.Probe
			}
		}
		if !probed {
			t.Error("it is not probed for 40 ms")
		}
		f.refuseConnections()
		out := f.take()
		if ends := endsIn(out, entryA); len(ends) != 1 || ends[0].Outcome != ccwire.RunLost || len(crashesIn(out, entryA)) != 0 {
			t.Errorf("ends once it is gone: got %+v, want one lost, and no crash", ends)
		}
	})
	t.Run("and gets no starts until a later heartbeat", func(t *testing.T) {
		f := leaving(t)
		f.keepAlive(entryA, entryB)
		if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
		later := f.worker()
		later.Sequence += 2
		f.manager.Heartbeat(f.now, later)
		if out := f.orderStart(entryA, "j3", 1000); len(out.Starts) != 1 {
			t.Errorf("starts after a later heartbeat: got %+v, want one", out.Starts)
		}
	})
}
