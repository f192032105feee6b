package ccload

import "time"

// warp maps a share of the expected arrivals to the time by which that share has
// arrived, for a rate that is 1 outside of bursts.
type warp struct {
	pieces []piece
	// total is the integral of the rate over the run.
	total time.Duration
}

// piece is a span of time with one rate.
type piece struct {
	from, to time.Duration
	rate     float64
}

// newWarp takes bursts in the order of their times that don't overlap; a burst
// that starts inside an earlier one is cut.
func newWarp(duration time.Duration, bursts []Burst) *warp {
	w := &warp{}
	at := time.Duration(0)
	for _, burst := range bursts {
		w.add(at, burst.At, 1)
		at = max(at, burst.At)
		w.add(at, burst.At+burst.Duration, burst.Factor)
		at = max(at, burst.At+burst.Duration)
	}
	w.add(at, duration, 1)
	return w
}

func (w *warp) add(from, to time.Duration, rate float64) {
	if to <= from {
		return
	}
	w.pieces = append(w.pieces, piece{from: from, to: to, rate: rate})
	w.total += time.Duration(float64(to-from) * rate)
}

func (w *warp) at(share float64) time.Duration {
	left := time.Duration(share * float64(w.total))
	for _, p := range w.pieces {
		weight := time.Duration(float64(p.to-p.from) * p.rate)
		if left < weight {
			return p.from + time.Duration(float64(left)/p.rate)
		}
		left -= weight
	}
	return w.pieces[len(w.pieces)-1].to
}
