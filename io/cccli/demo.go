package cccli

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/ccdemo"
	"camphorcroft/io/cclog"
)

func demoCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("demo")
	seed := flags.Uint64Long("seed", 1, "seed of the load")
	hold := flags.BoolLong("hold", "stay up afterwards and print the addresses")
	logs := flags.StringEnumLong("log", "level of the processes' logs: error, info or debug", "error", "info", "debug")
	output := outputFlag(flags)
	return &ff.Command{
		Name:      "demo",
		Usage:     "camphorcroft demo [FLAGS]",
		ShortHelp: "run a small fleet through failures and count every promise",
		LongHelp: "Runs the store's stand-in, 3 entries, and 11 agents with targets of differing speed in 4 failure domains in\n" +
			"this process. Submits jobs, one of them three times, takes a domain out and back under load, ends an entry\n" +
			"and an agent abruptly, and prints what happened. Exit code 0 says that all promises held.",
		Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			steps := streams.Out
			if *output == outputJSON {
				steps = streams.Err
			}
			demo, err := ccdemo.New(ccdemo.Config{
				Seed: *seed, Out: steps, Log: cclog.New(cclog.Config{Out: streams.Err, Level: *logs}).Logger,
			})
			if err != nil {
				return errors.Trace(err)
			}
			defer demo.Close()
			return runDemo(ctx, streams, demo, *output, *hold)
		},
	}
}

func runDemo(ctx context.Context, streams Streams, demo *ccdemo.Demo, output string, hold bool) error {
	if hold {
		hangups()
	}
	report, err := demo.Run(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if output == outputJSON {
		err = writeJSON(streams, report)
	} else {
		err = report.Write(streams.Out)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if hold {
		if err := holdDemo(ctx, streams, demo); err != nil {
			return err
		}
	}
	if !report.Holds() {
		return errors.New("a promise was broken")
	}
	return nil
}

// holdDemo starts what was ended, prints the addresses and waits until the
// command is interrupted.
func holdDemo(ctx context.Context, streams Streams, demo *ccdemo.Demo) error {
	if err := demo.Mend(ctx); err != nil {
		return errors.Trace(err)
	}
	store, err := demo.Fleet().StoreAddr()
	if err != nil {
		return errors.Trace(err)
	}
	_, _ = fmt.Fprintf(streams.Out, "store %s\n", store)
	for _, addr := range demo.Fleet().EntryAddrs() {
		_, _ = fmt.Fprintf(streams.Out, "entry http://%s\n", addr)
	}
	for _, addr := range demo.Fleet().AgentAddrs() {
		_, _ = fmt.Fprintf(streams.Out, "agent http://%s\n", addr)
	}
	_, _ = fmt.Fprintln(streams.Out, "The fleet stays up until the command is interrupted.")
	<-ctx.Done()
	return nil
}
