// Package cctarget keeps what an entry learns about one target: how fast it is,
// and whether it fails what it is given.
//
// # Usage
//
//	health := cctarget.NewHealth(cctarget.HealthConfig{FailureShare: 0.5, EjectFor: 5 * time.Second})
//	health.Succeeded(now)
//	if health.Allowed(now, slots) == 0 {
//		// Send nothing for now.
//	}
package cctarget

import (
	"math"
	"time"
)

const (
	// speedMemory is about how many tasks the learned run time looks back on.
	speedMemory = 60
	// minRunTime keeps the logarithm of very short tasks finite.
	minRunTime = 10 * time.Microsecond
)

// Speed learns a target's run time. Declared run times are not used, since they
// are often wrong. The zero value knows nothing.
type Speed struct {
	samples int
	// meanLog is a moving mean of the logarithm of the run time in seconds. The
	// logarithm keeps a few very long tasks from hiding the target's speed.
	meanLog float64
	mean    float64 // Moving mean of the run time in seconds.
}

// Observe learns from one finished task.
func (s *Speed) Observe(run time.Duration) {
	s.samples++
	weight := 1 / float64(min(s.samples, speedMemory))
	s.mean += weight * (run.Seconds() - s.mean)
	s.meanLog += weight * (math.Log(max(run, minRunTime).Seconds()) - s.meanLog)
}

// MeanRunTime returns the mean run time, or zero when nothing is known. How often a
// target's slots get free follows from it.
func (s *Speed) MeanRunTime() time.Duration {
	return time.Duration(s.mean * float64(time.Second))
}

// Known reports whether the target has finished any task.
func (s *Speed) Known() bool { return s.samples > 0 }

// Samples returns how many tasks were observed.
func (s *Speed) Samples() int { return s.samples }

// TypicalRunTime returns the learned run time, or zero when nothing is known, which
// ranks an unknown target as fast, so that it gets tried.
func (s *Speed) TypicalRunTime() time.Duration {
	if s.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.meanLog) * float64(time.Second))
}
