package cccli

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
)

// explainCommand groups the commands that say in words why something is so.
func explainCommand(streams Streams) *ff.Command {
	return &ff.Command{
		Name:        "explain",
		Usage:       "camphorcroft explain <WHAT> [FLAGS]",
		ShortHelp:   "say in short sentences what happened",
		Flags:       ff.NewFlagSet("explain"),
		Subcommands: []*ff.Command{explainJobCommand(streams), explainLogCommand(streams)},
		Exec: func(context.Context, []string) error {
			return &usageError{text: "say what to explain"}
		},
	}
}

func explainJobCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("job")
	events := newEventFlags(flags)
	output := outputFlag(flags)
	return &ff.Command{
		Name:      "job",
		Usage:     "camphorcroft explain job [--store IP:PORT | --nodes IP:PORT,... | --events FILE] JOB",
		ShortHelp: "say what became of a job",
		LongHelp: "Says when and where the job was accepted, how long it waited and for what, where its tasks ran,\n" +
			"how it ended and why, and which processes might know more.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &usageError{text: "explain job takes one job ID"}
			}
			id, err := ccjob.ParseID(args[0])
			if err != nil {
				return &usageError{text: err.Error()}
			}
			return explainJob(ctx, streams, events, id, *output)
		},
	}
}

func explainJob(ctx context.Context, streams Streams, events eventFlags, id ccjob.ID, output string) error {
	timeline, silent, err := events.timeline(ctx, id)
	if err != nil {
		return err
	}
	sentences := ccevent.Explain(timeline, id)
	if output == outputJSON {
		return writeJSON(streams, struct {
			JobID     ccjob.ID `json:"jobID"`
			Sentences []string `json:"sentences"`
			Silent    []string `json:"silent,omitempty"`
		}{id, sentences, silentAddrs(silent)})
	}
	for _, sentence := range sentences {
		if _, err := fmt.Fprintln(streams.Out, sentence); err != nil {
			return errors.Annotate(err, "write explanation")
		}
	}
	warnSilent(streams, silent)
	return nil
}

func silentAddrs(silent map[netip.AddrPort]error) []string {
	var addrs []string
	for addr := range silent {
		addrs = append(addrs, addr.String())
	}
	slices.Sort(addrs)
	return addrs
}
