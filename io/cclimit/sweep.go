package cclimit

import (
	"io"
	"time"

	"camphorcroft/core/cclimit"
)

// sweep closes connections that take too long, until the gate is closed.
func (g *Gate) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			late := now.UnixNano()-g.now.Load() > int64(lateSweep)
			g.now.Store(now.UnixNano())
			if !late {
				for _, c := range g.expired(now) {
					_ = c.Close()
				}
			}
			g.report(now)
		case <-g.end:
			return
		}
	}
}

// expired returns the connections that have taken too long.
func (g *Gate) expired(now time.Time) []io.Closer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var expired []io.Closer
	for _, class := range cclimit.Classes() {
		if timeouts := g.timeouts[class]; timeouts != nil {
			// The times in the table may be those of the sweep before.
			for _, c := range g.table.Expired(class, timeouts(), now.Add(-sweepInterval)) {
				expired = append(expired, c.Closer)
			}
		}
	}
	oldest := now.Add(-g.table.Limits().BodyTimeout).UnixNano()
	for c := range g.conns {
		if since := c.writingSince.Load(); since != 0 && since < oldest {
			g.table.Count(cclimit.ReasonProgress)
			g.table.Evict(&c.record)
			expired = append(expired, c.record.Closer)
		}
	}
	return expired
}
