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

// Guards against a start that any incarnation of the worker may receive, since neither its heartbeat
// nor its list of runs has named one.
func TestNoStartsBeforeTheIncarnationIsNamed(t *testing.T) {
	f := newFixture(t)
	unnamed := f.worker()
	unnamed.StartTime = time.Time{}
	f.manager = NewManager(Config{Token: 8, StartTime: epoch})
	f.manager.Heartbeat(f.now, unnamed)
	f.openSession(entryA)
	f.take()
	f.pendingPolls = f.pendingPolls[len(f.pendingPolls)-1:]
	f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: time.Second}})
	f.take()
	f.pendingPolls = nil
	out := f.orderStart(entryA, "j1", 1000)
	if len(out.Starts) != 0 {
		t.Errorf("starts: got %+v, want none", out.Starts)
	}
	wantEnd(t, endsIn(out, entryA), "j1", ccwire.RunRefused)
	named := f.worker().StartTime
	f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, PollResponse{Response: Response{Status: StatusOK, Clock: time.Second, StartTime: named}})
	heartbeat := f.worker()
	heartbeat.Sequence++
	f.manager.Heartbeat(f.now, heartbeat)
	f.take()
	if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 || !out.Starts[0].Incarnation.Equal(named) {
		t.Errorf("starts after an answer: got %+v, want one for %v", out.Starts, named)
	}
}
