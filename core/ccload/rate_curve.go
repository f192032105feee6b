package ccload

import "time"

// rateCurve is a piecewise constant arrival rate, which is 1 outside of bursts. It
// maps a share of the expected arrivals to the time by which that share has arrived,
// which is the inverse of the normalized cumulative rate.
type rateCurve struct {
	segments []segment
	// total is the integral of the rate over the run.
	total time.Duration
}

// segment is a time interval with a constant rate.
type segment struct {
	from, to time.Duration
	rate     float64
}

// newRateCurve expects bursts that are sorted by time and do not overlap. A burst
// that starts within an earlier one is truncated: it begins when that one ends.
func newRateCurve(duration time.Duration, bursts []Burst) *rateCurve {
	c := &rateCurve{}
	at := time.Duration(0)
	for _, burst := range bursts {
		c.add(at, burst.At, 1)
		at = max(at, burst.At)
		c.add(at, burst.At+burst.Duration, burst.Factor)
		at = max(at, burst.At+burst.Duration)
	}
	c.add(at, duration, 1)
	return c
}

func (c *rateCurve) add(from, to time.Duration, rate float64) {
	if to <= from {
		return
	}
	c.segments = append(c.segments, segment{from: from, to: to, rate: rate})
	c.total += time.Duration(float64(to-from) * rate)
}

// timeAt returns the time by which the share of the expected arrivals has arrived.
func (c *rateCurve) timeAt(share float64) time.Duration {
	remaining := time.Duration(share * float64(c.total))
	for _, p := range c.segments {
		weight := time.Duration(float64(p.to-p.from) * p.rate)
		if remaining < weight {
			return p.from + time.Duration(float64(remaining)/p.rate)
		}
		remaining -= weight
	}
	return c.segments[len(c.segments)-1].to
}
