package cccli

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/ccstandin"
)

// standinTargetCommand runs a target's stand-in until it is interrupted.
func standinTargetCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("target")
	listen := flags.StringLong("listen", "127.0.0.1:7300", "address to listen on, as IP:PORT")
	speed := flags.Float64Long("speed", 1, "run times are divided by it")
	slots := flags.IntLong("slots", 0, "requests at once beyond which overruns are counted; 0 counts none")
	return &ff.Command{
		Name:      "target",
		Usage:     "camphorcroft standin target --listen IP:PORT [--speed N] [--slots N]",
		ShortHelp: "stand in for a target",
		LongHelp: "A payload such as {\"runMS\":120,\"echo\":\"x\"} runs 120 ms at speed 1 and\n" +
			"answers x; any other runs 50 ms and answers itself. PUT /faults sets the\n" +
			"switches, which GET /faults shows: speed, failing, pausing, slots.\n" +
			"GET /starts shows the log of starts.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "standin target"); err != nil {
				return err
			}
			addr, err := netip.ParseAddrPort(*listen)
			if err != nil {
				return &usageError{text: fmt.Sprintf("--listen: %v", err)}
			}
			if *speed <= 0 {
				return &usageError{text: "--speed is above 0"}
			}
			return runStandinTarget(ctx, streams, ccstandin.TargetConfig{Listen: addr, Speed: *speed, Slots: *slots})
		},
	}
}

func runStandinTarget(ctx context.Context, streams Streams, cfg ccstandin.TargetConfig) error {
	hangups()
	target := ccstandin.NewTarget(cfg)
	if err := target.Start(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(streams.Out, "target listens on %s\n", target.Addr())
	<-ctx.Done()
	target.Stop()
	return nil
}
