// Package ccload plans the load for an experiment, works out the ideal response
// of each job in it, and sums up what a fleet made of it.
//
// A plan is open-loop: each job has a planned time, and its response counts from
// that time whether or not the generator was late, which accounts for
// coordinated omission. The same seed gives the same plan.
//
// # Usage
//
//	profile, err := ccload.ProfileByName("rambirambi")
//	plan, err := ccload.NewPlan(ccload.PlanConfig{
//		Profile: profile, Load: 0.7, Duration: 20 * time.Second, Seed: 1,
//	})
//	ideal := ccload.Ideal(plan.Arrivals, profile.Targets, ccload.OrderFirstCome)
//	summary := ccload.NewSummary(ccload.SummaryConfig{Plan: plan, Ideal: ideal})
//	summary.Add(result)
//	report := summary.Report()
package ccload

import (
	"math"
	"time"
)

// Target is one target of the fleet, as an experiment sees it.
type Target struct {
	Domain string `json:"domain"`
	// Speed divides a task's nominal run time.
	Speed float64 `json:"speed"`
	Slots int     `json:"slots"`
}

// Profile is the shape of one user's fleet and work.
type Profile struct {
	Name    string
	Service string
	Domains []string
	Targets []Target
	// DomainRoundTrip is the round trip between two failure domains.
	DomainRoundTrip time.Duration
	// ClientRoundTrip is the round trip between a client and an entry.
	ClientRoundTrip time.Duration
	RunTimes        RunTimes
	Sizes           Sizes
	Teams           int
	// ResubmitShare is the share of jobs that a client submits a second time.
	ResubmitShare float64
	// MisdeclaredShare is the share of jobs whose declared run time is far off.
	MisdeclaredShare float64
}

const (
	targetCount    = 11
	slotsPerTarget = 8
	slowestSpeed   = 0.5
	speedSpread    = 4.0
	longestTail    = 4 * time.Second
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
			Sigma: 0.7, TailShare: 0.01, TailMax: longestTail,
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
			Sigma: 0.6, TailShare: 0.005, TailMax: longestTail,
		},
		Sizes:            Sizes{Max: 1500, Exponent: 1.4},
		Teams:            8,
		ResubmitShare:    0.01,
		MisdeclaredShare: 0.2,
	}
}

// spreadTargets gives the targets speeds in equal ratios from the slowest to
// the fastest, and deals them to the domains so that each has slow and fast ones.
func spreadTargets(domains []string) []Target {
	targets := make([]Target, targetCount)
	for i := range targets {
		exponent := float64(i) / float64(targetCount-1)
		targets[i] = Target{
			Domain: domains[i%len(domains)],
			Speed:  slowestSpeed * math.Pow(speedSpread, exponent),
			Slots:  slotsPerTarget,
		}
	}
	return targets
}

// NominalCapacity is the nominal run time that the targets work off in one second, in
// seconds.
func NominalCapacity(targets []Target) float64 {
	power := 0.0
	for _, target := range targets {
		power += target.Speed * float64(target.Slots)
	}
	return power
}
