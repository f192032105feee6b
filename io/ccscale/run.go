package ccscale

import (
	"context"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccfleet"
)

// Run starts a fleet, measures it, and ends it.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cfg.Changes += cfg.Changes % 2 // Each takes the spare domain out or in, and the next round begins with it in.
	result := Result{Agents: cfg.Agents, Entries: cfg.Entries, Cells: cfg.Cells}
	before := memory()
	fleet := ccfleet.New(ccfleet.Config{
		Profile: cfg.profile(), Entries: cfg.Entries, Cells: cfg.Cells, Seed: cfg.Seed, Log: cfg.Log, RingSize: 1 << 12,
	})
	defer fleet.Close()
	cfg.say("starting")
	if err := fleet.Start(ctx); err != nil {
		return result, errors.Annotate(err, "start fleet")
	}
	wait(ctx, settle)
	if err := measureIdle(ctx, &cfg, fleet, &result); err != nil {
		return result, err
	}
	result.MemoryBytes = memory() - min(before, memory())
	steps := []func(context.Context, *Config, *ccfleet.Fleet, *Result) error{measureChanges, measureOutage, measureRestart}
	for _, step := range steps {
		if err := step(ctx, &cfg, fleet, &result); err != nil {
			return result, err
		}
	}
	result.Outage.Reverted = reverted(versions(fleet))
	return result, nil
}

// measureIdle watches a fleet that has nothing to do.
func measureIdle(ctx context.Context, cfg *Config, fleet *ccfleet.Fleet, result *Result) error {
	cfg.say("idle for %s", cfg.Idle)
	traffic, err := readTraffic(ctx, fleet)
	if err != nil {
		return err
	}
	start, cpu, calls := time.Now(), processorTime(), fleet.StoreCounts()
	wait(ctx, cfg.Idle)
	seconds := time.Since(start).Seconds()
	result.ProcessorShare = (processorTime() - cpu).Seconds() / seconds
	after := fleet.StoreCounts()
	result.StoreReadsPerSecond = float64(after.Reads()-calls.Reads()) / seconds
	result.StoreWritesPerSecond = float64(after.Writes()-calls.Writes()) / seconds
	now, err := readTraffic(ctx, fleet)
	result.Member, result.Lead = now.since(traffic, seconds)
	return err
}

// measureChanges changes the settings with a sound store and with a failing one.
func measureChanges(ctx context.Context, cfg *Config, fleet *ccfleet.Fleet, result *Result) error {
	cfg.say("%d changes of the settings", cfg.Changes)
	var err error
	if result.Changes, err = changeAll(ctx, cfg, fleet); err != nil {
		return err
	}
	cfg.say("%d changes with %.0f %% of store calls failing", cfg.Changes, 100*cfg.FailShare)
	if err = fleet.SetStoreFailures(cfg.FailShare); err != nil {
		return err
	}
	if result.Failing, err = changeAll(ctx, cfg, fleet); err != nil {
		return err
	}
	return fleet.SetStoreFailures(0)
}

// changeAll makes the changes one after the other, and then works out from the
// nodes' events when each was in force.
func changeAll(ctx context.Context, cfg *Config, fleet *ccfleet.Fleet) (Latency, error) {
	proposed := make(map[uint64]time.Time)
	for i := range cfg.Changes {
		start := time.Now()
		version, err := change(ctx, fleet, i%2 == 0)
		if err != nil {
			return Latency{}, err
		}
		proposed[version] = start
		wait(ctx, changeGap)
	}
	wait(ctx, lastWait)
	times, missing := inForce(versions(fleet), proposed)
	return latencyOf(times, len(proposed), missing), ctx.Err()
}

// change takes a domain that has no agents out, or back in, and returns the new
// version.
func change(ctx context.Context, fleet *ccfleet.Fleet, out bool) (uint64, error) {
	if err := fleet.SetDomain(ctx, spareDomain, out); err != nil {
		return 0, errors.Trace(err)
	}
	return fleet.Version(ctx)
}

// measureOutage takes the store down and looks whether a change afterwards is in
// force everywhere.
func measureOutage(ctx context.Context, cfg *Config, fleet *ccfleet.Fleet, result *Result) error {
	if cfg.Outage <= 0 {
		return nil
	}
	cfg.say("store down for %s", cfg.Outage)
	if err := fleet.SetStoreOutage(true); err != nil {
		return err
	}
	wait(ctx, cfg.Outage)
	if err := fleet.SetStoreOutage(false); err != nil {
		return err
	}
	once := *cfg
	once.Changes = 2 // The first may be what holds already.
	latency, err := changeAll(ctx, &once, fleet)
	result.Outage.Length, result.Outage.Caught = ccsettings.Duration(cfg.Outage), latency.Max
	return err
}

// measureRestart ends a part of the agents at once, starts them again, and counts
// store calls second by second.
func measureRestart(ctx context.Context, cfg *Config, fleet *ccfleet.Fleet, result *Result) error {
	count := cfg.Agents / restartPart
	cfg.say("%d agents restart at once", count)
	start, calls := time.Now(), fleet.StoreCounts()
	for number := range count {
		if err := fleet.KillAgent(number); err != nil {
			return err
		}
	}
	for number := range count {
		if err := fleet.StartAgent(ctx, number); err != nil {
			return err
		}
	}
	whole := make(chan time.Duration, 1)
	go func() {
		if err := fleet.WaitReady(ctx); err != nil {
			cfg.say("not whole again: %v", err)
		} else {
			whole <- time.Since(start)
		}
		close(whole)
	}()
	result.Restart = Restart{Agents: count, SecondsWatched: int(restartWatch / second)}
	for range result.Restart.SecondsWatched {
		wait(ctx, second)
		after := fleet.StoreCounts()
		result.Restart.PeakReads = max(result.Restart.PeakReads, float64(after.Reads()-calls.Reads()))
		result.Restart.PeakWrites = max(result.Restart.PeakWrites, float64(after.Writes()-calls.Writes()))
		calls = after
	}
	result.Restart.WholeAgain = ccsettings.Duration(<-whole)
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// processorTime is what this process has used, system calls included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory is what this process holds, with what it no longer needs given back.
func memory() uint64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
