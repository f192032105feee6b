package cclease

import (
	"testing"
	"time"
)

// Guards against a worker that is not used for as long as its former life lasted: the sequence
// of its heartbeats, which counts anew, was compared with that of the former life.
func TestRestartedWorkerIsUsedFromItsFirstHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name string
		// restart makes the new incarnation known.
		restart func(*fixture, Worker)
	}{
		{"an answer follows the heartbeat", func(f *fixture, restarted Worker) { f.restartWorker(restarted) }},
		{"an answer comes before the heartbeat", func(f *fixture, restarted Worker) {
			f.startRunning(entryA, "j1")
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: restarted.Clock, StartTime: restarted.StartTime}})
			f.manager.Heartbeat(f.now, restarted)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			last := f.worker()
			last.Sequence = 400
			f.manager.Heartbeat(f.now, last)
			f.now = f.now.Add(10 * time.Millisecond)
			restarted := f.worker()
			restarted.StartTime, restarted.Clock = f.now, time.Millisecond
			c.restart(f, restarted)
			f.now = f.now.Add(time.Millisecond)
			f.take()
			for _, call := range f.pendingPolls {
				f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, Clock: 2 * time.Millisecond, StartTime: restarted.StartTime}})
			}
			f.keepAlive(entryA, entryB)
			if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 {
				t.Errorf("starts: got %+v, want one (%s)", out.Starts, f.manager.closedReason(f.now))
			}
		})
	}
}

// Guards against an agent that drops all answers of its worker until it is started again: the
// first heartbeat that it got was of another process, under the worker's ID and with a start
// time in the future or none.
func TestWorkerIsUsedAfterAFalseFirstHeartbeat(t *testing.T) {
	for name, startTime := range map[string]time.Time{"in the future": epoch.Add(time.Hour), "without a start time": {}} {
		t.Run(name, func(t *testing.T) { testFalseFirstHeartbeat(t, startTime) })
	}
}

func testFalseFirstHeartbeat(t *testing.T, startTime time.Time) {
	t.Helper()
	f := &fixture{t: t, manager: NewManager(Config{Token: 7, StartTime: epoch}), now: epoch}
	foreign := f.worker()
	foreign.StartTime, foreign.Sequence = startTime, 1<<40
	f.manager.Heartbeat(f.now, foreign)
	f.openSession(entryA)
	for range 20 {
		f.manager.Heartbeat(f.now, f.worker())
		f.take()
		calls := f.pendingPolls
		f.pendingPolls = nil
		for _, call := range calls {
			f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, Clock: time.Second, StartTime: f.worker().StartTime}})
		}
		f.keepAlive(entryA)
		f.advance(10 * time.Millisecond)
	}
	if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 {
		t.Errorf("starts: got %+v, want one (%s)", out.Starts, f.manager.closedReason(f.now))
	}
}
