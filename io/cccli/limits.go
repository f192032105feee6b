package cccli

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"camphorcroft/core/ccconfig"
	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccroute"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/cclog"
)

// outsideHeap is the part of a process's memory that the garbage collector doesn't see: the
// program's text, stacks of the system, and what is freed later than the collector counts it.
// It takes 14 MB in an idle process.
const outsideHeap = 32 << 20

// newGate returns what limits the clients of a process. It ends after the listeners.
func newGate(lifecycle fx.Lifecycle, cfg *ccconfig.Config, log *cclog.Log) (*cclimit.Gate, error) {
	limits, err := cfg.ClientLimits()
	if err != nil {
		return nil, err
	}
	// The budget bounds what is in use. The collector's own limit bounds what is not
	// collected yet. It is set only to a limit that was configured, since a process that
	// needs more than a default would collect all the time.
	if cfg.Limits != nil && cfg.Limits.MemoryMB != nil && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limits.Host.Memory - outsideHeap)
	}
	gate := cclimit.NewGate(cclimit.Config{Limits: limits, Log: log.Logger.WithName("limits")})
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		gate.Close()
		return nil
	}})
	return gate, nil
}

// planLimits gives the limits of callers' requests in the plan in force.
type planLimits struct {
	maxBody int64 // What the process can hold.
	log     logr.Logger
	told    atomic.Int64 // The limit of a body that was logged last.
}

func newPlanLimits(gate *cclimit.Gate, log *cclog.Log) *planLimits {
	return &planLimits{maxBody: gate.MaxBody(corelimit.ClassRequests, math.MaxInt64), log: log.Logger.WithName("limits")}
}

// of returns the limits in a plan, which may be nil. It logs a plan that allows bodies which
// the process can't hold. Such bodies are refused with 503.
func (l *planLimits) of(plan *ccroute.Plan) cclimit.HTTPLimits {
	if plan == nil {
		return cclimit.HTTPLimits{}
	}
	if body := plan.MaxBodyBytes; body > l.maxBody && l.told.Swap(body) != body {
		l.log.Error(nil, "The plan's limits.max_body_bytes is more than limits.requests.memoryKB can hold.", "maxBodyBytes", body, "canHold", l.maxBody)
	}
	return cclimit.HTTPLimits{HeaderBytes: int(plan.MaxHeaderBytes), HeaderTimeout: plan.HeaderTimeout, IdleTimeout: plan.IdleTimeout}
}
