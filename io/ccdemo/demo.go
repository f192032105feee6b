// Package ccdemo runs a small fleet through the failures that it is made for,
// under load, and counts what became of each promise.
//
// # Usage
//
//	demo := ccdemo.New(ccdemo.Config{Seed: 1, Log: log, Out: os.Stdout})
//	defer demo.Close()
//	report, err := demo.Run(ctx)
//	if !report.Holds() { ... }
package ccdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccfleet"
	"camphorcroft/io/ccgenerator"
)

const (
	profileName = "rambirambi"
	entryCount  = 3
	load        = 0.5
	duration    = 10 * time.Second
	deadline    = 4 * time.Second
	// longestRun keeps a task within the deadline at the slowest target, which is
	// half as fast as the nominal one.
	longestRun = 1500 * time.Millisecond
	// outBound is how long after a domain is taken out a task may still start in
	// it.
	outBound = 3 * time.Second

	outDomain   = "temeke"
	outAt       = 1 * time.Second
	inAt        = 5500 * time.Millisecond
	killedEntry = 1
	killEntryAt = 6500 * time.Millisecond
	killedAgent = 4
	killAgentAt = 8 * time.Second
)

// Config configures a Demo.
type Config struct {
	Seed uint64
	Log  logr.Logger
	Out  io.Writer // Says what happens while it happens.
}

// Demo is one run on one fleet.
type Demo struct {
	cfg     Config
	profile ccload.Profile
	fleet   *ccfleet.Fleet
	moments moments
}

// moments are when things happened.
type moments struct {
	out, in, entryKilled, agentKilled time.Time
	failures                          []error
}

// New returns a demo that has not run.
func New(cfg Config) (*Demo, error) {
	profile, err := ccload.ProfileByName(profileName)
	if err != nil {
		return nil, errors.Trace(err)
	}
	profile.RunTimes.TailMax = longestRun
	fleet := ccfleet.New(ccfleet.Config{Profile: profile, Entries: entryCount, Seed: cfg.Seed, Log: cfg.Log})
	return &Demo{cfg: cfg, profile: profile, fleet: fleet}, nil
}

// Fleet returns the fleet, which stays up until Close.
func (d *Demo) Fleet() *ccfleet.Fleet { return d.fleet }

// Close ends the fleet.
func (d *Demo) Close() { d.fleet.Close() }

// Run starts the fleet, submits jobs, breaks what is planned, and reports.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	began := time.Now()
	plan, err := ccload.NewPlan(ccload.PlanConfig{
		Profile: d.profile, Load: load, Duration: duration, Seed: d.cfg.Seed, Deadline: deadline,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := d.fleet.Start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	d.say("%d entries, %d agents in %d failure domains, seed %d.",
		entryCount, len(d.profile.Targets), len(d.profile.Domains), d.cfg.Seed)
	again, err := d.submitTwice(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.say("%d jobs with %d tasks follow over %s.", len(plan.Arrivals), plan.Tasks(), duration)
	run := d.underLoad(ctx, plan)
	if ctx.Err() != nil {
		return nil, errors.Annotate(ctx.Err(), "demo")
	}
	report := d.judge(ctx, plan, run, again)
	report.Elapsed = ccsettings.Duration(time.Since(began).Truncate(time.Millisecond))
	return report, nil
}

// underLoad runs the plan and breaks things meanwhile.
func (d *Demo) underLoad(ctx context.Context, plan *ccload.Plan) ccgenerator.Run {
	generator := ccgenerator.New(ccgenerator.Config{
		Plan: plan, Entries: d.fleet.EntryAddrs(), Distance: d.profile.ClientRoundTrip,
	})
	done := make(chan struct{})
	from := time.Now()
	go func() {
		defer close(done)
		d.fleet.Run(ctx, from, script(), d.note)
	}()
	run := generator.Run(ctx)
	<-done
	return run
}

// script is what breaks.
func script() []ccfault.Fault {
	return []ccfault.Fault{
		{At: ccsettings.Duration(outAt), Kind: ccfault.KindDomainOut, Domain: outDomain},
		{At: ccsettings.Duration(inAt), Kind: ccfault.KindDomainIn, Domain: outDomain},
		{At: ccsettings.Duration(killEntryAt), Kind: ccfault.KindKillEntry, Index: killedEntry},
		{At: ccsettings.Duration(killAgentAt), Kind: ccfault.KindKillAgent, Index: killedAgent},
	}
}

// note keeps the moment at which a fault has happened.
func (d *Demo) note(fault ccfault.Fault, err error) {
	now := time.Now()
	if err != nil {
		d.moments.failures = append(d.moments.failures, err)
		d.say("%s failed: %v.", fault, err)
		return
	}
	switch fault.Kind {
	case ccfault.KindDomainOut:
		d.moments.out = now
		d.say("Domain %s is out.", fault.Domain)
	case ccfault.KindDomainIn:
		d.moments.in = now
		d.say("Domain %s is back in.", fault.Domain)
	case ccfault.KindKillEntry:
		d.moments.entryKilled = now
		d.say("Entry %d was ended abruptly.", fault.Index+1)
	case ccfault.KindKillAgent:
		d.moments.agentKilled = now
		d.say("Agent %d was ended abruptly.", fault.Index+1)
	default:
	}
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Out, format+"\n", args...)
}

// Mend starts again what the script ended.
func (d *Demo) Mend(ctx context.Context) error {
	if err := d.fleet.StartEntry(ctx, killedEntry); err != nil {
		return errors.Trace(err)
	}
	if err := d.fleet.StartAgent(ctx, killedAgent); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.fleet.WaitReady(ctx))
}
