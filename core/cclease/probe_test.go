package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a late start that a restarted worker accepts because no call of its agent
// has reached it yet.
func TestProbes(t *testing.T) {
	// lose loses the worker while the start of a run is in flight.
	lose := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.now = epoch.Add(maxCallDelay)
		f.manager.Heartbeat(f.now, f.worker())
		f.keepAlive(entryA, entryB)
		late := f.orderStart(entryA, "j1", 1000).Starts[0]
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusConnRefused}})
		f.manager.StartCompleted(f.now, late, Response{Status: StatusNoResponse})
		f.take()
		f.pendingPolls = nil
		return f
	}
	probes := func(f *fixture) []PollCall {
		var calls []PollCall
		for _, call := range f.take().Polls {
			if call.Probe {
				calls = append(calls, call)
			}
		}
		return calls
	}
	t.Run("a lost worker is called under its ID while a start may still arrive", func(t *testing.T) {
		f := lose(t)
		for range 100 {
			f.advance(probeInterval)
			calls := probes(f)
			if len(calls) != 1 || calls[0].Worker != "w-1" || calls[0].LeaseEnd != 0 || calls[0].Ack != 0 {
				t.Fatalf("probes: got %+v, want one of w-1 without a lease and an acknowledgment", calls)
			}
			f.completePoll(calls[0], PollResponse{Response: Response{Status: StatusConnRefused}})
		}
		f.advance(maxCallDelay)
		if calls := probes(f); len(calls) != 0 {
			t.Errorf("probes after the start can no longer arrive: got %d, want 0", len(calls))
		}
	})
	t.Run("a lost answer does not delay the next probe, and few are in flight", func(t *testing.T) {
		f := lose(t)
		for i := range maxProbes + 2 {
			f.advance(probeInterval)
			want := 0
			if i < maxProbes {
				want = 1
			}
			if calls := probes(f); len(calls) != want {
				t.Errorf("probe %d without an answer before: got %d, want %d", i+1, len(calls), want)
			}
		}
	})
	t.Run("a late start that the worker lists before its first heartbeat is stopped", func(t *testing.T) {
		f := lose(t)
		f.advance(probeInterval)
		f.completePoll(probes(f)[0], PollResponse{
			Response: Response{Status: StatusOK, StartTime: f.now}, Running: []ActiveRun{{Task: ccwire.TaskRef{Job: "j1"}, Run: 1}},
		})
		wantStops(t, f.take(), "j1")
		f.keepAlive(entryA)
		if out := f.orderStart(entryA, "j2", 1000); len(out.Starts) != 0 {
			t.Errorf("starts before the first heartbeat: got %+v, want none", out.Starts)
		}
		restarted := f.worker()
		restarted.StartTime = f.now
		f.manager.Heartbeat(f.now, restarted)
		if f.manager.ActiveRuns() != 1 || !f.manager.heartbeatSeen {
			t.Error("the first heartbeat is not that of the worker which answered")
		}
	})
	t.Run("the incarnation that was lost does not return by an answer", func(t *testing.T) {
		f := lose(t)
		f.advance(probeInterval)
		f.completePoll(probes(f)[0], PollResponse{Response: Response{Status: StatusOK, StartTime: f.worker().StartTime}})
		if f.manager.worker != nil {
			t.Error("the worker is known again")
		}
	})
	t.Run("lost answers to probes do not make the worker unresponsive", func(t *testing.T) {
		f := newFixture(t)
		unansweredStart(f)
		for range maxMissedPolls + 2 {
			f.advance(probeInterval)
			f.completePoll(probes(f)[0], PollResponse{Response: Response{Status: StatusNoResponse}})
		}
		if reason := f.manager.closedReason(f.now); reason != "" {
			t.Errorf("no start is accepted: %s", reason)
		}
	})
	t.Run("a list that a later one has overtaken does not bring an ended run back", func(t *testing.T) {
		f := newFixture(t)
		unansweredStart(f)
		f.completePoll(f.nextPoll(), okPollResponse(nil, nil))
		f.pendingPolls = nil
		f.startRunning(entryA, "j2")
		f.advance(probeInterval)
		probe := probes(f)[0]
		ended := okPollResponse(nil, []EndedRun{{Number: 1, Task: ccwire.TaskRef{Job: "j2"}, Run: 1, End: ccwire.RunDone}})
		ended.Clock = 2 * time.Second
		f.completePoll(f.nextPoll(), ended)
		overtaken := okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "j2"}, Run: 1}}, nil)
		overtaken.Clock = ended.Clock - time.Millisecond
		f.completePoll(probe, overtaken)
		if f.manager.runs[ccwire.TaskRef{Job: "j2"}] != nil {
			t.Error("the run is active again")
		}
	})
	t.Run("a worker that no late start can reach is not probed", func(t *testing.T) {
		f := newFixture(t)
		f.now = epoch.Add(maxCallDelay)
		f.manager.Heartbeat(f.now, f.worker())
		f.keepAlive(entryA, entryB)
		f.startRunning(entryA, "j1")
		f.advance(probeInterval)
		f.orderStart(entryA, "j2", 1000)
		f.advance(probeInterval)
		if calls := probes(f); len(calls) != 0 {
			t.Errorf("probes beside a run and a start in flight: got %d, want 0", len(calls))
		}
	})
}
