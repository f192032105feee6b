// Package ccscale measures what a fleet costs as it grows: calls to the store,
// control traffic, processor time and memory, and how long a change of the
// settings takes to be in force on all nodes.
//
// It runs the fleet of ccfleet in this process. Its targets get no work, so all
// that is measured is control.
//
// # Usage
//
//	result, err := ccscale.Run(ctx, ccscale.Config{Agents: 300, Entries: 3, Cells: 8, Seed: 1, Log: log})
package ccscale

import (
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccload"
)

const (
	// settle is how long a fleet that has just started is left alone.
	settle = 3 * time.Second
	// changeGap is the time between two changes of the settings.
	changeGap = 500 * time.Millisecond
	// lastWait is how long the last change is given to be in force everywhere.
	lastWait = 6 * time.Second
	// restartPart is the part of the agents that restarts at once, one in this many.
	restartPart = 4
	// restartWatch is how long store calls are counted after that.
	restartWatch = 10 * time.Second
	// spareDomain has no agents; changes of the settings take it out and back in.
	spareDomain = "spare"
	// second is the interval over which peaks are taken.
	second = time.Second
)

// Config says how large the fleet is, and for how long it is watched.
type Config struct {
	Agents    int
	Entries   int
	Cells     int
	Idle      time.Duration // How long the idle fleet is watched.
	Changes   int           // Changes of the settings, once with a sound store and once with a failing one.
	FailShare float64       // The share of store calls that fail in the second round.
	Outage    time.Duration // How long the store is down. Zero leaves this part out.
	Seed      uint64
	Log       logr.Logger
	Progress  io.Writer
}

func (cfg *Config) say(format string, args ...any) {
	_, _ = fmt.Fprintf(cfg.Progress, "%d agents: "+format+"\n", append([]any{cfg.Agents}, args...)...)
}

// profile is a fleet of equal targets that are never given work.
func (cfg *Config) profile() ccload.Profile {
	profile := ccload.Profile{Name: "scale", Service: "idle", Domains: []string{"one", "two", "three", "four", "five", "six"}}
	for i := range cfg.Agents {
		profile.Targets = append(profile.Targets, ccload.Target{Domain: profile.Domains[i%len(profile.Domains)], Speed: 1, Slots: 8})
	}
	profile.Domains = append(profile.Domains, spareDomain)
	return profile
}
