package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a rerun beside a run that is active: the worker refused a new connection, and
// counted as gone, while it answered on the open ones.
func TestRefusedConnectionBesideAnOpenOneEndsNoRun(t *testing.T) {
	refused := Response{Status: StatusConnRefused}
	start := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.completePoll(f.nextPoll(), activePollResponse(f.worker()))
		f.take()
		return f
	}
	wantRun := func(t *testing.T, f *fixture) {
		t.Helper()
		for range 20 {
			f.advance(10 * time.Millisecond)
			f.keepAlive(entryA, entryB)
			f.take()
			calls := f.pendingPolls
			f.pendingPolls = nil
			for _, call := range calls {
				f.completePoll(call, activePollResponse(f.worker()))
			}
		}
		if ends := endsIn(f.take(), entryA); len(ends) != 0 || f.manager.runs[ccwire.TaskRef{Job: "j1"}] == nil {
			t.Errorf("j1 has ended: %+v", ends)
		}
	}
	t.Run("of a start, which is returned as refused", func(t *testing.T) {
		f := start(t)
		call := f.orderStart(entryA, "j2", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, refused)
		wantEnd(t, endsIn(f.take(), entryA), "j2", ccwire.RunRefused)
		wantRun(t, f)
	})
	t.Run("of a stop, which is repeated", func(t *testing.T) {
		f := start(t)
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("j1")}})
		f.manager.StopCompleted(f.now, f.take().Stops[0], refused)
		f.advance(stopRetryInterval)
		wantStops(t, f.take(), "j1")
		wantRun(t, f)
	})
	t.Run("of a poll beside another one", func(t *testing.T) {
		f := start(t)
		f.manager.pollNow(f.now)
		f.take()
		f.completePoll(f.pendingPolls[len(f.pendingPolls)-1], PollResponse{Response: refused})
		f.pendingPolls = f.pendingPolls[:len(f.pendingPolls)-1]
		wantRun(t, f)
	})
	t.Run("a worker that refuses all is gone", func(t *testing.T) {
		f := start(t)
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
		f.take()
		f.completePoll(f.nextPoll(), PollResponse{Response: refused})
		wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
	})
}
