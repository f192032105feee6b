package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// resize sends a heartbeat with another capacity.
func (f *fixture) resize(cpu int64) Actions {
	worker := f.worker()
	f.seq++
	worker.Sequence, worker.Capacity = 1+f.seq, ccresource.Amount{CPU: cpu, Memory: 4000}
	f.manager.Heartbeat(f.now, worker)
	return f.take()
}

// Guards against starts beyond a capacity that has shrunk while the worker runs.
func TestCapacityChanges(t *testing.T) {
	t.Run("entries are told of the new capacity", func(t *testing.T) {
		f := newFixture(t)
		f.advance(100 * time.Millisecond)
		f.keepAlive(entryA, entryB)
		f.take()
		told := 0
		for _, r := range f.resize(1000).Reports {
			if r.Report.Worker != nil && r.Report.Worker.Capacity.CPU == 1000 && r.Report.Free.CPU == 1000 {
				told++
			}
		}
		if told != 2 {
			t.Errorf("entries that were told: got %d, want 2", told)
		}
	})
	t.Run("no start is accepted while more is in use than there is", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "a")
		f.startRunning(entryA, "b")
		f.take()
		f.resize(1000)
		// The entry has not heard of the smaller capacity yet.
		out := f.orderStart(entryA, "c", 1000)
		wantEnd(t, endsIn(out, entryA), "c", ccwire.RunNoCapacity)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
	})
	t.Run("an offer does not outlast the capacity", func(t *testing.T) {
		f := newFixture(t)
		f.sendOrders(entryA, ccwire.Orders{Demand: &ccwire.Demand{Need: ccresource.Amount{CPU: 1000}, Tasks: 4}})
		f.take()
		f.resize(0)
		out := f.orderStart(entryA, "a", 1000)
		wantEnd(t, endsIn(out, entryA), "a", ccwire.RunNoCapacity)
	})
	t.Run("a start that the worker refused is not repeated when there is no room for it any more", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "a", 2000).Starts[0]
		f.resize(1000)
		f.manager.StartCompleted(f.now, call, Response{Status: StatusLeaseExpired})
		out := f.take()
		wantEnd(t, endsIn(out, entryA), "a", ccwire.RunNoCapacity)
		if len(out.Starts) != 0 {
			t.Errorf("starts: got %+v, want none", out.Starts)
		}
	})
	t.Run("starts are accepted again when it grows", func(t *testing.T) {
		f := newFixture(t)
		f.resize(0)
		f.resize(4000)
		f.startRunning(entryA, "a")
	})
}
