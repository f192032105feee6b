package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// unanswered orders a run whose start has no answer and is closed by a stop.
func unanswered(f *fixture) StartCall {
	f.t.Helper()
	call := f.start(entryA, "j1", 1000).Starts[0]
	f.table.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
	waits := f.look()
	check := f.look()
	f.now = f.now.Add(2 * time.Millisecond)
	check.Sent = f.now.Add(-time.Millisecond)
	f.answerLook(check, okLook(nil, nil))
	f.answerLook(waits, okLook(nil, nil))
	f.table.StopCompleted(f.now, f.take().Stops[0], Response{Status: StatusOK})
	return call
}

func TestStartWithoutAnswerIsFencedOff(t *testing.T) {
	t.Run("calls after it carry a higher token", func(t *testing.T) {
		f := newFixture(t)
		call := unanswered(f)
		next := f.start(entryA, "j2", 1000).Starts[0]
		if next.Token <= call.Token {
			t.Errorf("token of the next start: got %d, want above %d", next.Token, call.Token)
		}
	})
	t.Run("the worker is looked at without runs while it may still arrive", func(t *testing.T) {
		f := newFixture(t)
		unanswered(f)
		last := f.now
		for end := f.now.Add(lateOrders - time.Second); f.now.Before(end); {
			f.echo(entryA, entryB)
			f.pass(10 * time.Millisecond)
			f.take()
			for len(f.asked) > 0 {
				last = f.now
				f.answerLook(f.look(), okLook(nil, nil))
			}
			if pause := f.now.Sub(last); pause > guardInterval {
				t.Fatalf("pause between looks: got %v, want %v at most", pause, guardInterval)
			}
		}
		if f.table.ActiveRuns() != 0 {
			t.Errorf("alive: got %d, want 0", f.table.ActiveRuns())
		}
		f.pass(2 * time.Second)
		f.asked = nil
		f.pass(time.Second)
		if out := f.take(); len(out.Polls) != 0 {
			t.Errorf("looks after it can't arrive any more: got %d, want 0", len(out.Polls))
		}
	})
	t.Run("a start that a look has overtaken is repeated under the same token", func(t *testing.T) {
		f := newFixture(t)
		first := f.start(entryA, "j1", 1000).Starts[0]
		second := f.start(entryA, "j2", 1000).Starts[0]
		f.table.StartCompleted(f.now, first, Response{Status: StatusNoResponse})
		f.take()
		f.table.StartCompleted(f.now, second, Response{Status: StatusFenced, Clock: time.Second})
		out := f.take()
		if len(out.Starts) != 1 || out.Starts[0].Task != (ccwire.TaskRef{Job: "j2"}) || out.Starts[0].Token != first.Token+1 {
			t.Errorf("starts: got %+v, want one of j2 with token %d", out.Starts, first.Token+1)
		}
	})
}
