package cccli

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccplacement"
	"camphorcroft/io/ccexperiment"
	"camphorcroft/io/ccgenerator"
	"camphorcroft/io/cclog"
)

const (
	defaultLoad     = 0.7
	defaultDuration = 30 * time.Second
	defaultWarm     = 3 * time.Second
	defaultEntries  = 3
	floodTeam       = "flooder"
)

// policies are the names that --policy and --compare take.
var policies = []string{ccplacement.LateBinding, ccplacement.TwoChoices, ccplacement.RoundRobin}

// loadFlags are what an experiment is made of.
type loadFlags struct {
	profile    *string
	load       *float64
	duration   *time.Duration
	warm       *time.Duration
	seed       *uint64
	shape      *string
	bursts     *[]string
	teams      *int
	maxTasks   *int
	flood      *float64
	leave      *float64
	waves      *[]string
	policy     *string
	compare    *string
	faults     *string
	traceIn    *string
	traceOut   *string
	entries    *string
	entryCount *int
	events     *string
	output     *string
}

func loadCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("load")
	f := loadFlags{
		profile:    flags.StringEnumLong("profile", "shape of fleet and work: rambirambi or maregrafo", "rambirambi", "maregrafo"),
		load:       flags.Float64Long("load", defaultLoad, "work offered, as a share of what the targets can do"),
		duration:   flags.DurationLong("duration", defaultDuration, "time over which jobs arrive"),
		warm:       flags.DurationLong("warm", defaultWarm, "time from the start that is left out of response times and goodput"),
		seed:       flags.Uint64Long("seed", 1, "seed of the plan and of the fleet"),
		shape:      flags.StringEnumLong("shape", "arrivals: poisson or constant", string(ccload.ShapePoisson), string(ccload.ShapeConstant)),
		bursts:     flags.StringListLong("burst", "AT,FOR,FACTOR such as 10s,2s,3: a time in which more jobs arrive; repeatable"),
		teams:      flags.IntLong("teams", 0, "number of teams; 0 is the profile's"),
		maxTasks:   flags.IntLong("max-tasks", 0, "bound of each team's tasks at one entry; 0 is none"),
		flood:      flags.Float64Long("flood", 0, "work that one more team offers on top, which is left out of the response times"),
		leave:      flags.Float64Long("leave", 0, "share of clients that leave before their answer"),
		waves:      flags.StringListLong("cancel", "AT,SHARE such as 10s,0.5: cancel a share of the jobs of the last 2 s; repeatable"),
		policy:     flags.StringEnumLong("policy", "placement: "+strings.Join(policies, ", "), policies...),
		compare:    flags.StringLong("compare", "", "policies to run one after the other with the same plan, such as lateBinding,roundRobin"),
		faults:     flags.StringLong("faults", "none", "built-in plan ("+strings.Join(ccfault.BuiltinNames, ", ")+") or a file with a JSON list"),
		traceIn:    flags.StringLong("trace-in", "", "file with a recorded trace, in place of a plan"),
		traceOut:   flags.StringLong("trace-out", "", "file to record the plan in"),
		entries:    flags.StringLong("entries", "", "IP:PORT,... of a fleet that runs elsewhere, in place of one in this process"),
		entryCount: flags.IntLong("entry-count", defaultEntries, "entries of the fleet in this process"),
		events:     flags.StringLong("events", "", "file for the events of all processes, for timeline and explain; for one policy alone"),
		output:     outputFlag(flags),
	}
	return &ff.Command{
		Name:      "load",
		Usage:     "camphorcroft load [FLAGS]",
		ShortHelp: "submit a planned load and report what became of it",
		LongHelp: "Plans jobs from a seed, submits each at its time whether or not others were answered, and compares the\n" +
			"responses with an ideal replay of the same plan. Responses count from the planned time.\n" +
			"Exit code 0 says that every promise held, whatever the speed.",
		Flags: flags,
		Exec:  func(ctx context.Context, _ []string) error { return f.run(ctx, streams) },
	}
}

func (f *loadFlags) run(ctx context.Context, streams Streams) error {
	// The progress, the faults and the logs come from goroutines of their own.
	streams.Err = &lockedWriter{out: streams.Err}
	cfg, err := f.experiment(streams)
	if err != nil {
		return err
	}
	if *f.traceOut != "" {
		if err := writeTrace(*f.traceOut, cfg.Plan); err != nil {
			return err
		}
	}
	if *f.events != "" && (len(cfg.Policies) > 1 || *f.entries != "") {
		return &usageError{text: "--events takes one policy and a fleet in this process"}
	}
	reports, err := ccexperiment.Run(ctx, *cfg)
	if err != nil {
		return errors.Trace(err)
	}
	if *f.output == outputJSON {
		err = writeJSON(streams, reports)
	} else {
		err = ccload.WriteTable(streams.Out, reports)
	}
	if err != nil {
		return errors.Trace(err)
	}
	for i := range reports {
		if !reports[i].Holds() {
			return errors.Errorf("a promise was broken in the run of %s", reports[i].Name)
		}
	}
	return nil
}

func (f *loadFlags) experiment(streams Streams) (*ccexperiment.Config, error) {
	profile, err := ccload.ProfileByName(*f.profile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if *f.teams > 0 {
		profile.Teams = *f.teams
	}
	plan, err := f.plan(profile)
	if err != nil {
		return nil, err
	}
	faults, err := f.faultPlan(plan, profile)
	if err != nil {
		return nil, err
	}
	names, err := f.policyNames()
	if err != nil {
		return nil, err
	}
	cfg := &ccexperiment.Config{
		Profile: profile, Plan: plan, Seed: *f.seed, Policies: names, EntryCount: *f.entryCount, Faults: faults,
		Warm: min(*f.warm, plan.Duration/2), MaxTasks: *f.maxTasks, Except: floodTeam,
		Log:      cclog.New(cclog.Config{Out: streams.Err, Level: "error"}).Logger,
		Progress: func(name string, p ccgenerator.Progress) { writeProgress(streams, name, p) },
		Events:   f.keepEvents,
		Happened: func(fault ccfault.Fault, err error) { writeFault(streams, fault, err) },
	}
	if *f.entries != "" {
		cfg.Outside, err = parseAddrs("entries", strings.Split(*f.entries, ","))
	}
	return cfg, err
}

// keepEvents writes the events of a run, if they are wanted.
func (f *loadFlags) keepEvents(events [][]ccevent.Event) error {
	if *f.events == "" {
		return nil
	}
	return writeEvents(*f.events, events)
}

func (f *loadFlags) policyNames() ([]string, error) {
	if *f.compare == "" {
		return []string{*f.policy}, nil
	}
	names := strings.Split(*f.compare, ",")
	for _, name := range names {
		if !slices.Contains(policies, name) {
			return nil, &usageError{text: "--compare takes " + strings.Join(policies, ", ") + ", not " + name}
		}
	}
	return names, nil
}
