package cccli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
	"camphorcroft/core/ccevent"
	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccsettings"
	"camphorcroft/io/ccstore"
)

// unreadyGrace is how long an entry that stops still takes jobs, so that the
// balancer has seen that it is not ready.
const unreadyGrace = time.Second

// maxSubmission bounds the body of a submission.
const maxSubmission = 32 << 20

// entryCommand runs an entry until it is interrupted, and then stops it
// gracefully.
func entryCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("entry")
	file := flags.StringLong("config", "", "the entry's YAML file")
	return &ff.Command{
		Name:      "entry",
		Usage:     "camphorcroft entry --config FILE",
		ShortHelp: "take jobs from clients and dispatch their tasks",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return &usageError{text: "entry takes --config FILE and no arguments"}
			}
			return runEntry(ctx, streams, *file)
		},
	}
}

func runEntry(ctx context.Context, streams Streams, file string) error {
	hangups()
	read, err := readConfig(file)
	if err != nil {
		return err
	}
	if read.cfg.Platform != nil {
		return runPlatformEntry(ctx, streams, read)
	}
	for {
		again, err := runLife(ctx, streams, read)
		if !again || err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// runLife runs one life of an entry. It reports whether another should follow,
// since this one's place in the fleet was taken while it was cut off or paused.
func runLife(ctx context.Context, streams Streams, file *configFile) (bool, error) {
	life, end := context.WithCancel(ctx)
	defer end()
	lost := false
	watch := func(entry *ccentry.Entry) {
		go func() {
			select {
			case <-entry.Lost():
				lost = true
				end()
			case <-life.Done():
			}
		}()
	}
	err := runApp(life, streams, file, fx.Options(fx.Provide(newEntry), fx.Invoke(runEntryHooks, watch)))
	return lost, err
}

func newEntry(cfg *ccconfig.Config, self ccnode.Ref, ring *ccevent.Ring, store ccstore.Store, log *cclog.Log, gate *cclimit.Gate) *ccentry.Entry {
	return ccentry.New(ccentry.Config{
		Node: self, Domain: cfg.Domain, Listen: cfg.Listen, HTTP: cfg.HTTP, Store: store,
		Settings:    ccsettings.NewReader(ccsettings.ReaderConfig{Store: store, Log: log.Logger.WithName("settings")}),
		SetLogLevel: log.SetLevel, Log: log.Logger, Ring: ring, Seed: uint64(self.Incarnation), UnreadyGrace: unreadyGrace,
		Gate: gate, MaxBodyBytes: gate.MaxBody(corelimit.ClassRequests, maxSubmission),
	})
}

func runEntryHooks(lifecycle fx.Lifecycle, entry *ccentry.Entry) {
	lifecycle.Append(fx.Hook{OnStart: entry.Start, OnStop: entry.Stop})
}
