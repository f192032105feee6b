package ccclaim_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTable fills an authority's claim table, and measures the memory per
// claim and the time to grant one.
func BenchmarkTable(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		before := heapInUse()
		a := newAuthority("a", 2*claims)
		a.RosterChanged(start, ccroster.Bootstrap(entry("a")), nil)
		granted := 0
		startedAt := time.Now()
		for range claims {
			id := ccjob.ID(uuid.Must(uuid.NewV7()).String())
			now := time.Now()
			if a.Claim(now, claimOf(a, "a", id), now.Add(time.Second)).Result == ccwire.ClaimGranted {
				granted++
			}
		}
		elapsed := time.Since(startedAt)
		b.ReportMetric(float64(heapInUse()-before)/claims, "B/claim")
		b.ReportMetric(float64(elapsed.Nanoseconds())/claims, "ns/claim")
		b.ReportMetric(float64(granted)/claims, "granted")
		b.ReportMetric(0, "ns/op")
		runtime.KeepAlive(a)
	}
}
