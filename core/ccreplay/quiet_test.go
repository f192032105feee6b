package ccreplay

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
)

// quietAgents is the number of agents of the tests below.
const quietAgents = 5

// runQuiet lets time pass while the agents that sends accepts report every 50 ms, and returns the
// sessions that were closed.
func (f *fixture) runQuiet(d time.Duration, sends func(agent int) bool) []ccnode.ID {
	var closed []ccnode.ID
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(10 * time.Millisecond)
		for i := 1; i <= quietAgents; i++ {
			if f.now.Sub(epoch)%(50*time.Millisecond) == 0 && sends(i) {
				f.report(ccnode.ID(fmt.Sprintf("agent-%d", i)))
			}
		}
		closed = append(closed, f.take().CloseSessions...)
	}
	return closed
}

// Guards against an entry that closes all its sessions, and burdens its link with their return,
// when reports wait there behind a large response.
func TestCommonSilenceClosesNoSession(t *testing.T) {
	newWorld := func(t *testing.T) *fixture {
		f := newFixture(t, make([]string, quietAgents)...)
		f.submit("job", 2*quietAgents, func(r *Request) { r.Deadline = f.now.Add(time.Minute) })
		f.take()
		f.runQuiet(500*time.Millisecond, func(int) bool { return true })
		return f
	}
	t.Run("of all agents for 600 ms", func(t *testing.T) {
		f := newWorld(t)
		if closed := f.runQuiet(600*time.Millisecond, func(int) bool { return false }); len(closed) > 0 {
			t.Errorf("closed: %v", closed)
		}
	})
	t.Run("of all agents for good", func(t *testing.T) {
		f := newWorld(t)
		if closed := f.runQuiet(time.Second, func(int) bool { return false }); len(closed) == 0 {
			t.Error("no session was closed in a second")
		}
	})
	t.Run("but that of one agent does, when the others report together", func(t *testing.T) {
		f := newWorld(t)
		closed := f.runQuiet(600*time.Millisecond, func(agent int) bool {
			return agent != 2 && f.now.Sub(epoch)%(150*time.Millisecond) == 0
		})
		if len(closed) != 1 || closed[0] != "agent-2" {
			t.Errorf("closed: got %v, want agent-2", closed)
		}
	})
	t.Run("but that of one agent does", func(t *testing.T) {
		f := newWorld(t)
		closed := f.runQuiet(400*time.Millisecond, func(agent int) bool { return agent != 2 })
		if len(closed) != 1 || closed[0] != "agent-2" {
			t.Errorf("closed: got %v, want agent-2", closed)
		}
	})
}
