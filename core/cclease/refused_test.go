package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a refused connection of a call to a worker that has crashed, reported after
// the worker is back: the runs that its new incarnation has taken would count as lost.
func TestRefusedConnectionOfAnEarlierIncarnationEndsNoRun(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	stale := f.nextPoll()
	restarted := f.worker()
	f.now = f.now.Add(10 * time.Millisecond)
	restarted.StartTime = f.now
	f.restartWorker(restarted)
	f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: time.Second, StartTime: f.now}})
	f.now = f.now.Add(10 * time.Millisecond)
	f.startRunning(entryA, "j2")
	f.completePoll(stale, PollResponse{Response: Response{Status: StatusConnRefused}})
	if f.manager.runs[ccwire.TaskRef{Job: "j2"}] == nil {
		t.Error("j2 has ended, though the worker's new incarnation runs it")
	}
}
