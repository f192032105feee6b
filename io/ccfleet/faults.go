package ccfleet

import (
	"context"
	"time"

	"camphorcroft/core/ccfault"
	"camphorcroft/io/ccstandin"
)

// Apply makes one fault happen.
func (f *Fleet) Apply(ctx context.Context, fault ccfault.Fault) error {
	switch fault.Kind {
	case ccfault.KindKillEntry:
		return f.KillEntry(ctx, fault.Index)
	case ccfault.KindStopEntry:
		return f.StopEntry(ctx, fault.Index)
	case ccfault.KindStartEntry:
		return f.StartEntry(ctx, fault.Index)
	case ccfault.KindStallAgent:
		return f.StallAgent(fault.Index, fault.Duration.Std())
	case ccfault.KindKillAgent:
		return f.KillAgent(fault.Index)
	case ccfault.KindStopAgent:
		return f.StopAgent(ctx, fault.Index)
	case ccfault.KindStartAgent:
		return f.StartAgent(ctx, fault.Index)
	case ccfault.KindDomainOut:
		return f.SetDomain(ctx, fault.Domain, true)
	case ccfault.KindDomainIn:
		return f.SetDomain(ctx, fault.Domain, false)
	case ccfault.KindStoreOutage:
		return f.SetStoreOutage(!fault.Off)
	default:
		return f.applyToTarget(fault)
	}
}

func (f *Fleet) applyToTarget(fault ccfault.Fault) error {
	return f.changeTarget(fault.Index, func(slot *agentSlot, faults *ccstandin.TargetFaults) {
		switch fault.Kind {
		case ccfault.KindSlow:
			faults.Speed = slot.speed / fault.Factor
		case ccfault.KindBlackHole:
			faults.Failing = !fault.Off
		case ccfault.KindPause:
			faults.Pausing = !fault.Off
		default:
		}
	})
}

// Run applies the faults at their times, which count from the given one, and
// tells each to report. It returns when all have happened or the context ends.
func (f *Fleet) Run(ctx context.Context, from time.Time, faults []ccfault.Fault, report func(ccfault.Fault, error)) {
	for _, fault := range faults {
		timer := time.NewTimer(time.Until(from.Add(fault.At.Std())))
		select {
		case <-timer.C:
			report(fault, f.Apply(ctx, fault))
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// SetStoreFailures makes a share of the store's calls fail with no effect.
func (f *Fleet) SetStoreFailures(share float64) error {
	faults := f.store.Faults()
	faults.FailShare = share
	if err := f.store.SetFaults(faults); err != nil {
		return newError("store failures", KindProcess, err)
	}
	return nil
}

// SetStoreOutage makes the store refuse all calls, or ends that.
func (f *Fleet) SetStoreOutage(out bool) error {
	faults := f.store.Faults()
	faults.Outage = out
	if err := f.store.SetFaults(faults); err != nil {
		return newError("store outage", KindProcess, err)
	}
	return nil
}
