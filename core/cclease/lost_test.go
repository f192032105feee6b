package cclease

import (
	"testing"
	"time"
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
		f.manager.WorkerLeft(f.now, "w-1")
		return f
	}
	crashed := func(t *testing.T) *fixture {
		f := newFixture(t)
		call := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusConnRefused})
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
