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
	t.Run("a new life is another worker", func(t *testing.T) {
		f := left(t)
		restarted := f.worker()
		restarted.StartTime = restarted.StartTime.Add(time.Minute)
		wantWorker(t, f, restarted, true)
	})
}
