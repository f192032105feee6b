package ccproof

import (
	"testing"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccwire"
)

// Guards against a restarted worker that executes a start of its agent's earlier
// incarnation, though the agent has called it: the clock was set back in between, so that
// the agent's first token is lower than that of the start.
func TestStartBeforeASetBackClockIsRefused(t *testing.T) {
	w := newReplayWorld(t, 1)
	a := w.agents[0]
	var late cclease.StartCall
	w.schedule(0, w.tick)
	w.schedule(time.Millisecond, w.reconnect)
	w.schedule(time.Second, func() {
		w.killAgent(a)
		a.manager = cclease.NewManager(cclease.Config{Token: 1_000_000_000, StartTime: w.now})
		w.heartbeat(a, a.manager)
	})
	w.schedule(2*time.Second, func() {
		late = cclease.StartCall{Worker: a.worker.id, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, Token: 1_000_000_000, LeaseEnd: time.Hour}
		w.killAgent(a)
		a.manager = cclease.NewManager(cclease.Config{Token: 995_000_000, StartTime: w.now})
		a.worker.crash()
		w.heartbeat(a, a.manager)
	})
	w.schedule(4*time.Second, func() {
		if response := a.worker.start(late, callOrigin{agent: a}); response.Status != cclease.StatusFenced {
			t.Errorf("start of the earlier incarnation: got %q, want %q", response.Status, cclease.StatusFenced)
		}
	})
	w.simulate(5 * time.Second)
}
