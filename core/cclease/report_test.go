package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

func TestRoomIsReportedAsOftenAsWanted(t *testing.T) {
	// reports counts those to an entry in 1.2 s of a worker whose room changes.
	reports := func(wantedMS int64) int {
		f := newFixture(t)
		f.order(entryB, ccwire.Orders{CapacityIntervalMS: wantedMS})
		f.take()
		n := 0
		for i := range int64(60) {
			f.table.used.CPU = i % 2 * 2000
			f.echo(entryA, entryB)
			f.pass(freeInterval)
			for _, r := range f.take().Reports {
				if r.To == entryB.ID {
					n++
				}
			}
		}
		return n
	}
	t.Run("at each change for an entry of a small fleet", func(t *testing.T) {
		if n := reports(int64(freeInterval / time.Millisecond)); n < 50 {
			t.Errorf("got %d reports, want one for each of 60 changes", n)
		}
	})
	t.Run("seldom for an entry with many agents", func(t *testing.T) {
		if n := reports(120); n > 10 {
			t.Errorf("got %d reports in 1.2 s, want one each 120 ms", n)
		}
	})
}
