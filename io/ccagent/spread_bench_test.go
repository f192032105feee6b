package ccagent

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

// BenchmarkSpread measures how long an accepted version takes until it is in
// force at 300 agents in ten cells, with the store whole and with a third of its
// calls failing. Each iteration is one version.
func BenchmarkSpread(b *testing.B) {
	const size, cells = 300, 10
	for name, failShare := range map[string]float64{"store whole": 0, "a third of calls fails": 1.0 / 3} {
		b.Run(name, func(b *testing.B) {
			store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 1})
			putHead(b, store, 1, 0, fmt.Sprintf("fleet: {cells: %d}", cells))
			inForce := make(chan uint64, size*4)
			for i := range size {
				agent := newAgent(b, store, loopback, fmt.Sprintf("agent-%04d", i), func(cfg *Config) {
					cfg.OnSettings = func(view *ccsettings.AgentView) { inForce <- view.Version }
				})
				for !ask(agent, func() bool { return agent.cells.own != nil }) {
					time.Sleep(time.Millisecond)
				}
			}
			for range size {
				<-inForce
			}
			if err := store.SetFaults(ccstandin.StoreFaults{FailShare: failShare}); err != nil {
				b.Fatal(err)
			}
			var delays []time.Duration
			next := uint64(2)
			for b.Loop() {
				began := time.Now()
				head := getHead(b, store)
				putHead(b, store, next, head.Revision, "")
				for range size {
					<-inForce
					delays = append(delays, time.Since(began))
				}
				next++
			}
			slices.Sort(delays)
			b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
			b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
			b.ReportMetric(delays[len(delays)-1].Seconds(), "max-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// getHead reads the head, also while calls fail.
func getHead(t testing.TB, store *ccstandin.Store) ccstore.Item {
	t.Helper()
	for {
		if item, err := store.Get(t.Context(), ccsettings.HeadKey); err == nil {
			return item
		}
	}
}

// putHead writes a version, also while calls fail. The text, if any, becomes the
// fleet's section; all versions have that one.
func putHead(t testing.TB, store *ccstandin.Store, version, expected uint64, text string) {
	t.Helper()
	if text != "" {
		section, _ := json.Marshal(ccsettings.SectionRecord{Name: "fleet", Revision: "r1", Text: text})
		if _, err := store.Swap(t.Context(), ccsettings.SectionKey("fleet", "r1"), 0, section, ccstore.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	head, _ := json.Marshal(ccsettings.Head{Version: version, Sections: map[string]string{"fleet": "r1"}})
	for {
		if _, err := store.Swap(t.Context(), ccsettings.HeadKey, expected, head, ccstore.NoLease); err == nil {
			return
		}
	}
}
