// Package ccload plans the load of an experiment, simulates the ideal response
// time of each job in it, and summarizes the results of a run on a fleet.
//
// A plan is open-loop: each job has a planned time, and its response time is
// measured from that time even if the generator was late, which avoids
// coordinated omission. The same seed gives the same plan.
//
// # Usage
//
//	profile, err := ccload.ProfileByName("rambirambi")
//	plan, err := ccload.NewPlan(ccload.PlanConfig{
//		Profile: profile, Load: 0.7, Duration: 20 * time.Second, Seed: 1,
//	})
//	summary := ccload.NewSummary(ccload.SummaryConfig{Profile: profile, Plan: plan})
//	summary.Add(result)
//	report := summary.Report(ccload.Observations{Starts: starts, From: from})
package ccload

import (
	"math"
	"time"
)

// Target describes one target of the fleet in an experiment.
type Target struct {
	Domain string `json:"domain"`
	// Speed divides a task's nominal run time.
	Speed float64 `json:"speed"`
	Slots int     `json:"slots"`
}

// Profile describes the fleet and the workload of one kind of user.
type Profile struct {
	Name    string
	Service string
	Domains []string
	Targets []Target
	// DomainRoundTrip is the round-trip time between two failure domains.
	DomainRoundTrip time.Duration
	// ClientRoundTrip is the round-trip time between a client and an entry.
	ClientRoundTrip time.Duration
	RunTimes        RunTimes
	Sizes           Sizes
	Teams           int
	// ResubmitShare is the share of jobs that a client submits a second time.
	ResubmitShare float64
	// MisdeclaredShare is the share of jobs whose declared run time is too long or
	// too short by misdeclaredFactor.
	MisdeclaredShare float64
}

const (
	targetCount    = 11
	slotsPerTarget = 8
	slowestSpeed   = 0.5
	speedRatio     = 4.0
	maxTailRunTime = 4 * time.Second
)

// ProfileByName returns a built-in profile. The error is an *Error of
// KindUnknownProfile.
func ProfileByName(name string) (Profile, error) {
	switch name {
	case "rambirambi":
		return rambirambi(), nil
	case "maregrafo":
		return maregrafo(), nil
	default:
		return Profile{}, newError("profile", KindUnknownProfile, name+" is neither rambirambi nor maregrafo")
	}
}

func rambirambi() Profile {
	domains := []string{"ilala", "kinondoni", "temeke", "ubungo"}
	return Profile{
		Name:            "rambirambi",
		Service:         "proof",
		Domains:         domains,
		Targets:         spreadTargets(domains),
		DomainRoundTrip: 500 * time.Microsecond,
		ClientRoundTrip: 3 * time.Millisecond,
		RunTimes: RunTimes{
			Min: 50 * time.Millisecond, Median: 250 * time.Millisecond, Max: time.Second,
			Sigma: 0.7, TailShare: 0.01, TailMax: maxTailRunTime,
		},
		Sizes:            Sizes{Max: 1500, Exponent: 1.1},
		Teams:            12,
		ResubmitShare:    0.01,
		MisdeclaredShare: 0.2,
	}
}

func maregrafo() Profile {
	domains := []string{"aveiro", "figueira", "mira", "ovar"}
	return Profile{
		Name:            "maregrafo",
		Service:         "weigh",
		Domains:         domains,
		Targets:         spreadTargets(domains),
		DomainRoundTrip: 1500 * time.Microsecond,
		ClientRoundTrip: 3 * time.Millisecond,
		RunTimes: RunTimes{
			Min: 50 * time.Millisecond, Median: 150 * time.Millisecond, Max: time.Second,
			Sigma: 0.6, TailShare: 0.005, TailMax: maxTailRunTime,
		},
		Sizes:            Sizes{Max: 1500, Exponent: 1.4},
		Teams:            8,
		ResubmitShare:    0.01,
		MisdeclaredShare: 0.2,
	}
}

// spreadTargets returns targets whose speeds form a geometric sequence from
// slowestSpeed to speedRatio times that. They are assigned to the domains
// round-robin, so that each domain has slow and fast targets.
func spreadTargets(domains []string) []Target {
	targets := make([]Target, targetCount)
	for i := range targets {
		exponent := float64(i) / float64(targetCount-1)
		targets[i] = Target{
			Domain: domains[i%len(domains)],
			Speed:  slowestSpeed * math.Pow(speedRatio, exponent),
			Slots:  slotsPerTarget,
		}
	}
	return targets
}

// NominalCapacity returns the nominal run time, in seconds, that the targets
// complete in one second.
func NominalCapacity(targets []Target) float64 {
	capacity := 0.0
	for _, target := range targets {
		capacity += target.Speed * float64(target.Slots)
	}
	return capacity
}
