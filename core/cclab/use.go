package cclab

import "time"

// useInterval is the time between two samples of the use of the workers.
const useInterval = 50 * time.Millisecond

// Use is the use of the workers at one time.
type Use struct {
	At time.Duration // Since the start of the load.
	// Share is the part of the CPU of all workers that are up that runs tasks.
	Share float64
}

// sampleUse samples the use of the workers until the end of the load.
func (l *Lab) sampleUse() {
	elapsed := l.clock.now.Sub(l.start)
	if elapsed >= l.cfg.Duration {
		return
	}
	l.result.Use = append(l.result.Use, Use{At: elapsed, Share: l.use()})
	l.clock.after(useInterval, l.sampleUse)
}

// use returns the part of the CPU of all workers that are up that runs tasks.
func (l *Lab) use() float64 {
	used, capacity := int64(0), int64(0)
	for _, a := range l.agents {
		if !a.worker.isDown() {
			used, capacity = used+a.worker.used.CPU, capacity+a.worker.capacity.CPU
		}
	}
	return float64(used) / float64(max(capacity, 1))
}

// freeFor returns for how many tasks of a job the workers have free capacity now.
func (l *Lab) freeFor(r *Record) int {
	free := 0
	for _, a := range l.agents {
		if w := a.worker; !w.isDown() && r.Need.CPU > 0 {
			free += int((w.capacity.CPU - w.used.CPU) / r.Need.CPU)
		}
	}
	return min(free, r.Tasks)
}

// MeanUse returns the mean use of the workers in [from, to).
func (r *Result) MeanUse(from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for _, u := range r.Use {
		if u.At >= from && u.At < to {
			sum += u.Share
			n++
		}
	}
	return sum / float64(max(n, 1))
}
