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
	f.advance(probeInterval)
	if f.take(); len(f.pendingPolls) == 0 {
		t.Error("the new life is not polled, though the start may still arrive")
	}
}

// Guards against a run that counts as ended, and is run again elsewhere, while nothing
// fences its start, which has no answer yet: one case for each place that ends such a run.
func TestRunThatEndsBeforeItsStartArrivesIsFenced(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(f *fixture)
	}{
		{"the connection of another call is refused", func(f *fixture) {
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusConnRefused}})
		}},
		{"another worker answers another call", func(f *fixture) {
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusWrongInstance}})
		}},
		{"the worker leaves", func(f *fixture) { f.leave() }},
		{"another worker is there", func(f *fixture) {
			other := f.worker()
			other.ID, other.StartTime = "w-2", f.now
			f.manager.Heartbeat(f.now, other)
			f.answerClaim(Response{Status: StatusWrongInstance})
		}},
		{"the lease expires", func(f *fixture) {
			for range maxMissedPolls + 1 {
				f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusNoResponse}})
			}
			f.now = f.now.Add(maxLeaseDuration)
			f.advance(time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			late := f.orderStart(entryA, "j1", 1000).Starts[0]
			c.end(f)
			if n := f.manager.ActiveRuns(); n != 0 {
				t.Fatalf("active runs: got %d, want 0", n)
			}
			restarted := f.worker()
			restarted.StartTime = f.now.Add(time.Second)
			f.manager.Heartbeat(f.now, restarted)
			if f.manager.worker.ID != restarted.ID {
				f.advance(probeInterval)
				f.answerClaim(Response{Status: StatusWrongInstance})
			}
			if f.manager.token <= late.Token {
				t.Errorf("token after the end: got %d, want above %d, that of the start", f.manager.token, late.Token)
			}
			f.manager.StartCompleted(f.now, late, Response{Status: StatusNoResponse})
			if !f.manager.lateStartPossible(f.now.Add(maxCallDelay - time.Millisecond)) {
				t.Error("the worker is not polled for as long as the start may arrive")
			}
		})
	}
}

// Guards against a start of the agent's earlier incarnation that a restarted worker
// executes, because the new incarnation knows nothing of it and leaves the worker alone.
func TestStartsOfAnEarlierIncarnationAreExpected(t *testing.T) {
	f := newFixture(t)
	for end := epoch.Add(maxCallDelay - pollWait); f.now.Before(end); {
		f.keepAlive(entryA, entryB)
		f.advance(pollWait)
		f.take()
		if len(f.pendingPolls) == 0 {
			t.Fatalf("no poll of an idle worker %v after the start of the agent", f.now.Sub(epoch))
		}
		f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
	}
	f.advance(time.Second)
	if f.take(); len(f.pendingPolls) != 0 {
		t.Errorf("polls after the starts can no longer arrive: got %d, want 0", len(f.pendingPolls))
	}
}
