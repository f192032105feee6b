package ccreplay

import (
	"strings"
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

func needsLabel(r *Request) { r.Label, r.Route.MaxAttempts = "a", 1 }

// describe reports an agent's worker, and the ends of runs.
func (f *fixture) describe(id ccnode.ID, w ccwire.WorkerInfo, ends ...ccwire.RunResult) {
	w.Domain, w.Service, w.Capacity = "north", "proof", ccresource.Amount{CPU: 4000}
	f.s.Report(f.now, id, ccwire.RunReport{
		ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.handled[id], Free: w.Capacity, Worker: &w, Results: ends,
	})
}

// Guards against an order that doesn't say which worker it is for, and against a task that waits or
// pays for an order that came too late for its worker.
func TestTaskOfAFormerKindIsPlacedAgainAtOnce(t *testing.T) {
	a := ccwire.WorkerInfo{Domain: "north", Service: "proof", Labels: []string{"a"}}
	f := newFixture(t, "north", "north")
	f.describe("agent-1", a)
	f.take()
	token := f.submit("job", 1, needsLabel)
	first := f.wantStarts(f.take(), 1)
	if got := first[0].order.Worker; got != a.Number() {
		t.Errorf("worker that the order names: got %d, want %d", got, a.Number())
	}
	f.describe("agent-2", a)
	f.describe("agent-1", ccwire.WorkerInfo{Labels: []string{"b"}}, endOf(first[0], ccwire.RunOtherWorker))
	second := f.wantStarts(f.take(), 1)
	if second[0].agent != "agent-2" {
		t.Errorf("placed again on %s, want agent-2, whose worker has the label", second[0].agent)
	}
	f.report("agent-2", endOf(second[0], ccwire.RunDone))
	f.wantAnswer(f.take(), token, StateComplete)
}

// Guards against tasks that are placed by a description that the worker no longer has, since the
// present one is too long to keep.
func TestNothingIsPlacedOnALongDescription(t *testing.T) {
	f := newFixture(t, "north")
	f.describe("agent-1", ccwire.WorkerInfo{Labels: []string{strings.Repeat("l", ccwire.MaxWorkerText)}})
	f.submit("job", 1)
	f.wantStarts(f.take(), 0)
}
