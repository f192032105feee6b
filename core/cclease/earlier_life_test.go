package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// restartWorker makes the worker known in a new life, which began now, and answers its first
// poll.
func restartWorker(f *fixture) {
	f.t.Helper()
	restarted := f.worker()
	restarted.StartTime, restarted.Clock = f.now, time.Millisecond
	f.restartWorker(restarted)
	f.take()
	for _, call := range f.pendingPolls {
		if call.Token == f.manager.token {
			f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, Clock: time.Millisecond, StartTime: f.now}})
		}
	}
	f.pendingPolls = nil
}

// Guards against an answer of the worker's earlier life, handled late, that is taken for one of
// the present life. Only lists of runs name the life that they are from.
func TestAnswerOfAnEarlierLife(t *testing.T) {
	t.Run("a refused connection ends no run of the present life", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		old := f.nextPoll()
		f.now = f.now.Add(10 * time.Millisecond)
		restartWorker(f)
		f.keepAlive(entryA, entryB)
		f.startRunning(entryA, "j2")
		f.take()
		f.completePoll(old, PollResponse{Response: Response{Status: StatusConnRefused}})
		if ends := endsIn(f.take(), entryA); len(ends) != 0 {
			t.Errorf("ends: got %v, want none", ends)
		}
	})
	t.Run("a start tells neither the clock nor a run", func(t *testing.T) {
		f := newFixture(t)
		start := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.now = f.now.Add(10 * time.Millisecond)
		restartWorker(f)
		f.manager.StartCompleted(f.now, start, Response{Status: StatusOK, Clock: time.Hour})
		if r := f.manager.runs[ccwire.TaskRef{Job: "j1"}]; r == nil || r.phase != phaseUnconfirmed {
			t.Errorf("run: got %+v, want an unconfirmed one", r)
		}
		f.keepAlive(entryA, entryB)
		if next := f.orderStart(entryA, "j2", 1000).Starts[0]; next.LeaseEnd > time.Second {
			t.Errorf("end of the lease on a clock of a few milliseconds: got %v", next.LeaseEnd)
		}
	})
	t.Run("a start that names its life leaves no run behind", func(t *testing.T) {
		f := newFixture(t)
		start := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.now = f.now.Add(10 * time.Millisecond)
		restartWorker(f)
		f.manager.StartCompleted(f.now, start, Response{Status: StatusOK, StartTime: epoch.Add(-time.Hour)})
		if r := f.manager.runs[ccwire.TaskRef{Job: "j1"}]; r == nil || r.phase != phaseUnconfirmed {
			t.Errorf("run: got %+v, want an unconfirmed one", r)
		}
	})
	t.Run("a start without an answer is not repeated at the next life", func(t *testing.T) {
		f := newFixture(t)
		start := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.now = f.now.Add(10 * time.Millisecond)
		restartWorker(f)
		f.manager.StartCompleted(f.now, start, Response{Status: StatusNoResponse})
		f.now = f.now.Add(time.Millisecond)
		f.keepAlive(entryA, entryB)
		f.take()
		f.completePoll(PollCall{Worker: "w-1", Token: f.manager.token, Sent: f.now}, okPollResponse(nil, nil))
		if out := f.take(); len(out.Starts) != 0 {
			t.Errorf("starts: got %v, want none", out.Starts)
		}
	})
}
