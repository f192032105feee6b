package cclease

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
)

const (
	// localEntries and remoteEntries are the numbers of entries to which an agent
	// connects in its own failure domain and elsewhere. docs/decisions/scale.md compares
	// the sizes.
	localEntries  = 12
	remoteEntries = 6
	// syncInterval is the longest time between two calls of syncLinks.
	syncInterval = 100 * time.Millisecond
	// redialMin and redialMax bound the exponential backoff between connection
	// attempts to an entry.
	redialMin = 20 * time.Millisecond
	redialMax = 400 * time.Millisecond
	// dialSpread is the time over which an agent spreads its first connections, once it
	// has a session.
	dialSpread = 200 * time.Millisecond
	// seedDelay is how long an agent without a session waits for one seed before it tries
	// the next one beside it.
	seedDelay = 150 * time.Millisecond
	// surplusDelay is how long a session that is no longer wanted is kept.
	surplusDelay = 5 * time.Second
	// retireDelay is how long a session stays open after its end was announced, so that
	// orders in transit arrive.
	retireDelay = 500 * time.Millisecond
	// searchInterval is how often the store is queried while no session is open.
	searchInterval = time.Second
)

// link maintains the session with the entry at one address.
type link struct {
	cancel context.CancelFunc
	// surplusSince is since when the entry is not wanted, and retiredAt when the end of
	// the session was announced. Zero means neither.
	surplusSince time.Time
	retiredAt    time.Time
}

// updateEntries processes what orders say of the entries.
func (a *Agent) updateEntries(now time.Time, orders ccwire.Orders) {
	if len(orders.Entries) == 0 && len(orders.EntriesJoined) == 0 && len(orders.EntriesLeft) == 0 {
		return
	}
	if len(orders.Entries) > 0 {
		a.subset.Replace(now, orders.Entries)
	}
	a.subset.Remove(now, orders.EntriesLeft...)
	a.subset.Add(orders.EntriesJoined...)
	a.syncLinks(now)
}

// syncLinks opens the sessions that are wanted and closes those that are no longer.
func (a *Agent) syncLinks(now time.Time) {
	a.syncedAt = now
	wanted := map[netip.AddrPort]bool{}
	for i, addr := range a.subset.Wanted(now) {
		wanted[addr] = true
		if l := a.links[addr]; l != nil {
			a.keepLink(now, l, addr)
			continue
		}
		delay := time.Duration(i) * seedDelay
		if len(a.sessions) > 0 {
			delay = rand.N(dialSpread)
		}
		ctx, cancel := context.WithCancel(a.ctx)
		a.links[addr] = &link{cancel: cancel}
		a.spawn(func() { a.maintainSession(ctx, addr, delay) })
	}
	for addr, l := range a.links {
		if !wanted[addr] {
			a.closeSurplus(now, l, addr)
		}
	}
}

// keepLink takes back the closing of a session that is wanted again.
func (a *Agent) keepLink(now time.Time, l *link, addr netip.AddrPort) {
	if s := a.sessionAt(addr); s != nil && !l.retiredAt.IsZero() {
		a.manager.Restore(now, s.entry)
	}
	l.surplusSince, l.retiredAt = time.Time{}, time.Time{}
}

// closeSurplus closes a session that is not wanted, in steps: the entry is told, its runs
// end, and the connection is closed.
func (a *Agent) closeSurplus(now time.Time, l *link, addr netip.AddrPort) {
	if l.surplusSince.IsZero() {
		l.surplusSince = now
	}
	s := a.sessionAt(addr)
	switch {
	case s == nil:
	case now.Sub(l.surplusSince) < surplusDelay:
		return
	case l.retiredAt.IsZero():
		l.retiredAt = now
		a.manager.Retire(now, s.entry)
		return
	case now.Sub(l.retiredAt) < retireDelay || a.manager.RunsOf(s.entry) > 0:
		return
	}
	l.cancel()
	delete(a.links, addr)
}

// sessionAt returns the open session with the entry at addr, or nil.
func (a *Agent) sessionAt(addr netip.AddrPort) *session {
	for _, s := range a.sessions {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// maintainSession keeps a session with the entry at addr open until ctx is done, and
// reconnects with backoff.
func (a *Agent) maintainSession(ctx context.Context, addr netip.AddrPort, delay time.Duration) {
	backoff := redialMin
	for sleep(ctx, delay) {
		if a.runSession(ctx, addr) {
			backoff = redialMin
		} else if ctx.Err() == nil {
			a.do(func(now time.Time) { a.subset.Unreachable(now, addr) })
		}
		delay = backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, redialMax)
	}
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// searchDirectory looks up entries in the store while no session is open.
func (a *Agent) searchDirectory() {
	for sleep(a.ctx, searchInterval) {
		noSessions := make(chan bool, 1)
		a.do(func(time.Time) { noSessions <- len(a.sessions) == 0 })
		select {
		case none := <-noSessions:
			if !none {
				continue
			}
		case <-a.ctx.Done():
			return
		}
		entries, err := a.cfg.Directory.Entries(a.ctx)
		if err != nil {
			a.cfg.Log.Info("Cannot list entries in the store.", "error", err.Error())
		}
		a.addEntries(entries)
	}
}

func (a *Agent) addEntries(entries []ccsubset.Entry) {
	a.do(func(now time.Time) {
		a.subset.Add(entries...)
		a.syncLinks(now)
	})
}
