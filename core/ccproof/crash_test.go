package ccproof

import (
	"testing"
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

const (
	// crashDelay is how long after its start the task crashes its worker.
	crashDelay = 12 * time.Millisecond
	// maxStartsAfterCrashes is how many starts of a task are allowed after it has crashed
	// three workers.
	maxStartsAfterCrashes = 2
)

// submitCrashing sends a job of one task that crashes each worker that starts it, with a
// minute to run. It returns the number of crashes and the answer's state so far.
func (w *replayWorld) submitCrashing(e *replayEntry, id string, token uint64, crashes *int, state *ccreplay.State) {
	task := ccwire.TaskRef{Job: id}
	for _, a := range w.agents {
		worker := a.worker
		worker.onStart = func(started ccwire.TaskRef) {
			if started == task {
				w.schedule(crashDelay, func() {
					*crashes++
					worker.crash()
				})
			}
		}
	}
	e.callers[token] = func(answer ccreplay.Answer) { *state = answer.State }
	e.deliver(func() {
		e.scheduler.Submit(w.now, ccreplay.Request{
			Token: token, ID: id, Tasks: 1, Need: ccresource.Amount{CPU: 1000}, Estimate: 20 * time.Second,
			Route:    ccroute.Route{Name: "r", Service: "s", MaxAttempts: 3, Stretch: 1.6, Allowance: 60 * time.Millisecond},
			Deadline: w.now.Add(time.Minute),
		})
	})
}

// Guards against one task that crashes worker after worker until its job's deadline.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for seed := range uint64(20) {
		w := newReplayWorld(t, seed)
		crashes, state := 0, ccreplay.State("")
		w.schedule(time.Second, func() { w.submitCrashing(w.entries[0], "job", 1, &crashes, &state) })
		w.schedule(0, w.tick)
		w.schedule(time.Millisecond, w.reconnect)
		w.simulate(30 * time.Second)
		if crashes > 3+maxStartsAfterCrashes || state != ccreplay.StateFailed {
			t.Errorf("seed %d: got %d crashes and state %q, want %d at most and failed", seed, crashes, state, 3+maxStartsAfterCrashes)
		}
	}
}

// Guards against a task that gets a fresh count of crashes because its caller sends the
// job to another entry.
func TestCrashesCountAcrossEntries(t *testing.T) {
	for seed := range uint64(20) {
		w := newReplayWorld(t, seed)
		crashes, state := 0, ccreplay.State("")
		w.schedule(time.Second, func() { w.submitCrashing(w.entries[0], "job", 1, &crashes, &state) })
		w.schedule(1100*time.Millisecond, func() { w.killEntry(w.entries[0]) })
		w.schedule(3*time.Second, func() { w.submitCrashing(w.entries[1], "job", 2, &crashes, &state) })
		w.schedule(0, w.tick)
		w.schedule(time.Millisecond, w.reconnect)
		w.simulate(30 * time.Second)
		if crashes > 3+maxStartsAfterCrashes || state != ccreplay.StateFailed {
			t.Errorf("seed %d: got %d crashes and state %q, want %d at most and failed", seed, crashes, state, 3+maxStartsAfterCrashes)
		}
	}
}
