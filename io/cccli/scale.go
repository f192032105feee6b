package cccli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/cclog"
	"camphorcroft/io/ccscale"
)

const (
	defaultIdle      = 10 * time.Second
	defaultChanges   = 20
	defaultFailShare = 1.0 / 3
	// agentsPerCell is how many agents a cell has when --cells is not given.
	agentsPerCell = 32
)

// scaleFlags are what the measurement is made of.
type scaleFlags struct {
	agents    *string
	entries   *int
	cells     *int
	idle      *time.Duration
	changes   *int
	failShare *float64
	outage    *time.Duration
	seed      *uint64
	output    *string
}

func scaleCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("scale")
	f := scaleFlags{
		agents:    flags.StringLong("agents", "30,100,300", "sizes of the fleet, as N,N"),
		entries:   flags.IntLong("entries", defaultEntries, "entries of the fleet"),
		cells:     flags.IntLong("cells", 0, "cells of the fleet; 0 is one for each 32 agents"),
		idle:      flags.DurationLong("idle", defaultIdle, "time over which the idle fleet is watched"),
		changes:   flags.IntLong("changes", defaultChanges, "changes of the settings, with a sound store and with a failing one"),
		failShare: flags.Float64Long("fail-share", defaultFailShare, "share of store calls that fail in the second round"),
		outage:    flags.DurationLong("outage", 0, "time over which the store is down; 0 leaves it out"),
		seed:      flags.Uint64Long("seed", 1, "seed of the fleet"),
		output:    outputFlag(flags),
	}
	return &ff.Command{
		Name:      "scale",
		Usage:     "camphorcroft scale [FLAGS]",
		ShortHelp: "measure what control costs as a fleet grows",
		LongHelp: "Runs idle fleets of several sizes in this process, one after the other, changes their settings, takes\n" +
			"the store down, and restarts a quarter of the agents. Reports calls, bytes, processor time and memory.",
		Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runScale(ctx, streams, &f)
		},
	}
}

func runScale(ctx context.Context, streams Streams, f *scaleFlags) error {
	var results []ccscale.Result
	for _, text := range splitList(*f.agents) {
		agents, err := strconv.Atoi(text)
		if err != nil || agents < 1 {
			return &usageError{text: "--agents takes numbers above 0, not " + text}
		}
		cells := *f.cells
		if cells == 0 {
			cells = (agents + agentsPerCell - 1) / agentsPerCell
		}
		result, err := ccscale.Run(ctx, ccscale.Config{
			Agents: agents, Entries: *f.entries, Cells: cells, Idle: *f.idle, Changes: *f.changes, FailShare: *f.failShare,
			Outage: *f.outage, Seed: *f.seed, Progress: streams.Err, Log: cclog.New(cclog.Config{Out: os.Stderr, Level: "error"}).Logger,
		})
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if *f.output == outputJSON {
		return writeJSON(streams, results)
	}
	return writeScale(streams, results)
}

// writeScale writes one column for each size.
func writeScale(streams Streams, results []ccscale.Result) error {
	rows := []struct {
		name  string
		value func(r *ccscale.Result) string
	}{
		{"agents / entries / cells", func(r *ccscale.Result) string { return fmt.Sprintf("%d / %d / %d", r.Agents, r.Entries, r.Cells) }},
		{"store reads / writes a second, idle", func(r *ccscale.Result) string {
			return fmt.Sprintf("%.1f / %.1f", r.StoreReadsPerSecond, r.StoreWritesPerSecond)
		}},
		{"member bytes/s in / out", func(r *ccscale.Result) string { return fmt.Sprintf("%.0f / %.0f", r.Member.In, r.Member.Out) }},
		{"lead bytes/s in / out", func(r *ccscale.Result) string { return fmt.Sprintf("%.0f / %.0f", r.Lead.In, r.Lead.Out) }},
		{"processor, share of a core, all nodes", func(r *ccscale.Result) string { return fmt.Sprintf("%.3f", r.ProcessorShare) }},
		{"memory, MB, all nodes", func(r *ccscale.Result) string { return fmt.Sprintf("%.1f", float64(r.MemoryBytes)/1e6) }},
		{"change in force p50 / p99 / max", func(r *ccscale.Result) string { return latencyText(&r.Changes) }},
		{"same, store calls failing", func(r *ccscale.Result) string { return latencyText(&r.Failing) }},
		{"nodes that a change did not reach", func(r *ccscale.Result) string { return fmt.Sprint(r.Changes.Missing + r.Failing.Missing) }},
		{"nodes that reverted", func(r *ccscale.Result) string { return fmt.Sprint(r.Outage.Reverted) }},
		{"change in force after an outage", func(r *ccscale.Result) string { return r.Outage.Caught.Std().Round(time.Millisecond).String() }},
		{"agents restarting at once", func(r *ccscale.Result) string { return fmt.Sprint(r.Restart.Agents) }},
		{"peak store reads / writes a second then", func(r *ccscale.Result) string {
			return fmt.Sprintf("%.0f / %.0f", r.Restart.PeakReads, r.Restart.PeakWrites)
		}},
		{"fleet whole again after", func(r *ccscale.Result) string { return r.Restart.WholeAgain.Std().Round(time.Millisecond).String() }},
	}
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprint(table, row.name)
		for i := range results {
			_, _ = fmt.Fprint(table, "\t"+row.value(&results[i]))
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

func latencyText(l *ccscale.Latency) string {
	return fmt.Sprintf("%s / %s / %s", l.P50.Std().Round(time.Millisecond), l.P99.Std().Round(time.Millisecond), l.Max.Std().Round(time.Millisecond))
}
