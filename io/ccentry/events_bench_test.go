package ccentry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
)

// BenchmarkEvents counts task starts per second of processor time with the ring
// of events off and on, in jobs of 100 tasks.
func BenchmarkEvents(b *testing.B) {
	for name, size := range map[string]int{"off": 0, "on": 65_536} {
		b.Run(name, func(b *testing.B) {
			self := ccnode.Ref{ID: "entry-1", Incarnation: 1}
			entry := ccentry.New(ccentry.Config{
				Node: self, Domain: "north", Listen: anyPort, HTTP: anyPort,
				Store: cellStore(b, startInstantAgents(b, elevenAgents(), 64)), Settings: fixedSettings{oneService()},
				Log: logr.Discard(), Seed: 1, Ring: ccevent.NewRing(ccevent.RingConfig{Node: self, Domain: "north", Size: size}),
			})
			if err := entry.Start(context.Background()); err != nil {
				b.Fatal(err)
			}
			b.Cleanup(entry.Kill)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			awaitReady(b, client, entry)
			starts, spent := runJobs(b, client, entry)
			b.ReportMetric(float64(starts)/spent.Seconds(), "starts/cpu-s")
			b.ReportMetric(float64(spent.Nanoseconds())/float64(starts), "cpu-ns/task")
			b.ReportMetric(0, "ns/op")
		})
	}
}
