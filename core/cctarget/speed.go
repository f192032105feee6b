// Package cctarget tracks what an entry learns about one target: how fast it is,
// and whether it fails its tasks.
//
// # Usage
//
//	health := cctarget.NewHealth(cctarget.HealthConfig{FailureShare: 0.5, EjectFor: 5 * time.Second})
//	health.RecordSuccess(now)
//	if health.AllowedSlots(now, slots) == 0 {
//		// Send no tasks for now.
//	}
package cctarget

import (
	"math"
	"time"
)

const (
	// speedWindow is roughly how many recent tasks determine the learned run time.
	speedWindow = 60
	// minRunTime keeps the logarithm of very short tasks finite.
	minRunTime = 10 * time.Microsecond
)

// Speed learns a target's run time from its finished tasks. Declared run times are
// not used, since they are often wrong. The zero value has no samples.
type Speed struct {
	samples int
	// meanLog is a moving average of the logarithm of the run time in seconds. The
	// logarithm keeps a few very long tasks from hiding the target's speed.
	meanLog float64
	mean    float64 // Moving average of the run time in seconds.
}

// Observe adds the run time of a finished task.
func (s *Speed) Observe(run time.Duration) {
	s.samples++
	weight := 1 / float64(min(s.samples, speedWindow))
	s.mean += weight * (run.Seconds() - s.mean)
	s.meanLog += weight * (math.Log(max(run, minRunTime).Seconds()) - s.meanLog)
}

// MeanRunTime returns the mean run time, or zero without samples. It determines how
// often a target's slots become free.
func (s *Speed) MeanRunTime() time.Duration {
	return time.Duration(s.mean * float64(time.Second))
}

// Known reports whether the target has finished any task.
func (s *Speed) Known() bool { return s.samples > 0 }

// Samples returns the number of observed tasks.
func (s *Speed) Samples() int { return s.samples }

// TypicalRunTime returns a moving geometric mean of the run time, or zero without
// samples. Zero ranks an unknown target as fast, so that it gets tried.
func (s *Speed) TypicalRunTime() time.Duration {
	if s.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.meanLog) * float64(time.Second))
}
