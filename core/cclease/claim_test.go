package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a rerun beside a run that is active: a heartbeat of another incarnation, which
// any process can send, was taken for proof that the worker is gone.
func TestHeartbeatOfAnotherIncarnationEndsNoRun(t *testing.T) {
	own := func(change func(*Worker)) func(*fixture) Worker {
		return func(f *fixture) Worker {
			w := f.worker()
			w.Sequence++
			change(&w)
			return w
		}
	}
	heartbeats := []struct {
		name string
		from func(*fixture) Worker
	}{
		{"of another worker", own(func(w *Worker) { w.ID, w.StartTime = "w-2", epoch })},
		{"of another worker of another service", own(func(w *Worker) { w.ID, w.Service, w.StartTime = "w-2", "ledger", epoch })},
		{"of another worker in another domain, with a smaller capacity", own(func(w *Worker) { w.ID, w.Domain, w.Capacity.CPU, w.StartTime = "w-2", "south", 1, epoch })},
		{"of another worker, without a start time", own(func(w *Worker) { w.ID, w.StartTime = "w-2", time.Time{} })},
		{"of another worker with the same start time", own(func(w *Worker) { w.ID = "w-2" })},
		{"of a later incarnation", own(func(w *Worker) { w.StartTime, w.Sequence = epoch, 1 })},
		{"of an incarnation in the future", own(func(w *Worker) { w.StartTime, w.Sequence = epoch.Add(time.Hour), 1<<40 })},
		{"of a draining one", own(func(w *Worker) { w.StartTime, w.Draining = epoch, true })},
	}
	start := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.startRunning(entryA, "j1")
		f.completePoll(f.nextPoll(), activePollResponse(f.worker()))
		f.now = f.now.Add(10 * time.Millisecond)
		return f
	}
	wantRun := func(t *testing.T, f *fixture) {
		t.Helper()
		out := f.take()
		if ends := endsIn(out, entryA); len(ends) != 0 || len(out.Stops) != 0 || f.manager.ActiveRuns() != 1 {
			t.Fatalf("got ends %+v, stops %+v and %d runs, want one run that goes on", ends, out.Stops, f.manager.ActiveRuns())
		}
		if f.manager.worker == nil || f.manager.worker.ID != "w-1" || !f.manager.worker.StartTime.Equal(f.worker().StartTime) {
			t.Fatalf("worker: got %+v, want w-1", f.manager.worker)
		}
	}
	for _, h := range heartbeats {
		t.Run(h.name, func(t *testing.T) {
			f := start(t)
			f.manager.Heartbeat(f.now, h.from(f))
			wantRun(t, f)
			for _, call := range f.pendingPolls {
				f.completePoll(call, activePollResponse(f.worker()))
			}
			wantRun(t, f)
			f.manager.Heartbeat(f.now, own(func(*Worker) {})(f))
			wantRun(t, f)
			f.keepAlive(entryA, entryB)
			if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 || out.Starts[0].Worker != "w-1" {
				t.Errorf("starts: got %+v, want one at w-1", out.Starts)
			}
		})
		t.Run("a series "+h.name+", between heartbeats of the worker", func(t *testing.T) {
			f := start(t)
			for i := range 100 {
				foreign := h.from(f)
				foreign.Sequence += uint64(i)
				f.manager.Heartbeat(f.now, foreign)
				known := f.worker()
				known.Sequence += uint64(i)
				f.manager.Heartbeat(f.now, known)
				f.advance(7 * time.Millisecond)
				f.keepAlive(entryA, entryB)
				wantRun(t, f)
				for _, call := range f.pendingPolls {
					f.completePoll(call, activePollResponse(f.worker()))
				}
				f.pendingPolls = nil
				wantRun(t, f)
			}
		})
		t.Run(h.name+", while the worker does not answer, until its lease is over", func(t *testing.T) {
			f := start(t)
			started := f.now
			for f.manager.ActiveRuns() > 0 && f.now.Sub(started) < 5*time.Second {
				f.manager.Heartbeat(f.now, h.from(f))
				f.take()
				calls := f.pendingPolls
				f.pendingPolls = nil
				f.advance(20 * time.Millisecond)
				f.keepAlive(entryA, entryB)
				for _, call := range calls {
					f.completePoll(call, PollResponse{Response: Response{Status: StatusNoResponse}})
				}
			}
			if lasted := f.now.Sub(started); lasted < LeaseDuration || lasted > 2*maxLeaseDuration {
				t.Errorf("the run counts as lost after %v, want the end of its lease", lasted)
			}
		})
	}
}

// Guards against a slow recovery: a heartbeat of a worker that has replaced the current one is
// used as soon as an answer shows that the current one is gone.
func TestHeartbeatOfANewWorkerIsUsedOnceTheOldOneIsGone(t *testing.T) {
	for _, status := range []Status{StatusWrongInstance, StatusConnRefused} {
		t.Run(string(status), func(t *testing.T) {
			f := newFixture(t)
			f.startRunning(entryA, "j1")
			other := f.worker()
			other.ID, other.StartTime, other.Clock = "w-2", f.now, time.Millisecond
			f.manager.Heartbeat(f.now, other)
			if status == StatusConnRefused {
				f.refuseConnections()
			} else {
				f.answerClaim(Response{Status: status})
			}
			wantEnd(t, endsIn(f.take(), entryA), "j1", ccwire.RunLost)
			f.pendingPolls = slicesOfWorker(f.pendingPolls, "w-2")
			f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: time.Millisecond, StartTime: other.StartTime}})
			if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 1 || out.Starts[0].Worker != "w-2" {
				t.Errorf("starts: got %+v, want one at w-2", out.Starts)
			}
		})
	}
}

// slicesOfWorker returns the polls that name a worker.
func slicesOfWorker(polls []PollCall, worker string) []PollCall {
	var found []PollCall
	for _, call := range polls {
		if call.Worker == worker {
			found = append(found, call)
		}
	}
	return found
}

// activePollResponse returns a list of a worker's incarnation that has j1.
func activePollResponse(w Worker) PollResponse {
	response := okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}}, nil)
	response.StartTime = w.StartTime
	return response
}

// Guards against a log that grows with each heartbeat of another process.
func TestHeartbeatRecordsAreBounded(t *testing.T) {
	f := newFixture(t)
	f.take()
	delayed := f.worker()
	delayed.Sequence = 0
	records, counted := 0, 0
	for range 1000 {
		f.manager.Heartbeat(f.now, delayed)
		for _, c := range f.take().Changes {
			if c.Message == "Heartbeat not accepted." {
				records, counted = records+1, counted+c.Count
			}
		}
		f.now = f.now.Add(time.Millisecond)
	}
	if records != 10 || counted < 900 {
		t.Errorf("got %d records of %d heartbeats in a second, want 10 of 900 or more", records, counted)
	}
}
