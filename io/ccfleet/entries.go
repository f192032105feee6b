package ccfleet

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
)

// entrySlot is the place of one entry, which keeps its addresses over restarts.
type entrySlot struct {
	number int
	listen netip.AddrPort
	http   netip.AddrPort
	entry  *ccentry.Entry // Nil while none runs.
}

func entryID(number int) ccnode.ID {
	return ccnode.ID(fmt.Sprintf("entry-%d", number+1))
}

// StartEntry starts an entry that does not run, with an empty memory, at its
// earlier address.
func (f *Fleet) StartEntry(ctx context.Context, number int) error {
	slot, err := f.entrySlot(number)
	if err != nil {
		return err
	}
	domains := f.cfg.Profile.Domains
	ref := ccnode.Ref{ID: entryID(number), Incarnation: ccnode.NewIncarnation(time.Now())}
	entry := ccentry.New(ccentry.Config{
		Node:     ref,
		Domain:   domains[number%len(domains)],
		Listen:   slot.listen,
		HTTP:     slot.http,
		Store:    f.store,
		Settings: f.reader(),
		Log:      f.cfg.Log,
		Ring:     f.newRing(ccevent.RingConfig{Node: ref, Domain: domains[number%len(domains)]}),
		Seed:     f.cfg.Seed + uint64(number),
	})
	if err := entry.Start(ctx); err != nil {
		return newError("start entry", KindProcess, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	slot.entry, slot.listen, slot.http = entry, entry.Addr(), entry.HTTPAddr()
	return nil
}

// StopEntry stops an entry gracefully.
func (f *Fleet) StopEntry(ctx context.Context, number int) error {
	entry, err := f.takeEntry(ctx, number)
	if err != nil || entry == nil {
		return err
	}
	if err := entry.Stop(ctx); err != nil {
		return newError("stop entry", KindProcess, err)
	}
	return nil
}

// KillEntry ends an entry as a crash would.
func (f *Fleet) KillEntry(ctx context.Context, number int) error {
	entry, err := f.takeEntry(ctx, number)
	if err != nil || entry == nil {
		return err
	}
	entry.Kill()
	return nil
}

// takeEntry keeps the counts of an entry that is about to end, and takes it out
// of its place. It returns nil when none runs.
func (f *Fleet) takeEntry(ctx context.Context, number int) (*ccentry.Entry, error) {
	slot, err := f.entrySlot(number)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	entry, addr := slot.entry, slot.http
	slot.entry = nil
	f.mu.Unlock()
	if entry == nil {
		return nil, nil
	}
	// The counts of an entry that doesn't answer are lost; they are no promise.
	if vars, err := readEntryVars(ctx, addr); err == nil {
		f.mu.Lock()
		f.ended = f.ended.Plus(vars.messages())
		f.mu.Unlock()
	}
	return entry, nil
}

func (f *Fleet) entrySlot(number int) (*entrySlot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slotAt("entry", f.entries, number)
}
