// Package ccexperiment runs one plan of load against one or more placement
// policies, each on a fresh fleet in this process, or against a fleet that runs
// elsewhere, and reports each run.
//
// # Usage
//
//	reports, err := ccexperiment.Run(ctx, ccexperiment.Config{
//		Profile: profile, Plan: plan, Policies: []string{"lateBinding", "roundRobin"}, Log: log,
//	})
package ccexperiment

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccfleet"
	"camphorcroft/io/ccgenerator"
)

// Config says what to run.
type Config struct {
	Profile ccload.Profile
	Plan    *ccload.Plan
	Seed    uint64
	// Policies are run one after the other, each on a fleet of its own.
	Policies []string
	// EntryCount is the number of entries of such a fleet.
	EntryCount int
	// Outside are the entries of a fleet that runs elsewhere. It is run against
	// once, under its own policy.
	Outside []netip.AddrPort
	Faults  []ccfault.Fault
	Warm    time.Duration
	// Except is a team that is left out of the response times.
	Except string
	// MaxTasks bounds each team's tasks at one entry. Zero sets no bound.
	MaxTasks int
	Log      logr.Logger
	Progress func(name string, progress ccgenerator.Progress)
	// Happened is told of each fault. It is not called with an outside fleet.
	Happened func(fault ccfault.Fault, err error)
	// Events takes what the processes of each fleet recorded, those that have ended
	// included. It is not called with an outside fleet. Nil keeps none.
	Events func(events [][]ccevent.Event) error
}

// Run runs the experiment and returns one report for each run.
func Run(ctx context.Context, cfg Config) ([]ccload.Report, error) {
	if len(cfg.Outside) > 0 {
		return []ccload.Report{runOutside(ctx, cfg)}, errors.Trace(ctx.Err())
	}
	reports := make([]ccload.Report, 0, len(cfg.Policies))
	for _, policy := range cfg.Policies {
		report, err := runPolicy(ctx, cfg, policy)
		if err != nil {
			return reports, errors.Annotate(err, policy)
		}
		reports = append(reports, *report)
	}
	return reports, nil
}

func runPolicy(ctx context.Context, cfg Config, policy string) (*ccload.Report, error) {
	fleet := ccfleet.New(ccfleet.Config{
		Profile: cfg.Profile,
		Entries: cfg.EntryCount,
		Seed:    cfg.Seed,
		Log:     cfg.Log,
		Service: func(service *ccsettings.Service) { service.Policy = policy },
		Teams:   teams(cfg),
	})
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	before := fleet.Messages(ctx)
	done := make(chan struct{})
	from := time.Now()
	go func() {
		defer close(done)
		fleet.Run(ctx, from, cfg.Faults, cfg.Happened)
	}()
	run := generate(ctx, cfg, policy, fleet.EntryAddrs())
	<-done
	if ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	if cfg.Events != nil {
		if err := cfg.Events(fleet.Events()); err != nil {
			return nil, errors.Trace(err)
		}
	}
	report := summarize(cfg, policy, run, ccload.Observations{
		Starts: fleet.Starts(), From: run.From, Messages: fleet.Messages(ctx).Minus(before),
	})
	return &report, nil
}

// teams gives every team of the profile its bound.
func teams(cfg Config) map[string]ccsettings.Team {
	if cfg.MaxTasks == 0 {
		return nil
	}
	teams := make(map[string]ccsettings.Team)
	for _, arrival := range cfg.Plan.Arrivals {
		team := ccsettings.DefaultTeam()
		team.MaxTasks = cfg.MaxTasks
		teams[arrival.Team] = team
	}
	return teams
}

func runOutside(ctx context.Context, cfg Config) ccload.Report {
	before := ccfleet.ReadMessages(ctx, cfg.Outside)
	run := generate(ctx, cfg, "outside", cfg.Outside)
	after := ccfleet.ReadMessages(ctx, cfg.Outside)
	return summarize(cfg, "outside", run, ccload.Observations{From: run.From, Messages: after.Minus(before)})
}

func generate(ctx context.Context, cfg Config, name string, entries []netip.AddrPort) ccgenerator.Run {
	return ccgenerator.New(ccgenerator.Config{
		Plan:     cfg.Plan,
		Entries:  entries,
		Distance: cfg.Profile.ClientRoundTrip,
		Progress: func(progress ccgenerator.Progress) { cfg.Progress(name, progress) },
	}).Run(ctx)
}

func summarize(cfg Config, name string, run ccgenerator.Run, observed ccload.Observations) ccload.Report {
	summary := ccload.NewSummary(ccload.SummaryConfig{
		Name: name, Profile: cfg.Profile, Plan: cfg.Plan, RoundTrip: cfg.Profile.ClientRoundTrip, ExcludedTeam: cfg.Except, WarmUp: cfg.Warm,
		Outages: away(cfg.Faults, cfg.Plan.Duration),
	})
	for _, result := range run.Results {
		summary.Add(result)
	}
	return summary.Report(observed)
}

// away lists when the faults have failure domains out.
func away(faults []ccfault.Fault, end time.Duration) []ccload.Outage {
	var spans []ccload.Outage
	for _, fault := range faults {
		switch fault.Kind {
		case ccfault.KindDomainOut:
			spans = append(spans, ccload.Outage{Domain: fault.Domain, From: fault.At.Std(), To: end})
		case ccfault.KindDomainIn:
			for i := range spans {
				if spans[i].Domain == fault.Domain {
					spans[i].To = min(spans[i].To, fault.At.Std())
				}
			}
		default:
		}
	}
	return spans
}
