package cclimit

import (
	"time"

	"camphorcroft/core/cclimit"
	"camphorcroft/io/ccmetric"
)

// Export adds the gate's metrics to a set: limitRefusals by reason, limitUse and
// limitUncollected by class, and limitCollections.
func (g *Gate) Export(set *ccmetric.Set) {
	if g == nil {
		return
	}
	set.Func("limitRefusals", func() any { return g.refusals() })
	set.Func("limitUse", func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		use := map[string]cclimit.Use{}
		for _, class := range cclimit.Classes() {
			use[class.String()] = g.table.Use(class)
		}
		return use
	})
	set.Func("limitUncollected", func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		uncollected := map[string]int64{}
		for _, class := range cclimit.Classes() {
			uncollected[class.String()] = g.table.Uncollected(class)
		}
		return uncollected
	})
	set.Func("limitCollections", func() any { return g.collections.Load() })
}

func (g *Gate) refusals() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]uint64{}
	for _, reason := range cclimit.Reasons() {
		counts[reason.String()] = g.table.Refused(reason)
	}
	return counts
}

// report logs the refusals since the last line, at most once per logInterval. Idle
// connections that are closed are no refusals.
func (g *Gate) report(now time.Time) {
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.mu.Lock()
	var values []any
	for _, reason := range cclimit.Reasons() {
		count := g.table.Refused(reason)
		if added := count - g.logged[reason]; added > 0 && reason != cclimit.ReasonIdle {
			values = append(values, reason.String(), added)
		}
		g.logged[reason] = count
	}
	g.mu.Unlock()
	if len(values) > 0 {
		g.loggedAt = now
		g.log.Info("Clients are outside the limits.", values...)
	}
}
