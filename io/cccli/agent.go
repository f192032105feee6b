package cccli

import (
	"context"

	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccagent"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccstore"
)

// agentCommand runs an agent until it is interrupted, and then stops it
// gracefully.
func agentCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("agent")
	file := flags.StringLong("config", "", "the agent's YAML file")
	return &ff.Command{
		Name:      "agent",
		Usage:     "camphorcroft agent --config FILE",
		ShortHelp: "run tasks at the target beside this process",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return &usageError{text: "agent takes --config FILE and no arguments"}
			}
			return runAgent(ctx, streams, *file)
		},
	}
}

func runAgent(ctx context.Context, streams Streams, file string) error {
	hangups()
	read, err := readConfig(file)
	if err != nil {
		return err
	}
	if read.cfg.Platform != nil {
		return runPlatformAgent(ctx, streams, read)
	}
	if read.cfg.Agent == nil {
		return &usageError{text: file + ": agent: is missing"}
	}
	return runApp(ctx, streams, read, fx.Options(fx.Provide(newAgent), fx.Invoke(runAgentHooks)))
}

func newAgent(cfg *ccconfig.Config, self ccnode.Ref, ring *ccevent.Ring, store ccstore.Store, log *cclog.Log, gate *cclimit.Gate) *ccagent.Agent {
	return ccagent.New(ccagent.Config{
		Node: self, Domain: cfg.Domain, Rack: cfg.Rack, Service: cfg.Agent.Service, Slots: cfg.Agent.Slots,
		Listen: cfg.Listen, HTTP: cfg.HTTP, Target: cfg.Agent.Target, Store: store, Log: log.Logger, Ring: ring, Gate: gate,
		OnSettings: func(view *ccsettings.AgentView) {
			// The file's own level goes first.
			if cfg.LogLevel == "" {
				log.SetLevel(view.Fleet.LogLevel)
			}
		},
	})
}

func runAgentHooks(lifecycle fx.Lifecycle, agent *ccagent.Agent) {
	lifecycle.Append(fx.Hook{OnStart: agent.Start, OnStop: agent.Stop})
}
