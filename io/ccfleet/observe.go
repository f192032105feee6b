package ccfleet

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/io/ccstore"
)

// Starts returns every start at every target, in the order of time.
func (f *Fleet) Starts() []ccload.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := []ccload.Start{}
	for _, slot := range f.agents {
		for _, start := range slot.target.Starts() {
			job, index := splitKey(start.Key)
			starts = append(starts, ccload.Start{JobID: job, Index: index, At: start.At, Target: slot.number, Domain: slot.domain})
		}
	}
	slices.SortFunc(starts, func(a, b ccload.Start) int { return a.At.Compare(b.At) })
	return starts
}

// splitKey takes an Idempotency-Key apart. An index that is no number gives
// ccevent.NoIndex.
func splitKey(key string) (ccjob.ID, int) {
	job, text, _ := strings.Cut(key, "/")
	index, err := strconv.Atoi(text)
	if err != nil {
		index = ccevent.NoIndex
	}
	return ccjob.ID(job), index
}

// Overruns is how often a target was given more than its slots.
func (f *Fleet) Overruns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	overruns := 0
	for _, slot := range f.agents {
		overruns += slot.target.Overruns()
	}
	return overruns
}

// StartsIn counts starts in a failure domain inside a span of time.
func StartsIn(starts []ccload.Start, domain string, from, to time.Time) int {
	count := 0
	for _, start := range starts {
		if start.Domain == domain && start.At.After(from) && start.At.Before(to) {
			count++
		}
	}
	return count
}

// Events returns what every process recorded, by process.
func (f *Fleet) Events() [][]ccevent.Event {
	f.mu.Lock()
	rings := slices.Clone(f.rings)
	f.mu.Unlock()
	events := make([][]ccevent.Event, 0, len(rings))
	for _, ring := range rings {
		events = append(events, ring.After(0))
	}
	return events
}

// Messages returns what the processes sent each other since their start.
func (f *Fleet) Messages(ctx context.Context) ccload.Messages {
	total := ReadMessages(ctx, f.EntryAddrs())
	f.mu.Lock()
	defer f.mu.Unlock()
	return total.Plus(f.ended)
}

// StoreCounts returns the calls to the store.
func (f *Fleet) StoreCounts() ccstore.Counts { return f.store.Counts() }

// StoreAddr serves the store over HTTP too, and returns where.
func (f *Fleet) StoreAddr() (netip.AddrPort, error) {
	if err := f.store.Start(loopback); err != nil {
		return netip.AddrPort{}, newError("serve store", KindProcess, err)
	}
	return f.store.Addr(), nil
}

// AgentAddrs returns where the agents that run serve health and metrics.
func (f *Fleet) AgentAddrs() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, slot := range f.agents {
		if slot.agent != nil {
			addrs = append(addrs, slot.http)
		}
	}
	return addrs
}
