package ccload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramDigits = 3 // Significant decimal digits.
	maxDuration     = 10 * time.Minute
	ratioScale      = 1000 // Ratios are recorded in thousandths.
	maxRatio        = 1_000_000
)

// Quantiles summarizes a distribution. Times are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// durations is a histogram of durations, in microseconds.
type durations struct{ histogram *hdrhistogram.Histogram }

func newDurations() durations {
	return durations{hdrhistogram.New(1, maxDuration.Microseconds(), histogramDigits)}
}

func (d durations) add(value time.Duration) {
	recordBounded(d.histogram, value.Microseconds())
}

func (d durations) quantiles() Quantiles {
	return quantilesOf(d.histogram, float64(time.Millisecond/time.Microsecond))
}

// ratios is a histogram of ratios.
type ratios struct{ histogram *hdrhistogram.Histogram }

func newRatios() ratios {
	return ratios{hdrhistogram.New(1, maxRatio*ratioScale, histogramDigits)}
}

func (r ratios) add(value float64) {
	recordBounded(r.histogram, int64(value*ratioScale))
}

func (r ratios) quantiles() Quantiles {
	return quantilesOf(r.histogram, ratioScale)
}

// recordBounded records a value, clamped to the range of the histogram.
func recordBounded(histogram *hdrhistogram.Histogram, value int64) {
	bounded := min(max(value, 1), histogram.HighestTrackableValue())
	_ = histogram.RecordValue(bounded)
}

func quantilesOf(histogram *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / unit
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		Mean:  histogram.Mean() / unit,
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(histogram.Max()) / unit,
	}
}
