package cclimit

import (
	"runtime"
	"time"
)

// collectInterval is the least time between two collections that are asked for, so that clients
// can't keep the collector busy all the time.
const collectInterval = 20 * time.Millisecond

// collectLoop collects garbage when released memory takes too much of a share, until the gate is
// closed.
func (g *Gate) collectLoop() {
	for {
		select {
		case <-g.collectWanted:
		case <-g.end:
			return
		}
		for g.beginCollection() {
			g.collections.Add(1)
			runtime.GC()
			g.mu.Lock()
			g.table.EndCollection()
			g.mu.Unlock()
			time.Sleep(collectInterval)
		}
	}
}

func (g *Gate) beginCollection() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.table.NeedsCollection() {
		return false
	}
	g.table.BeginCollection()
	return true
}

// collectIfNeeded wakes the goroutine that collects. g.mu must be held.
func (g *Gate) collectIfNeeded() {
	if !g.table.NeedsCollection() {
		return
	}
	select {
	case g.collectWanted <- struct{}{}:
	default:
	}
}

// marker is an object that nothing refers to. Its size keeps the runtime from placing it beside
// others, which would keep it alive.
type marker struct{ _ [64]byte }

// watchCollections tells the table of each collection, until the gate is closed.
func (g *Gate) watchCollections() {
	runtime.AddCleanup(new(marker), func(g *Gate) {
		select {
		case <-g.end:
			return
		default:
		}
		g.mu.Lock()
		g.table.Collected()
		g.mu.Unlock()
		g.watchCollections()
	}, g)
}
