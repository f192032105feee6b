package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a run at a new incarnation of the worker that is taken for over while its lease
// lasts, or never: its start had no answer, and the new incarnation answered nothing more. The
// start may have reached that one late, with the end of a lease on the clock of the former one.
func TestRunsAtANewIncarnationThatIsMuteEnd(t *testing.T) {
	for answers := 1; answers <= 3; answers++ {
		f := newFixture(t)
		start := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.now = f.now.Add(time.Millisecond)
		f.manager.StartCompleted(f.now, start, Response{Status: StatusNoResponse})
		restarted := f.now
		heard := f.now.Add(time.Millisecond)
		f.now = heard
		left := answers
		for {
			for _, call := range f.takePolls() {
				response := PollResponse{Response: Response{Status: StatusNoResponse}}
				if left--; left >= 0 {
					response = PollResponse{
						Response: Response{Status: StatusOK, Clock: f.now.Sub(restarted), StartTime: restarted},
						Running:  []ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}},
					}
				}
				f.completePoll(call, response)
			}
			lasted := f.now.Sub(heard)
			if f.manager.ActiveRuns() == 0 {
				if longest := time.Second * 100 / (100 - maxClockDrift); lasted < longest {
					t.Errorf("%d answers: the run counts as over after %v, its lease may last %v", answers, lasted, longest)
				}
				break
			}
			if lasted > 2*time.Second {
				t.Errorf("%d answers: the run is active after %v", answers, lasted)
				break
			}
			f.keepAlive(entryA, entryB)
			f.advance(20 * time.Millisecond)
		}
	}
}
