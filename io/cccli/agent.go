package cccli

import (
	"context"
	"io"
	"os"
	"time"

	"camphorcroft/core/ccconfig"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccagent"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccstore"

	"github.com/go-logr/logr"
	"github.com/peterbourgon/ff/v4"
	"go.uber.org/fx"
)

const (
	// agentRingSize is how many events an agent keeps.
	agentRingSize = 65_536
	// agentStopTimeout bounds a graceful stop, the waiting for running tasks included.
	agentStopTimeout = 15 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
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
	cfg, err := readConfig(file)
	if err != nil {
		return err
	}
	if cfg.Agent == nil {
		return &usageError{text: file + ": agent: is missing"}
	}
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(agentStopTimeout),
		fx.Supply(cfg, fx.Annotate(streams.Err, fx.As(new(io.Writer)))),
		fx.Provide(newAgentLog, newAgentRef, newAgentRing, newStoreClient, newAgent),
		fx.Invoke(runAgentHooks),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), agentStopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// readConfig reads the file of an entry or an agent.
func readConfig(file string) (*ccconfig.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ccconfig.Parse(file, data)
}

func newAgentLog(cfg *ccconfig.Config, out io.Writer) logr.Logger {
	return cclog.New(cclog.Config{Out: out, Level: cfg.LogLevel}).Logger
}

func newAgentRef(cfg *ccconfig.Config) ccnode.Ref {
	return ccnode.Ref{ID: cfg.Node, Incarnation: ccnode.NewIncarnation(time.Now())}
}

func newAgentRing(self ccnode.Ref) *ccevent.Ring {
	return ccevent.NewRing(ccevent.RingConfig{Node: self, Size: agentRingSize})
}

func newStoreClient(cfg *ccconfig.Config) ccstore.Store {
	return ccstore.NewClient(ccstore.ClientConfig{Addr: cfg.Store, Timeout: storeTimeout})
}

func newAgent(cfg *ccconfig.Config, self ccnode.Ref, ring *ccevent.Ring, store ccstore.Store, log logr.Logger) *ccagent.Agent {
	return ccagent.New(ccagent.Config{
		Node: self, Domain: cfg.Domain, Rack: cfg.Rack, Service: cfg.Agent.Service, Slots: cfg.Agent.Slots,
		Listen: cfg.Listen, HTTP: cfg.HTTP, Target: cfg.Agent.Target, Store: store, Log: log, Ring: ring,
	})
}

func runAgentHooks(lifecycle fx.Lifecycle, agent *ccagent.Agent) {
	lifecycle.Append(fx.Hook{OnStart: agent.Start, OnStop: agent.Stop})
}
