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

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTable fills an authority's table, and counts the memory of one claim
// and the time of granting it.
func BenchmarkTable(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		before := heap()
		a := newAuthority("a", 2*claims)
		a.RosterChanged(start, ccroster.Bootstrap(entry("a")), nil)
		granted := 0
		begun := time.Now()
		for range claims {
			id := ccjob.ID(uuid.Must(uuid.NewV7()).String())
			now := time.Now()
			if a.Claim(now, claimOf(a, "a", id), now.Add(time.Second)).Result == ccwire.ClaimGranted {
				granted++
			}
		}
		spent := time.Since(begun)
		b.ReportMetric(float64(heap()-before)/claims, "B/claim")
		b.ReportMetric(float64(spent.Nanoseconds())/claims, "ns/claim")
		b.ReportMetric(float64(granted)/claims, "granted")
		b.ReportMetric(0, "ns/op")
		runtime.KeepAlive(a)
	}
}
