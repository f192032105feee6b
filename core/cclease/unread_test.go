package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// incomplete returns a response whose list of active runs lacks some.
func incomplete() PollResponse {
	response := okPollResponse(nil, nil)
	response.Incomplete = true
	return response
}

// Guards against a list with items that can't be read, from which a run seems to have
// ended that goes on.
func TestIncompleteListEndsNoRun(t *testing.T) {
	t.Run("an active run", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "a")
		for range 20 {
			f.advance(pollWait)
			f.keepAlive(entryA, entryB)
			f.completePoll(f.nextPoll(), incomplete())
		}
		if ends := endsIn(f.take(), entryA); len(ends) > 0 || f.manager.ActiveRuns() != 1 {
			t.Errorf("ends: got %v, want none", ends)
		}
		f.advance(pollWait)
		f.keepAlive(entryA, entryB)
		f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
		wantEnd(t, endsIn(f.take(), entryA), "a", ccwire.RunLost)
	})
	t.Run("a stopped run, until its stop has certainly taken effect", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "a")
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("a")}})
		for _, call := range f.take().Stops {
			f.manager.StopCompleted(f.now, call, Response{Status: StatusOK})
		}
		f.advance(maxStopDuration + 10*time.Millisecond)
		f.keepAlive(entryA, entryB)
		f.completePoll(f.nextPoll(), incomplete())
		f.completePoll(f.nextPoll(), incomplete())
		if ends := endsIn(f.take(), entryA); len(ends) > 0 {
			t.Errorf("ends: got %v, want none", ends)
		}
		f.advance(StopGrace)
		f.keepAlive(entryA, entryB)
		f.completePoll(f.nextPoll(), incomplete())
		f.completePoll(f.nextPoll(), incomplete())
		wantEnd(t, endsIn(f.take(), entryA), "a", ccwire.RunStopped)
	})
	t.Run("runs of an earlier incarnation of the agent, until their lease is over", func(t *testing.T) {
		for _, response := range []PollResponse{incomplete(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "z"}}}, nil)} {
			f := &fixture{t: t, manager: NewManager(Config{Token: 7, StartTime: epoch}), now: epoch}
			f.manager.Heartbeat(f.now, f.worker())
			polls, probes := 0, 0
			for start := f.now; f.now.Sub(start) <= maxLeaseDuration; f.advance(time.Millisecond) {
				f.take()
				for len(f.pendingPolls) > 0 {
					call := f.nextPoll()
					if call.Probe {
						probes++
					} else {
						polls++
					}
					if call.LeaseEnd != 0 {
						t.Fatal("lease is renewed")
					}
					f.completePoll(call, response)
				}
				if f.manager.priorRunsEnded() {
					t.Fatalf("runs count as ended after %v", f.now.Sub(start))
				}
			}
			if most := int(maxLeaseDuration/pollWait) + 2; polls > most {
				t.Errorf("polls: got %d, want %d at most", polls, most)
			}
			if most := int(maxLeaseDuration/probeInterval) + 2; probes > most {
				t.Errorf("probes: got %d, want %d at most", probes, most)
			}
			f.advance(pollWait)
			f.completePoll(f.nextPoll(), response)
			if !f.manager.priorRunsEnded() {
				t.Error("runs don't count as ended after their lease")
			}
		}
	})
}

// Guards against a worker that lists an end again and again, since it can't be
// acknowledged, and is polled without a pause.
func TestUnnumberedEnds(t *testing.T) {
	f := newFixture(t)
	f.startRunning(entryA, "a")
	response := okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "a"}, Run: 1}}, []EndedRun{{Task: ccwire.TaskRef{Job: "b"}, Run: 1, End: ccwire.RunDone}})
	response.EndsUnnumbered = true
	polls, probes := 0, 0
	for range 1000 {
		f.take()
		for len(f.pendingPolls) > 0 {
			call := f.nextPoll()
			if call.Probe {
				probes++
			} else {
				polls++
			}
			f.completePoll(call, response)
		}
		f.advance(time.Millisecond)
		f.keepAlive(entryA, entryB)
	}
	if most := int(time.Second/pollWait) + 3; polls > most || polls < most/2 {
		t.Errorf("polls in 1 s: got %d, want %d at most", polls, most)
	}
	if most := int(time.Second/probeInterval) + 1; probes > most {
		t.Errorf("probes in 1 s: got %d, want %d at most", probes, most)
	}
}
