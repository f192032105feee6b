// Package ccfleet runs a whole fleet in one process on loopback: the store's
// stand-in, entries, and agents with stand-in targets of differing speed in
// several failure domains. It serves the demo, the load tool and tests.
//
// Its handles break and mend parts while the fleet works. What the targets saw
// and what every process recorded can be collected, also of processes that have
// ended.
//
// # Usage
//
//	fleet := ccfleet.New(ccfleet.Config{Profile: profile, Entries: 3, Seed: 1, Log: log})
//	err := fleet.Start(ctx)
//	defer fleet.Close()
//	err = fleet.Apply(ctx, ccfault.Fault{Kind: ccfault.KindDomainOut, Domain: "mira"})
//	starts := fleet.Starts()
package ccfleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstandin"
)

const (
	defaultRing   = 1 << 16
	rackSize      = 3
	readyInterval = 20 * time.Millisecond
	readyTimeout  = 15 * time.Second
)

// loopback is any free port on the local machine.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Config says what the fleet is made of.
type Config struct {
	Profile ccload.Profile
	Entries int
	Seed    uint64
	// Service changes the settings of the profile's service. Nil leaves the
	// defaults.
	Service func(*ccsettings.Service)
	// Teams are the teams' settings. Teams that are not named have the defaults.
	Teams map[string]ccsettings.Team
	// Cells is the number of cells. Zero leaves the default.
	Cells int
	Log   logr.Logger
	// RingSize is how many events each process keeps. Zero is 65,536.
	RingSize int
}

// Fleet is a fleet in one process. Its handles may be called from any goroutine.
type Fleet struct {
	cfg   Config
	store *ccstandin.Store

	mu      sync.Mutex // Guards what follows.
	entries []*entrySlot
	agents  []*agentSlot
	rings   []*ccevent.Ring
	ended   ccload.Messages // Of entries that have ended.
}

// New returns a fleet that has not started.
func New(cfg Config) *Fleet {
	if cfg.RingSize == 0 {
		cfg.RingSize = defaultRing
	}
	return &Fleet{cfg: cfg, store: ccstandin.NewStore(ccstandin.StoreConfig{Seed: cfg.Seed})}
}

// Start starts everything and waits until each entry is connected to each agent.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.proposeSettings(ctx); err != nil {
		return err
	}
	for number := range f.cfg.Profile.Targets {
		slot, err := f.newAgentSlot(ctx, number)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, slot)
		if err := f.StartAgent(ctx, number); err != nil {
			return err
		}
	}
	for number := range f.cfg.Entries {
		f.entries = append(f.entries, &entrySlot{number: number, listen: loopback, http: loopback})
		if err := f.StartEntry(ctx, number); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// WaitReady waits until each entry that runs is connected to each agent that
// runs.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		missing := f.notReady(ctx)
		if missing == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return newError("wait until ready", KindNotReady, fmt.Errorf("%s", missing))
		}
	}
}

// notReady says what is missing, or nothing.
func (f *Fleet) notReady(ctx context.Context) string {
	running := f.runningAgents()
	if f.serviceSettings().SubsetTargets > 0 {
		running = 1 // An entry's share of the agents is not told here.
	}
	for _, addr := range f.EntryAddrs() {
		vars, err := readEntryVars(ctx, addr)
		switch {
		case err != nil:
			return err.Error()
		case vars.connectedAgents() < running:
			return fmt.Sprintf("entry at %s is connected to %d of %d agents", addr, vars.connectedAgents(), running)
		}
		if err := checkReady(ctx, addr); err != nil {
			return err.Error()
		}
	}
	return ""
}

// EntryAddrs returns where clients reach the entries that run.
func (f *Fleet) EntryAddrs() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, slot := range f.entries {
		if slot.entry != nil {
			addrs = append(addrs, slot.http)
		}
	}
	return addrs
}

func (f *Fleet) runningAgents() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, slot := range f.agents {
		if slot.agent != nil {
			running++
		}
	}
	return running
}

// Close ends everything at once.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, slot := range f.entries {
		if slot.entry != nil {
			slot.entry.Kill()
			slot.entry = nil
		}
	}
	for _, slot := range f.agents {
		if slot.agent != nil {
			slot.agent.Kill()
			slot.agent = nil
		}
		slot.target.Stop()
	}
}

// newRing makes the ring of one life of one process.
func (f *Fleet) newRing(cfg ccevent.RingConfig) *ccevent.Ring {
	cfg.Size = f.cfg.RingSize
	ring := ccevent.NewRing(cfg)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rings = append(f.rings, ring)
	return ring
}
