package cclease

import (
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// described returns the number of a worker as entries know it.
func described(w Worker) uint32 {
	return ccwire.WorkerInfo{Domain: w.Domain, Service: w.Service, Labels: w.Labels}.Number()
}

// returned returns the worker's next life, which change makes differ.
func (f *fixture) returned(change func(*Worker)) Worker {
	w := *f.manager.worker
	w.StartTime, w.Sequence, w.Clock = w.StartTime.Add(time.Minute), 1, time.Second
	change(&w)
	return w
}

// meet makes the agent know a life of the worker.
func (f *fixture) meet(w Worker) {
	f.t.Helper()
	answer := func() {
		f.advance(time.Millisecond)
		call := PollCall{Worker: w.ID, Token: f.manager.token, Sent: f.now}
		f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, Clock: time.Second, StartTime: w.StartTime}})
	}
	answer()
	f.manager.Heartbeat(f.now, w)
	answer()
	f.take()
}

// orderFor sends an order that was placed for a worker, and returns the starts that follow and the
// report to its entry.
func (f *fixture) orderFor(job string, worker uint32) ([]StartCall, []ccwire.RunReport) {
	f.t.Helper()
	f.order++
	f.sendOrders(entryA, ccwire.Orders{Starts: []ccwire.StartOrder{{
		Task: ccwire.TaskRef{Job: job}, Order: f.order, Need: ccresource.Amount{CPU: 1000}, Worker: worker,
	}}})
	out := f.take()
	var reports []ccwire.RunReport
	for _, r := range out.Reports {
		if r.To == entryA.ID {
			reports = append(reports, r.Report)
		}
	}
	return out.Starts, reports
}

func expectRefusedForOther(t *testing.T, starts []StartCall, reports []ccwire.RunReport) {
	t.Helper()
	if len(starts) != 0 {
		t.Errorf("started: %v", starts)
	}
	if !slices.ContainsFunc(reports, func(r ccwire.RunReport) bool {
		return slices.ContainsFunc(r.Results, func(e ccwire.RunResult) bool { return e.Outcome == ccwire.RunOtherWorker })
	}) {
		t.Errorf("reports: got %+v, want one that the order was for another worker", reports)
	}
}

// Guards against a start on a worker that lacks what the task needs, when the worker came back as
// another kind after the task had been placed.
func TestOrderForAFormerKindIsRefused(t *testing.T) {
	for name, change := range map[string]func(*Worker){
		"another label":   func(w *Worker) { w.Labels = []string{"b"} },
		"another service": func(w *Worker) { w.Service = "batch" },
		"another domain":  func(w *Worker) { w.Domain = "south" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			former := described(*f.manager.worker)
			f.meet(f.returned(change))
			starts, reports := f.orderFor("j1", former)
			expectRefusedForOther(t, starts, reports)
			if starts, _ := f.orderFor("j2", described(*f.manager.worker)); len(starts) != 1 {
				t.Errorf("an order for the present kind: got %d starts", len(starts))
			}
		})
	}
	t.Run("a worker under another ID", func(t *testing.T) {
		f := newFixture(t)
		former := described(*f.manager.worker)
		f.manager.workerLost(f.now, "test")
		other := f.worker()
		other.ID, other.StartTime, other.Labels = "w-2", f.now, []string{"b"}
		f.manager.Heartbeat(f.now, other)
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: time.Second, StartTime: other.StartTime}})
		f.take()
		starts, reports := f.orderFor("j1", former)
		expectRefusedForOther(t, starts, reports)
	})
}

// Guards against starts that are refused though the worker can run them.
func TestOrderForTheSameKindStarts(t *testing.T) {
	expectStart := func(t *testing.T, f *fixture, worker uint32) {
		t.Helper()
		if starts, reports := f.orderFor("j1", worker); len(starts) != 1 {
			t.Errorf("got %d starts and the reports %+v", len(starts), reports)
		}
	}
	t.Run("in a life that changed nothing", func(t *testing.T) {
		f := newFixture(t)
		former := described(*f.manager.worker)
		f.meet(f.returned(func(*Worker) {}))
		expectStart(t, f, former)
	})
	t.Run("in the second of two lives, which is like the first", func(t *testing.T) {
		f := newFixture(t)
		first := *f.manager.worker
		f.meet(f.returned(func(w *Worker) { w.Labels = []string{"b"} }))
		f.meet(f.returned(func(w *Worker) { w.Labels = first.Labels }))
		expectStart(t, f, described(first))
	})
	t.Run("with another capacity", func(t *testing.T) {
		f := newFixture(t)
		former := described(*f.manager.worker)
		f.meet(f.returned(func(w *Worker) { w.Capacity.CPU /= 2 }))
		expectStart(t, f, former)
	})
	t.Run("by an entry that names none", func(t *testing.T) {
		f := newFixture(t)
		f.meet(f.returned(func(w *Worker) { w.Labels = []string{"b"} }))
		expectStart(t, f, 0)
	})
}

// Guards against a start that is sent again to a worker of another kind.
func TestRepeatedStartIsForTheSameKind(t *testing.T) {
	f := newFixture(t)
	starts, _ := f.orderFor("j1", described(*f.manager.worker))
	if len(starts) != 1 {
		t.Fatalf("got %d starts", len(starts))
	}
	f.manager.setWorkerInfo(&Worker{Domain: "north", Service: "proof", Labels: []string{"b"}})
	f.manager.StartCompleted(f.now, starts[0], Response{Status: StatusLeaseExpired, Clock: time.Second})
	if again := f.take().Starts; len(again) != 0 {
		t.Errorf("sent again: %v", again)
	}
}
