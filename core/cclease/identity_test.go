package cclease

import (
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// TestNewEntryIsNotToldOfEarlierRuns guards against a task that runs twice at once: an
// entry that has started again takes the end of a run that it ordered before for the end of
// one that it has ordered since.
func TestNewEntryIsNotToldOfEarlierRuns(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "j1")
	f.manager.SessionOpened(f.now, ccnode.Ref{ID: entryA.ID, Incarnation: 2}, f.now)
	f.manager.StopCompleted(f.now, f.take().Stops[0], Response{Status: StatusOK})
	f.completePoll(f.nextPoll(), okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j1"}, Run: 1, End: ccwire.RunStopped}}))
	if f.manager.ActiveRuns() != 0 {
		t.Fatalf("active runs: got %d, want 0", f.manager.ActiveRuns())
	}
	if ends := endsIn(f.take(), entryA); len(ends) != 0 {
		t.Errorf("ends told to the new incarnation: got %+v, want none", ends)
	}
}
