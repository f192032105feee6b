package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

func TestCapacityReportInterval(t *testing.T) {
	// countReports returns the number of reports to an entry within 1.2 s, in which the
	// worker's free capacity changes 60 times.
	countReports := func(intervalMS int64) int {
		f := newFixture(t)
		f.sendOrders(entryB, ccwire.Orders{CapacityIntervalMS: intervalMS})
		f.take()
		n := 0
		for i := range int64(60) {
			f.manager.reserved.CPU = i % 2 * 2000
			f.keepAlive(entryA, entryB)
			f.advance(minCapacityInterval)
			for _, r := range f.take().Reports {
				if r.To == entryB.ID {
					n++
				}
			}
		}
		return n
	}
	t.Run("every change is reported if the entry allows short intervals", func(t *testing.T) {
		if n := countReports(int64(minCapacityInterval / time.Millisecond)); n < 50 {
			t.Errorf("reports: got %d, want at least 50 for 60 changes", n)
		}
	})
	t.Run("changes are combined if the entry, which has many agents, wants long intervals", func(t *testing.T) {
		if n := countReports(120); n > 10 {
			t.Errorf("reports in 1.2 s: got %d, want at most one every 120 ms", n)
		}
	})
}
