package ccmetric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the upper bound of a histogram. Longer latencies are recorded
	// as this value.
	maxLatency = time.Minute
	// significantDigits is the precision of recorded values: two digits, or 1 %.
	significantDigits = 2
)

// Histogram records the distribution of one latency since the process started.
// It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Histogram adds a new histogram under the given name and returns it. It replaces
// any metric of the same name.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	s.vars.Set(name, h)
	return h
}

// Observe records one latency.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range, so clamping makes the error
	// impossible.
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// String returns the count, the quantiles and the maximum as JSON, with latencies
// in milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantileMs := func(quantile float64) float64 {
		return float64(h.values.ValueAtQuantile(quantile)) / 1000
	}
	data, err := json.Marshal(struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50Ms"`
		P90   float64 `json:"p90Ms"`
		P99   float64 `json:"p99Ms"`
		Max   float64 `json:"maxMs"`
	}{h.values.TotalCount(), quantileMs(50), quantileMs(90), quantileMs(99), float64(h.values.Max()) / 1000})
	if err != nil {
		return "{}"
	}
	return string(data)
}
