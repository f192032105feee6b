package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// unansweredStart orders a run whose start gets no response, and which its entry then
// stops. It returns the start.
func unansweredStart(f *fixture) StartCall {
	f.t.Helper()
	call := f.orderStart(entryA, "j1", 1000).Starts[0]
	f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
	f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf(call.Task.Job)}})
	stop := f.take().Stops[0]
	waitingPoll := f.nextPoll()
	immediatePoll := f.nextPoll()
	f.now = f.now.Add(2 * time.Millisecond)
	immediatePoll.Sent = f.now.Add(-time.Millisecond)
	f.completePoll(immediatePoll, okPollResponse(nil, nil))
	f.completePoll(waitingPoll, okPollResponse(nil, nil))
	f.manager.StopCompleted(f.now, stop, Response{Status: StatusOK})
	return call
}

func TestUnansweredStartIsFenced(t *testing.T) {
	t.Run("later calls carry a higher token", func(t *testing.T) {
		f := newFixture(t)
		call := unansweredStart(f)
		next := f.orderStart(entryA, "j2", 1000).Starts[0]
		if next.Token <= call.Token {
			t.Errorf("token of the next start: got %d, want above %d", next.Token, call.Token)
		}
	})
	t.Run("an idle worker is polled while the start may still arrive", func(t *testing.T) {
		f := newFixture(t)
		unansweredStart(f)
		lastPoll := f.now
		for end := f.now.Add(maxCallDelay - time.Second); f.now.Before(end); {
			f.keepAlive(entryA, entryB)
			f.advance(10 * time.Millisecond)
			f.take()
			for len(f.pendingPolls) > 0 {
				lastPoll = f.now
				f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
			}
			if interval := f.now.Sub(lastPoll); interval > probeInterval {
				t.Fatalf("interval between polls: got %v, want at most %v", interval, probeInterval)
			}
		}
		if f.manager.ActiveRuns() != 0 {
			t.Errorf("active runs: got %d, want 0", f.manager.ActiveRuns())
		}
		f.advance(2 * time.Second)
		f.pendingPolls = nil
		f.advance(time.Second)
		if out := f.take(); len(out.Polls) != 0 {
			t.Errorf("polls after the start can no longer arrive: got %d, want 0", len(out.Polls))
		}
	})
	t.Run("a start that was overtaken by a poll is repeated with the current token", func(t *testing.T) {
		f := newFixture(t)
		first := f.orderStart(entryA, "j1", 1000).Starts[0]
		second := f.orderStart(entryA, "j2", 1000).Starts[0]
		f.manager.StartCompleted(f.now, first, Response{Status: StatusNoResponse})
		f.take()
		f.manager.StartCompleted(f.now, second, Response{Status: StatusFenced, Clock: time.Second})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Task != (ccwire.TaskRef{Job: "j2"}) || out.Starts[0].Token != first.Token+1 {
			t.Errorf("starts: got %+v, want one start of j2 with token %d", out.Starts, first.Token+1)
		}
	})
}
