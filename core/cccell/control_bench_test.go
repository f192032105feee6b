package cccell

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkControl measures the control traffic of one cell in a simulated minute:
// bytes of jsonrpc2 messages at a member and at the leader, in both directions,
// and store calls. The results don't depend on the speed of the machine.
func BenchmarkControl(b *testing.B) {
	const minute = time.Minute
	for _, size := range []int{8, 32, 64} {
		measure := func(name string, during func(sim *simulation)) {
			b.Run(fmt.Sprintf("members=%d/%s", size, name), func(b *testing.B) {
				var untilJoined time.Duration
				var bytes, calls, writes, cells float64
				for seed := 0; b.Loop(); seed++ {
					sim := newSimulation(b, uint64(seed), size)
					sim.waitStable(20 * time.Second)
					sim.run(5 * time.Second)
					sim.bytesToLeader, sim.bytesToMembers, sim.store.calls, sim.store.writes = 0, 0, 0, 0
					end := sim.now.Add(minute)
					during(sim)
					untilJoined += sim.timeUntilJoined()
					sim.run(end.Sub(sim.now))
					bytes += float64(sim.bytesToLeader + sim.bytesToMembers)
					calls += float64(sim.store.calls)
					writes += float64(sim.store.writes)
					cells++
				}
				seconds := cells * minute.Seconds()
				b.ReportMetric(bytes/seconds, "leadBytes/s")
				b.ReportMetric(bytes/seconds/float64(size-1), "memberBytes/s")
				b.ReportMetric(calls/seconds, "storeCalls/s")
				b.ReportMetric(writes/seconds, "storeWrites/s")
				b.ReportMetric(untilJoined.Seconds()/cells, "s-until-joined")
				b.ReportMetric(0, "ns/op")
			})
		}
		measure("idle", func(*simulation) {})
		measure("quarter-restarts", func(sim *simulation) {
			for i := range size / 4 {
				sim.restart(i)
			}
		})
		measure("lead-dies", func(sim *simulation) { sim.kill(sim.leaseHolders()[0]) })
	}
}

// timeUntilJoined runs until every live agent has joined the cell and one node
// leads it, and returns the simulated time that took.
func (sim *simulation) timeUntilJoined() time.Duration {
	began := sim.now
	for {
		joined := len(sim.leaseHolders()) == 1
		for _, n := range sim.nodes {
			joined = joined && (n.dead || n.Joined())
		}
		if joined {
			return sim.now.Sub(began)
		}
		sim.run(step)
	}
}
