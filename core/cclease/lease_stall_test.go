package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against runs that outlive RunsExpireAfter: an agent that stood still, and handles the
// answer to a poll before its timers, renewed the lease of a worker for an entry that had been
// silent for too long. If the worker doesn't confirm the stop, the runs last as long as that lease.
func TestLeaseIsNotRenewedForSilentEntries(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.keepAlive(entryA, entryB)
	heard := f.now
	f.advance(350 * time.Millisecond)
	var lease time.Duration
	for range 3 {
		f.take()
		calls := f.pendingPolls
		f.pendingPolls = nil
		for _, call := range calls {
			lease = max(lease, call.LeaseEnd)
			f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, Clock: time.Second + f.now.Sub(epoch)}, Running: []ActiveRun{{Task: f.runOf("j1").Task, Run: 1}}})
		}
		f.now = f.now.Add(550 * time.Millisecond)
	}
	f.advance(0)
	if end := lease - time.Second - heard.Sub(epoch); end > RunsExpireAfter {
		t.Errorf("lease: ends %s after the entry was heard, want at most %s", end, RunsExpireAfter)
	}
}

// Guards against a start that is repeated for an entry that has placed the task elsewhere: an
// agent that stood still sends it then, and the worker refuses it since its lease is over.
func TestLateStartIsNotRetriedForSilentEntries(t *testing.T) {
	f := newFixture(t)
	out := f.orderStart(entryA, "j1", 1000)
	if len(out.Starts) != 1 {
		t.Fatalf("starts: got %d, want 1", len(out.Starts))
	}
	f.now = f.now.Add(3 * time.Second)
	f.manager.StartCompleted(f.now, out.Starts[0], Response{Status: StatusLeaseExpired, Clock: time.Second + f.now.Sub(epoch)})
	out = f.take()
	for _, call := range out.Starts {
		t.Errorf("the start is sent again, with a lease until %s, though its entry has been silent for 3 s", call.LeaseEnd)
	}
	wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunRefused)
}
