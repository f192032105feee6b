package ccproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccwire"
)

// kindLabels are the labels that workers have and jobs ask for.
var kindLabels = []string{"a", "b"}

// labelOf returns the label that a job asks for.
func labelOf(job string) string { return kindLabels[xxhash.Sum64String(job)%uint64(len(kindLabels))] }

// checkLabel records a violation if a worker starts a task whose label it lacks.
func (w *replayWorld) checkLabel(m *modelWorker, task ccwire.TaskRef) {
	if w.kinds && w.violation == "" && m.label != labelOf(task.Job) {
		w.violation = fmt.Sprintf("worker %s of kind %s starts %v, which needs %s, at %v", m.id, m.label, task, labelOf(task.Job), w.now.Sub(w.start))
	}
}

// newKindWorld returns a world in which workers return as another kind while an entry or an agent
// stands still. Calls are not late: a start that a worker receives seconds later, in another
// life, is KNOWN-RED.txt, entry 1.
func newKindWorld(t *testing.T, seed uint64) *replayWorld {
	w := newReplayWorld(t, seed)
	w.kinds = true
	w.calls.late = 0
	for i, a := range w.agents {
		a.worker.label = kindLabels[i%len(kindLabels)]
	}
	for range 25 {
		w.schedule(w.between(500*time.Millisecond, 16*time.Second), w.returnAsAnotherKind)
	}
	return w
}

// returnAsAnotherKind freezes an entry, an agent or neither, and has a worker crash and return
// once or twice meanwhile.
func (w *replayWorld) returnAsAnotherKind() {
	a, e := w.agents[w.rng.IntN(len(w.agents))], w.entries[w.rng.IntN(len(w.entries))]
	freeze := w.between(50*time.Millisecond, 600*time.Millisecond)
	switch w.rng.IntN(4) {
	case 0:
	case 1:
		a.frozenUntil = w.now.Add(freeze)
	default:
		e.frozenUntil = w.now.Add(freeze)
	}
	crash := func() {
		a.worker.crashFor(w.between(5*time.Millisecond, freeze), func() {
			manager := a.manager
			a.deliver(func() {
				if a.manager == manager && !a.worker.down {
					a.worker.heartbeats++
					manager.Heartbeat(w.now, a.worker.self())
				}
			})
		})
	}
	w.schedule(w.between(0, 20*time.Millisecond), crash)
	if w.rng.IntN(4) == 0 {
		w.schedule(freeze/2, crash)
	}
}

// Guards against a start on a worker that came back as another kind, and lacks the label that the
// task needs, while an entry or an agent stood still.
func TestStartsHaveTheirLabel(t *testing.T) {
	// A third of the schedules, since the package has little time left under the race detector.
	schedules, starts := *replaySeeds/3, 0
	for seed := range uint64(schedules) {
		w := newKindWorld(t, seed)
		if violation := w.run(20 * time.Second); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		starts += w.starts
	}
	if starts < 100*schedules {
		t.Errorf("only %d starts in %d schedules, too few to be meaningful", starts, schedules)
	}
	t.Run("orders that name no worker are found", func(t *testing.T) {
		for seed := range uint64(schedules) {
			w := newKindWorld(t, seed)
			w.unnamed = true
			if violation := w.run(20 * time.Second); violation != "" {
				t.Logf("seed %d: %s", seed, violation)
				return
			}
		}
		t.Errorf("no violation in %d schedules", schedules)
	})
}
