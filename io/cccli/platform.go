package cccli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccshare"
	"camphorcroft/io/cccaller"
	"camphorcroft/io/cclease"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccmetric"
	"camphorcroft/io/ccreplay"
	ccplatform "camphorcroft/platform"
)

const (
	// closeTimeout bounds the end of the listeners at a stop.
	closeTimeout = 300 * time.Millisecond
)

// serveHTTP serves a handler at addr until the application stops. The gate limits its
// clients. requestLimits may be nil.
func serveHTTP(lifecycle fx.Lifecycle, gate *cclimit.Gate, class corelimit.Class, requestLimits func() cclimit.HTTPLimits, addr netip.AddrPort, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: corelimit.HeaderTimeout, IdleTimeout: corelimit.IdleTimeout, ConnContext: cccaller.ConnContext,
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := new(net.ListenConfig).Listen(ctx, "tcp", addr.String())
			if err != nil {
				return errors.Trace(err)
			}
			limited := gate.HTTP(listener, server, class, requestLimits)
			go func() { _ = server.Serve(limited) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, closeTimeout)
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				return errors.Trace(server.Close())
			}
			return nil
		},
	})
}

// metricsHandler serves a process's metrics at the path of all roles.
func metricsHandler(set *ccmetric.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", set)
	return mux
}

// newMalformed returns what counts the malformed items that a process reads.
func newMalformed(set *ccmetric.Set, log *cclog.Log) *cclog.Malformed {
	return cclog.NewMalformed(log.Logger.WithName("malformed"), set.Map("malformedItems"))
}

func newPlatformStore(cfg *ccconfig.Config, malformed *cclog.Malformed, log *cclog.Log) *ccplatform.Store {
	store := ccplatform.NewStore(cfg.Store)
	store.Malformed, store.Log = malformed, log.Logger.WithName("store")
	return store
}

// runPlatformEntry runs an entry on the users' platform.
func runPlatformEntry(ctx context.Context, streams Streams, file *configFile) error {
	cfg := file.cfg
	return runApp(ctx, streams, file, fx.Options(
		fx.Provide(
			func(self ccnode.Ref) *ccmetric.Set { return ccmetric.NewSet(self.String()) },
			newMalformed,
			func(self ccnode.Ref, set *ccmetric.Set, log *cclog.Log, malformed *cclog.Malformed, gate *cclimit.Gate) *ccreplay.Entry {
				return ccreplay.New(ccreplay.Config{
					Node: self, Domain: cfg.Domain, Listen: cfg.Listen, AwayFactor: cfg.Platform.AwayFactor,
					Order: orderSettings(cfg), EndTimePlacement: endTimePlacement(cfg), DemandSummaries: cfg.Platform.ActiveScheduling().DemandSummaries,
					Admission: admission(cfg), Store: newPlatformStore(cfg, malformed, log), PlanSource: ccplatform.Operator{},
					Metrics: set, Malformed: malformed, Log: log.Logger.WithName("entry"), Limit: gate.Streams, MaxTasks: gate.MaxTasks(),
				})
			},
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, entry *ccreplay.Entry, set *ccmetric.Set, log *cclog.Log, gate *cclimit.Gate, reload *reloader) {
			reload.changed = func(changed *ccconfig.Config) {
				entry.SetOrder(orderSettings(changed))
				entry.SetEndTimePlacement(endTimePlacement(changed))
				entry.SetAdmission(admission(changed))
			}
			// Hooks stop in the reverse order: the entry answers what it has, then the
			// listeners close, then the entry ends.
			lifecycle.Append(fx.Hook{OnStart: entry.Start, OnStop: func(context.Context) error {
				entry.Close()
				return nil
			}})
			gate.Export(set)
			limits := newPlanLimits(gate, log)
			serveHTTP(lifecycle, gate, corelimit.ClassRequests, func() cclimit.HTTPLimits { return limits.of(entry.Plan()) }, cfg.HTTP, ccplatform.NewJobHandler(entry, log.Logger.WithName("callers")))
			serveHTTP(lifecycle, gate, corelimit.ClassObservation, nil, cfg.Platform.Metrics, metricsHandler(set))
			serveHTTP(lifecycle, gate, corelimit.ClassObservation, nil, cfg.Platform.Readiness, ccplatform.NewReadinessHandler(entry))
			lifecycle.Append(fx.Hook{OnStop: entry.Stop})
		}),
	))
}

// orderSettings returns how an entry orders its waiting jobs.
func orderSettings(cfg *ccconfig.Config) ccshare.Settings {
	if cfg.Platform == nil {
		return ccshare.Settings{}
	}
	scheduling := cfg.Platform.ActiveScheduling()
	return ccshare.Settings{Fair: scheduling.Order == ccconfig.OrderFair, Shares: scheduling.Shares}
}

// endTimePlacement returns whether an entry places tasks by their expected end.
func endTimePlacement(cfg *ccconfig.Config) bool {
	return cfg.Platform != nil && cfg.Platform.ActiveScheduling().Placement == ccconfig.PlacementEndTime
}

// admission reports whether admission control is on.
func admission(cfg *ccconfig.Config) bool {
	return cfg.Platform != nil && cfg.Platform.ActiveScheduling().Admission
}

// runPlatformAgent runs an agent on the users' platform.
func runPlatformAgent(ctx context.Context, streams Streams, file *configFile) error {
	cfg := file.cfg
	return runApp(ctx, streams, file, fx.Options(
		fx.Provide(
			func(self ccnode.Ref) *ccmetric.Set { return ccmetric.NewSet(self.String()) },
			newMalformed,
			func(self ccnode.Ref, set *ccmetric.Set, log *cclog.Log, malformed *cclog.Malformed) *cclease.Agent {
				worker := ccplatform.NewWorker(cfg.Platform.Worker)
				worker.Malformed = malformed
				directory := ccreplay.NewDirectory(newPlatformStore(cfg, malformed, log))
				directory.Malformed = malformed
				return cclease.New(cclease.Config{
					Node: self, Domain: cfg.Domain, Worker: worker,
					Seeds: sessionAddrs(cfg), Directory: directory,
					Metrics: set, Log: log.Logger.WithName("agent"),
				})
			},
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, agent *cclease.Agent, set *ccmetric.Set, malformed *cclog.Malformed, reload *reloader, gate *cclimit.Gate) {
			gate.Export(set)
			serveHTTP(lifecycle, gate, corelimit.ClassObservation, nil, cfg.HTTP, metricsHandler(set))
			reload.changed = func(changed *ccconfig.Config) { agent.SetSeeds(sessionAddrs(changed)) }
			serveHTTP(lifecycle, gate, corelimit.ClassControl, nil, cfg.Platform.Heartbeats, ccplatform.NewHeartbeatHandler(agent, malformed))
			lifecycle.Append(fx.Hook{OnStart: agent.Start, OnStop: agent.Stop})
		}),
	))
}

// sessionAddrs returns where the seeds' machines listen for agents.
func sessionAddrs(cfg *ccconfig.Config) []netip.AddrPort {
	if cfg.Platform == nil {
		return nil
	}
	addrs := make([]netip.AddrPort, 0, len(cfg.Platform.Seeds))
	for _, seed := range cfg.Platform.Seeds {
		addrs = append(addrs, netip.AddrPortFrom(seed.Addr(), cfg.Listen.Port()))
	}
	return addrs
}
