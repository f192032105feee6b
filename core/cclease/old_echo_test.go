package cclease

import (
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// runWithOldEcho has an entry send orders that all echo the same report, for a while, and returns
// whether its session was closed.
func (f *fixture) runWithOldEcho(d, gap time.Duration) bool {
	echo := f.now.Sub(epoch).Milliseconds()
	for end := f.now.Add(d); f.now.Before(end); {
		f.seq++
		f.manager.OrdersReceived(f.now, entryA.ID, ccwire.Orders{Sequence: f.seq, EchoMS: echo})
		for next := f.now.Add(gap); f.now.Before(next); {
			f.advance(10 * time.Millisecond)
			if slices.Contains(f.take().CloseSessions, entryA.ID) {
				return true
			}
		}
	}
	return false
}

// Guards against a session that is closed since the agent's reports wait on the entry's link, while
// the entry's orders arrive.
func TestSessionOutlastsAnOldEcho(t *testing.T) {
	t.Run("of an entry whose orders arrive", func(t *testing.T) {
		if f := newFixture(t); f.runWithOldEcho(sessionTimeout+200*time.Millisecond, 130*time.Millisecond) {
			t.Error("the session was closed")
		}
	})
	t.Run("but not for good", func(t *testing.T) {
		if f := newFixture(t); !f.runWithOldEcho(oldEchoTimeout+200*time.Millisecond, 130*time.Millisecond) {
			t.Error("the session was not closed")
		}
	})
	t.Run("nor of a silent entry", func(t *testing.T) {
		if f := newFixture(t); !f.runWithOldEcho(sessionTimeout+100*time.Millisecond, 2*time.Second) {
			t.Error("the session was not closed")
		}
	})
	t.Run("and starts nothing with it", func(t *testing.T) {
		f := newFixture(t)
		echo := f.now
		f.runWithOldEcho(OwnerTimeout+50*time.Millisecond, 130*time.Millisecond)
		if out := f.ordersAt(echo, "j1"); len(out.Starts) != 0 {
			t.Errorf("started: %v", out.Starts)
		}
	})
}
