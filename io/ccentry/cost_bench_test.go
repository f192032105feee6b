package ccentry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/io/ccentry"
	"camphorcroft/io/ccstore"
)

const (
	roundTrip  = 500 * time.Microsecond
	writeDelay = 4 * time.Millisecond
	// arrivalGap is the time between two jobs over all entries.
	arrivalGap = 2 * time.Millisecond
)

// farStore puts the store at a distance, lets writes take time, and counts calls.
type farStore struct {
	ccstore.Store
	calls *atomic.Int64
}

func (s farStore) Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	s.calls.Add(1)
	time.Sleep(roundTrip + writeDelay)
	return s.Store.Swap(ctx, key, expected, value, lease)
}

func (s farStore) Get(ctx context.Context, key string) (ccstore.Item, error) {
	s.calls.Add(1)
	time.Sleep(roundTrip)
	return s.Store.Get(ctx, key)
}

func (s farStore) List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	s.calls.Add(1)
	time.Sleep(roundTrip)
	return s.Store.List(ctx, prefix)
}

func (s farStore) Renew(ctx context.Context, lease ccstore.LeaseID) error {
	s.calls.Add(1)
	time.Sleep(roundTrip + writeDelay)
	return s.Store.Renew(ctx, lease)
}

// startClaiming starts three entries that claim in one way.
func startClaiming(b *testing.B, way string, store ccstore.Store) []*ccentry.Entry {
	entries := make([]*ccentry.Entry, 3)
	for i := range entries {
		entries[i] = ccentry.New(ccentry.Config{
			Node: ccnode.Ref{ID: ccnode.ID(fmt.Sprintf("entry-%d", i))}, Domain: "north", Listen: anyPort, HTTP: anyPort,
			Store: store, Settings: fixedSettings{oneService()}, Log: logr.Discard(), Seed: 1,
		})
		entries[i].UseClaims(way, roundTrip)
		if err := entries[i].Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(entries[i].Kill)
	}
	for !allReady(entries) {
		time.Sleep(time.Millisecond)
	}
	return entries
}

// allReady reports whether all entries take jobs, and all slots can be granted.
func allReady(entries []*ccentry.Entry) bool {
	slots := 0
	for _, entry := range entries {
		if !entry.Ready() {
			return false
		}
		slots += entry.Claimable()
	}
	return slots >= ccroster.SlotCount
}

// BenchmarkCostOfSafety measures jobs of one task, which agents answer at once,
// with ways to claim that are more or less safe.
func BenchmarkCostOfSafety(b *testing.B) {
	for _, way := range []string{ccentry.LocalClaims, ccentry.LoopbackOnly, ccentry.FleetClaims, ccentry.WrittenClaims, ccentry.BatchedClaims} {
		b.Run(way, func(b *testing.B) {
			calls := &atomic.Int64{}
			entries := startClaiming(b, way, farStore{cellStore(b, startInstantAgents(b, elevenAgents(), 64)), calls})
			before := calls.Load()
			peers := peerRequests(b, entries)
			b.ResetTimer()
			took := submitSpread(b, entries)
			b.StopTimer()
			slices.Sort(took)
			jobs := float64(b.N)
			b.ReportMetric(milliseconds(took[len(took)/2]), "p50-ms")
			b.ReportMetric(milliseconds(took[len(took)*99/100]), "p99-ms")
			b.ReportMetric(2*float64(peerRequests(b, entries)-peers)/jobs, "messages/job")
			b.ReportMetric(float64(calls.Load()-before)/jobs, "storecalls/job")
		})
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// submitSpread submits jobs at a steady pace, to each entry in turn.
func submitSpread(b *testing.B, entries []*ccentry.Entry) []time.Duration {
	took := make([]time.Duration, b.N)
	var all sync.WaitGroup
	begin := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * arrivalGap)))
		id, err := uuid.NewV7()
		if err != nil {
			b.Fatal(err)
		}
		spec := &ccjob.Spec{ID: ccjob.ID(id.String()), Service: "s", Team: "t", Deadline: 10 * time.Second, Payloads: []string{"p"}}
		all.Go(func() {
			from := time.Now()
			if outcome := <-entries[i%len(entries)].Submit(spec); outcome.State != ccjob.StateComplete {
				b.Errorf("outcome %+v", outcome)
			}
			took[i] = time.Since(from)
		})
	}
	all.Wait()
	return took
}

func peerRequests(b *testing.B, entries []*ccentry.Entry) int {
	b.Helper()
	total := 0
	for _, entry := range entries {
		total += entry.PeerRequests()
	}
	return total
}
