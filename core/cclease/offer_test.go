package cclease

import (
	"math"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// newFullFixture returns a fixture whose worker is full with a run of entryA.
func newFullFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	out := f.orderStart(entryA, "running", 4000)
	f.manager.StartCompleted(f.now, out.Starts[0], Response{Status: StatusOK})
	f.take()
	return f
}

// demand tells the agent that an entry would start one task that takes the whole worker.
func (f *fixture) demand(entry ccnode.Ref, demand ccwire.Demand) {
	demand.Need, demand.Tasks = ccresource.Amount{CPU: 4000}, 1
	f.sendOrders(entry, ccwire.Orders{Demand: &demand})
}

// endRunning ends the run that fills the worker.
func (f *fixture) endRunning() Actions {
	f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "running"}, Run: 1, End: ccwire.RunDone}}))
	return f.take()
}

// freeReported returns the free CPU in the last of the reports to an entry.
func freeReported(out Actions, entry ccnode.Ref) (cpu int64, reported bool) {
	for _, r := range out.Reports {
		if r.To == entry.ID {
			cpu, reported = r.Report.Free.CPU, true
		}
	}
	return cpu, reported
}

func TestOffers(t *testing.T) {
	t.Run("capacity that falls free is offered to the most urgent demand alone", func(t *testing.T) {
		f := newFullFixture(t)
		f.demand(entryA, ccwire.Demand{Priority: 1, SlackMS: 5})
		f.demand(entryB, ccwire.Demand{Priority: 0, SlackMS: 50})
		out := f.endRunning()
		if free, reported := freeReported(out, entryB); !reported || free != 4000 {
			t.Errorf("the more urgent entry was told of %d (%v), want 4000 at once", free, reported)
		}
		if free, _ := freeReported(out, entryA); free != 0 {
			t.Errorf("the other entry was told of %d, want 0", free)
		}
		wantEnd(t, endsIn(f.orderStart(entryA, "second", 4000), entryA), "second", ccwire.RunNoCapacity)
		if out := f.orderStart(entryB, "first", 4000); len(out.Starts) != 1 {
			t.Errorf("starts of the entry with the offer: got %d, want 1", len(out.Starts))
		}
	})
	t.Run("jobs that can meet their objective go before late ones, then the least slack", func(t *testing.T) {
		onTime, late := &ccwire.Demand{Priority: 2, SlackMS: 10}, &ccwire.Demand{Late: true}
		if compareDemands(onTime, late) >= 0 || compareDemands(late, onTime) <= 0 {
			t.Error("a late job goes first")
		}
		if compareDemands(&ccwire.Demand{SlackMS: 1}, &ccwire.Demand{SlackMS: 2}) >= 0 {
			t.Error("the job with more slack goes first")
		}
	})
	t.Run("an offer that isn't used goes to the next entry", func(t *testing.T) {
		f := newFullFixture(t)
		f.demand(entryA, ccwire.Demand{Priority: 1})
		f.demand(entryB, ccwire.Demand{Priority: 0})
		f.endRunning()
		f.advance(offerTimeout)
		if free, reported := freeReported(f.take(), entryA); !reported || free != 4000 {
			t.Errorf("the other entry was told of %d (%v), want 4000", free, reported)
		}
	})
	t.Run("an entry whose demand has passed keeps nothing reserved", func(t *testing.T) {
		f := newFullFixture(t)
		f.demand(entryB, ccwire.Demand{})
		f.endRunning()
		f.sendOrders(entryB, ccwire.Orders{})
		if out := f.orderStart(entryA, "next", 4000); len(out.Starts) != 1 {
			t.Errorf("starts: got %d, want 1", len(out.Starts))
		}
	})
	t.Run("a silent entry gets no offer", func(t *testing.T) {
		f := newFullFixture(t)
		f.demand(entryB, ccwire.Demand{})
		for range 4 {
			f.keepAlive(entryA)
			f.advance(100 * time.Millisecond)
		}
		f.take()
		f.endRunning()
		if out := f.orderStart(entryA, "next", 4000); len(out.Starts) != 1 {
			t.Errorf("starts: got %d, want 1", len(out.Starts))
		}
	})
	t.Run("a demand that makes no sense reserves nothing and ends at once", func(t *testing.T) {
		for _, demand := range []ccwire.Demand{
			{Need: ccresource.Amount{CPU: -4000}, Tasks: 1},
			{Need: ccresource.Amount{CPU: 4000, Memory: -1}, Tasks: 1},
			{Tasks: math.MaxInt},
			{Need: ccresource.Amount{CPU: 4000}, Tasks: -1},
		} {
			f := newFullFixture(t)
			f.sendOrders(entryB, ccwire.Orders{Demand: &demand})
			f.endRunning()
			if free := f.manager.unoffered(f.now); free.CPU != 4000 {
				t.Errorf("%+v: free capacity is %d, want 4000", demand, free.CPU)
			}
		}
	})
	t.Run("without demand any entry may use all", func(t *testing.T) {
		f := newFullFixture(t)
		f.endRunning()
		if out := f.orderStart(entryB, "next", 4000); len(out.Starts) != 1 {
			t.Errorf("starts: got %d, want 1", len(out.Starts))
		}
	})
}
