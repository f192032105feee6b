package cclease

import (
	"testing"
	"time"
)

// Guards against a start that is executed by the next life of a lost worker, beside the
// rerun of its task elsewhere.
func TestLateStartOfALostWorkerIsFenced(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	poll := f.nextPoll()
	late := f.orderStart(entryA, "j2", 1000).Starts[0]
	f.completePoll(poll, PollResponse{Response: Response{Status: StatusConnRefused}})
	f.now = f.now.Add(150 * time.Millisecond)
	f.manager.StartCompleted(f.now, late, Response{Status: StatusNoResponse})
	restarted := f.worker()
	restarted.StartTime = f.now
	f.manager.Heartbeat(f.now, restarted)
	f.take()
	if call := f.pendingPolls[len(f.pendingPolls)-1]; call.Token <= late.Token {
		t.Errorf("token of the first call to the new life: got %d, want above %d, that of the late start", call.Token, late.Token)
	}
	f.pendingPolls = nil
	f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse(nil, nil))
	f.keepAlive(entryA, entryB)
	f.take()
	f.pendingPolls = nil
	f.advance(fencePollInterval)
	if f.take(); len(f.pendingPolls) == 0 {
		t.Error("the new life is not polled, though the start may still arrive")
	}
}
