package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against an order that is kept for long, or a task that is taken for started, when its start
// could not be sent because the worker may have a new incarnation.
func TestStartThatWasNotSentIsReturned(t *testing.T) {
	f := newFixture(t)
	start := f.orderStart(entryA, "j1", 1000).Starts[0]
	if !start.Incarnation.Equal(f.worker().StartTime) {
		t.Errorf("incarnation of the start: got %v, want %v", start.Incarnation, f.worker().StartTime)
	}
	f.takePolls()
	f.now = f.now.Add(time.Millisecond)
	f.manager.StartCompleted(f.now, start, Response{Status: StatusNotSent})
	wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunRefused)
	if f.manager.lateStartPossible(f.now) {
		t.Error("the start counts as one that may still arrive")
	}
	if calls := f.takePolls(); len(calls) == 0 || !calls[0].Incarnation.IsZero() || calls[0].LeaseEnd != 0 {
		t.Errorf("polls: got %+v, want one for any incarnation", calls)
	}
}
