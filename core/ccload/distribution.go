package ccload

import (
	"math"
	"math/rand/v2"
	"time"
)

// RunTimes is a distribution of nominal run times: log-normal, clamped to the
// range from Min to Max, with TailShare of the run times uniformly distributed
// between Max and TailMax.
type RunTimes struct {
	Min       time.Duration
	Median    time.Duration
	Max       time.Duration
	Sigma     float64 // Standard deviation of the logarithm.
	TailShare float64
	TailMax   time.Duration
}

// Draw returns a random run time, truncated to whole milliseconds.
func (d RunTimes) Draw(random *rand.Rand) time.Duration {
	if random.Float64() < d.TailShare {
		tail := time.Duration(random.Float64() * float64(d.TailMax-d.Max))
		return (d.Max + tail).Truncate(time.Millisecond)
	}
	drawn := time.Duration(float64(d.Median) * math.Exp(d.Sigma*random.NormFloat64()))
	return min(max(drawn, d.Min), d.Max).Truncate(time.Millisecond)
}

// Sizes is a distribution of the number of tasks in a job: a Pareto distribution
// from 1, truncated at Max. A greater exponent gives smaller jobs.
type Sizes struct {
	Max      int
	Exponent float64
}

// Draw returns a random number of tasks for one job.
func (d Sizes) Draw(random *rand.Rand) int {
	// Inverse transform sampling of the distribution truncated at Max.
	cut := 1 - math.Pow(float64(d.Max), -d.Exponent)
	size := math.Pow(1-random.Float64()*cut, -1/d.Exponent)
	return min(max(int(size), 1), d.Max)
}
