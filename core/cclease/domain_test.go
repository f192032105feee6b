package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// Guards against a task that starts in a domain that was taken out, at the order of an entry with an
// older plan, and against a domain that stays closed after it was taken back.
func TestNoStartsInADomainThatIsOut(t *testing.T) {
	state := func(revision uint64, out bool) *ccwire.DomainState {
		return &ccwire.DomainState{Domain: "north", Out: out, Revision: revision}
	}
	for _, c := range []struct {
		name string
		told []ccwire.Orders // By entry A.
		want uint64          // The revision by which the domain is out, or 0.
	}{
		{"out", []ccwire.Orders{{Domain: state(5, true)}}, 5},
		{"out and back", []ccwire.Orders{{Domain: state(5, true)}, {Domain: state(6, false)}}, 0},
		{"back by an older plan", []ccwire.Orders{{Domain: state(5, true)}, {Domain: state(4, false)}}, 5},
		{"out by an older plan", []ccwire.Orders{{Domain: state(5, false)}, {Domain: state(4, true)}}, 0},
		{"out by a newer plan", []ccwire.Orders{{Domain: state(5, true)}, {Domain: state(9, true)}}, 9},
		{"out by a relayed plan", []ccwire.Orders{{Plan: &ccroute.Plan{Revision: 5, DomainsOut: map[string]bool{"north": true}}}}, 5},
		{"back by a relayed plan", []ccwire.Orders{{Domain: state(5, true)}, {Plan: &ccroute.Plan{Revision: 6}}}, 0},
		{"out by a plan from before it was back", []ccwire.Orders{{Domain: state(6, false)}, {Plan: &ccroute.Plan{Revision: 5, DomainsOut: map[string]bool{"north": true}}}}, 0},
		{"another domain", []ccwire.Orders{{Domain: &ccwire.DomainState{Domain: "south", Out: true, Revision: 5}}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.startRunning(entryB, "before")
			for _, orders := range c.told {
				f.sendOrders(entryA, orders)
			}
			told := f.take()
			f.advance(maxReportInterval)
			for _, r := range f.take().Reports {
				if r.Report.DomainOutRevision != c.want {
					t.Errorf("revision in a report to %s: got %d, want %d", r.To, r.Report.DomainOutRevision, c.want)
				}
			}
			out := f.orderStart(entryB, "after", 1000)
			if c.want == 0 {
				if len(out.Starts) != 1 {
					t.Errorf("starts: got %d, want 1", len(out.Starts))
				}
				return
			}
			if len(out.Starts) != 0 {
				t.Errorf("starts: got %d, want 0", len(out.Starts))
			}
			wantEnd(t, endsIn(out, entryB), "after", ccwire.RunRefused)
			if f.manager.ActiveRuns() != 1 || len(told.Stops)+len(out.Stops) != 0 {
				t.Errorf("got %d runs and %d stops, want that the run goes on", f.manager.ActiveRuns(), len(told.Stops)+len(out.Stops))
			}
		})
	}
	t.Run("all entries are told at once", func(t *testing.T) {
		f := newFixture(t)
		f.now = f.now.Add(time.Millisecond)
		f.sendOrders(entryA, ccwire.Orders{Domain: state(5, true)})
		told := map[string]bool{}
		for _, r := range f.take().Reports {
			if r.Report.ClosedReason != "" && r.Report.DomainOutRevision == 5 {
				told[string(r.To)] = true
			}
		}
		if len(told) != 2 {
			t.Errorf("entries that are told: got %v, want both", told)
		}
	})
}
