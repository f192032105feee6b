package cccli

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/ccstandin"
)

// standinStoreCommand runs the store's stand-in until it is interrupted.
func standinStoreCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("store")
	listen := flags.StringLong("listen", "127.0.0.1:7000", "address to listen on, as IP:PORT")
	seed := flags.UintLong("seed", 1, "seed for drawing faults")
	return &ff.Command{
		Name:      "store",
		Usage:     "camphorcroft standin store --listen IP:PORT",
		ShortHelp: "stand in for the platform's key-value service",
		LongHelp: "Everything is kept in memory. PUT /faults sets the fault switches, which\n" +
			"GET /faults shows: outage, delay, failShare, loseShare, readsPerSecond,\n" +
			"writesPerSecond. GET /counts shows the calls by kind.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "standin store"); err != nil {
				return err
			}
			addr, err := netip.ParseAddrPort(*listen)
			if err != nil {
				return &usageError{text: fmt.Sprintf("--listen: %v", err)}
			}
			return runStandinStore(ctx, streams, addr, uint64(*seed))
		},
	}
}

func runStandinStore(ctx context.Context, streams Streams, listen netip.AddrPort, seed uint64) error {
	hangups()
	store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: seed})
	if err := store.Start(listen); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(streams.Out, "store listens on %s\n", store.Addr())
	<-ctx.Done()
	return store.Close()
}
