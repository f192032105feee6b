package cccli

import (
	"context"

	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccstore"
)

func newEntryCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("entry")
	file := flags.StringLong("config", "", "the process's configuration, a YAML file")
	return &ff.Command{
		Name:      "entry",
		Usage:     "camphorcroft entry --config FILE",
		ShortHelp: "take jobs from clients and dispatch their tasks",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := readConfig(*file)
			if err != nil {
				return err
			}
			return runApp(ctx, streams, cfg, fx.Options(
				fx.Provide(newEntry),
				fx.Invoke(func(lifecycle fx.Lifecycle, entry *ccentry.Entry) {
					lifecycle.Append(fx.Hook{OnStart: entry.Start, OnStop: entry.Stop})
				}),
			))
		},
	}
}

func newEntry(cfg *ccconfig.Config, log *cclog.Log, store ccstore.Store, settings ccentry.SettingsSource, ring *ccevent.Ring, self ccnode.Ref) *ccentry.Entry {
	return ccentry.New(ccentry.Config{
		Node:        self,
		Domain:      cfg.Domain,
		Listen:      cfg.Listen,
		HTTP:        cfg.HTTP,
		Store:       store,
		Settings:    settings,
		SetLogLevel: log.SetLevel,
		Log:         log.Logger,
		Ring:        ring,
		Seed:        uint64(self.Incarnation),
	})
}
