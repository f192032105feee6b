package cccli

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

// standinCommand groups the stand-ins for what the platform brings.
func standinCommand(streams Streams) *ff.Command {
	return &ff.Command{
		Name:        "standin",
		Usage:       "camphorcroft standin <KIND> [FLAGS]",
		ShortHelp:   "stand in for a part of the platform",
		Flags:       ff.NewFlagSet("standin"),
		Subcommands: []*ff.Command{standinStoreCommand(streams), standinTargetCommand(streams)},
		Exec: func(context.Context, []string) error {
			return &usageError{text: "say which stand-in to run"}
		},
	}
}
