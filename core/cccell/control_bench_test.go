package cccell

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkControl counts what a cell costs in a minute of its own time: bytes of
// jsonrpc2 messages at a member and at the lead, both ways, and calls to the
// store. Nothing here depends on how fast the machine is.
func BenchmarkControl(b *testing.B) {
	const minute = time.Minute
	for _, size := range []int{8, 32, 64} {
		measure := func(name string, during func(f *fleet)) {
			b.Run(fmt.Sprintf("members=%d/%s", size, name), func(b *testing.B) {
				var until time.Duration
				var bytes, calls, writes, cells float64
				for seed := 0; b.Loop(); seed++ {
					f := newFleet(b, uint64(seed), size)
					f.settle(20 * time.Second)
					f.run(5 * time.Second)
					f.toLead, f.toMember, f.store.calls, f.store.writes = 0, 0, 0, 0
					end := f.now.Add(minute)
					during(f)
					until += f.untilJoined()
					f.run(end.Sub(f.now))
					bytes += float64(f.toLead + f.toMember)
					calls += float64(f.store.calls)
					writes += float64(f.store.writes)
					cells++
				}
				seconds := cells * minute.Seconds()
				b.ReportMetric(bytes/seconds, "leadBytes/s")
				b.ReportMetric(bytes/seconds/float64(size-1), "memberBytes/s")
				b.ReportMetric(calls/seconds, "storeCalls/s")
				b.ReportMetric(writes/seconds, "storeWrites/s")
				b.ReportMetric(until.Seconds()/cells, "s-until-joined")
				b.ReportMetric(0, "ns/op")
			})
		}
		measure("idle", func(*fleet) {})
		measure("quarter-restarts", func(f *fleet) {
			for i := range size / 4 {
				f.restart(i)
			}
		})
		measure("lead-dies", func(f *fleet) { f.kill(f.leads()[0]) })
	}
}

// untilJoined runs until every agent that lives belongs to a cell with one lead,
// and returns how long that took.
func (f *fleet) untilJoined() time.Duration {
	began := f.now
	for {
		joined := len(f.leads()) == 1
		for _, n := range f.nodes {
			joined = joined && (n.dead || n.Joined())
		}
		if joined {
			return f.now.Sub(began)
		}
		f.run(step)
	}
}
