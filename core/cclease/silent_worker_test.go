package cclease

import (
	"testing"
	"time"
)

// Guards against a worker that gets no starts for good, because it was silent until its
// lease was over: nothing asks it any more.
func TestSilentWorkerIsUsedAgain(t *testing.T) {
	f := newFixture(t)
	f.now = epoch.Add(maxCallDelay)
	f.manager.Heartbeat(f.now, f.worker())
	f.keepAlive(entryA, entryB)
	f.startRunning(entryA, "j1")
	silent := PollResponse{Response: Response{Status: StatusNoResponse}}
	for end := f.now.Add(time.Second); f.now.Before(end); {
		f.advance(25 * time.Millisecond)
		f.keepAlive(entryA, entryB)
		f.take()
		calls := f.pendingPolls
		f.pendingPolls = nil
		f.now = f.now.Add(70 * time.Millisecond)
		for _, call := range calls {
			f.completePoll(call, silent)
		}
	}
	for end := f.now.Add(3 * time.Second); f.now.Before(end); {
		f.advance(25 * time.Millisecond)
		f.keepAlive(entryA, entryB)
		heartbeat := f.worker()
		heartbeat.Sequence = uint64(f.now.UnixMilli())
		f.manager.Heartbeat(f.now, heartbeat)
		f.take()
		for _, call := range f.pendingPolls {
			f.completePoll(call, okPollResponse(nil, nil))
		}
		f.pendingPolls = nil
	}
	if reason := f.manager.closedReason(f.now); reason != "" || f.manager.ActiveRuns() != 0 {
		t.Errorf("no start is accepted: %q, %d runs", reason, f.manager.ActiveRuns())
	}
}
