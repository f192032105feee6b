package ccproof

import "testing"

// searchGuards lists guards and the search that finds a violation when one is put off. CI tries
// the given number of schedules from the first seed on, and stops at the first that is found.
var searchGuards = []struct {
	name             string
	putOff           func(*searchConfig)
	search           func() searchConfig
	class            violationClass
	first, schedules uint64
}{
	{"session order", func(c *searchConfig) { c.off.sessionOrder = true }, sessionSearch, classSession, 0, 40},
	{"run identity", func(c *searchConfig) { c.off.orderIdentity = true }, repeatSearch, classStaleEnd, 0, 60},
	{"fencing", func(c *searchConfig) { c.off.fencing = true }, func() searchConfig { return closeWindow(crashSearch()) }, classLateUnfenced, 0, 20},
	{"probes", func(c *searchConfig) { c.off.probes = true }, crashSearch, classLateFirst, 0, 40},
	{"token and run number", func(c *searchConfig) { c.off.worker.token, c.off.worker.run = true, true }, lateSearch, classLateSame, 220, 20},
	{"claims", func(c *searchConfig) { c.off.claims = true }, foreignSearch, classAgent, 0, 10},
	{"incarnations", func(c *searchConfig) { c.off.incarnations = true }, muteSearch, classAgent, 0, 20},
	{"incarnations of calls in flight", func(c *searchConfig) { c.off.incarnations = true }, quickReturnSearch, classLateFirst, 30, 10},
	{"overdue stops", func(c *searchConfig) { c.off.overdueStops = true }, stopSearch, classAgent, 10, 10},
	{"silent entries", func(c *searchConfig) { c.off.silentEntries = true }, func() searchConfig { return slowSearch(true) }, classOutlived, 0, 20},
	{"silent entries, until a task runs twice", func(c *searchConfig) { c.off.silentEntries = true }, silenceSearch, classAgent, 0, 20},
	{"closed callers", func(c *searchConfig) { c.off.closedCallers = true }, resetSearch, classTwoEntries, 0, 10},
	{"lease", func(c *searchConfig) { c.off.worker.lease = true }, entrySearch, classEntry, 120, 20},
}

// TestSearchEachGuard guards against a search that finds nothing: it has to find a violation
// when a guard is put off, in a schedule that has none of the kind with the guard.
func TestSearchEachGuard(t *testing.T) {
	for _, g := range searchGuards {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			cfg, first, schedules := g.search(), g.first, g.schedules
			if *searchSeeds > 0 {
				first, schedules = *searchFirst, uint64(*searchSeeds)
			}
			off := cfg
			g.putOff(&off)
			for seed := first; seed < first+schedules; seed++ {
				w := newSearchWorld(off, seed)
				if w.run() == "" || w.decisions.class != g.class {
					continue
				}
				if on := newSearchWorld(cfg, seed); on.run() != "" && on.decisions.class == g.class {
					continue
				}
				t.Logf("seed %d: %s", seed, w.violation)
				return
			}
			t.Errorf("no violation of class %q in %d schedules", g.class, schedules)
		})
	}
}
