package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// Guards against a rerun beside a run of an entry that is silent: an agent whose ticks were late
// renewed the lease for longer than the entry counts on.
func TestLateTicksDoNotProlongTheLease(t *testing.T) {
	const step = 5 * time.Millisecond
	for _, c := range []struct {
		name string
		// ticks is the time between two ticks.
		ticks time.Duration
		// frozen is how long the process stands still, from 350 ms after the entry was heard.
		frozen time.Duration
	}{
		{"ticks in time", 10 * time.Millisecond, 0},
		{"ticks 90 ms late", 115 * time.Millisecond, 0},
		{"ticks 300 ms late", 325 * time.Millisecond, 0},
		{"no ticks", time.Hour, 0},
		{"the first event after a freeze", time.Hour, 200 * time.Millisecond},
	} {
		for _, renewal := range []string{"polls", "starts", "heartbeats"} {
			t.Run(c.name+", "+renewal, func(t *testing.T) {
				f := newFixture(t)
				heard := f.now
				f.startRunning(entryA, "long")
				f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
				granted, renewed, ticked := time.Duration(0), f.now, f.now
				for n := uint64(2); f.now.Sub(heard) < RunsExpireAfter; n++ {
					f.now = f.now.Add(step)
					if f.now.Sub(heard) == 350*time.Millisecond {
						f.now = f.now.Add(c.frozen)
					}
					if f.now.Sub(ticked) >= c.ticks {
						ticked = f.now
						f.manager.Tick(f.now)
					}
					if f.manager.runs[ccwire.TaskRef{Job: "long"}] == nil {
						break
					}
					switch renewal {
					case "starts":
						f.sendOrders(entryB, ccwire.Orders{Starts: []ccwire.StartOrder{{
							Task: ccwire.TaskRef{Job: "short", Index: int(n)}, Need: ccresource.Amount{CPU: 10},
						}}})
					case "heartbeats":
						heartbeat := f.worker()
						heartbeat.Sequence = n
						f.manager.Heartbeat(f.now, heartbeat)
					}
					if latest, sent := f.answerCalls(); latest > granted {
						granted, renewed = latest, sent
					}
				}
				if lasted := f.now.Sub(heard); lasted < LeaseDuration {
					t.Errorf("the run counts as over after %v, before the end of its lease", lasted)
				}
				if after := renewed.Sub(heard); after > OwnerTimeout+StopGrace {
					t.Errorf("the lease is renewed %v after the entry was heard, and lasts until %v after it; runs expire after %v",
						after, f.manager.leaseEnd.Sub(heard), RunsExpireAfter)
				}
			})
		}
	}
	// Guards against a lease that is not renewed for the runs of an entry that is heard again.
	t.Run("an entry that is heard in time renews the lease", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "long")
		f.now = f.now.Add(OwnerTimeout + StopGrace + time.Millisecond)
		f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
		if call := f.nextPoll(); call.LeaseEnd != 0 {
			t.Errorf("lease is renewed until %v for a silent entry", call.LeaseEnd)
		}
		f.keepAlive(entryA)
		f.completePoll(PollCall{Worker: "w-1", Wait: pollWait, Sent: f.now}, okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
		if call := f.nextPoll(); call.LeaseEnd == 0 {
			t.Error("lease is not renewed once the entry is heard")
		}
	})
	t.Run("a late stop is due from when the entry was silent, whatever is heard later", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "long")
		f.take()
		f.advance(OwnerTimeout + StopGrace + time.Millisecond)
		f.keepAlive(entryA, entryB)
		f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
		if call := f.nextPoll(); call.LeaseEnd != 0 {
			t.Errorf("lease is renewed until %v while a stop is overdue", call.LeaseEnd)
		}
	})
	t.Run("a new incarnation of the entry does not delay the stop", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "long")
		f.take()
		f.now = f.now.Add(OwnerTimeout + StopGrace + time.Millisecond)
		f.openSession(ccnode.Ref{ID: entryA.ID, Incarnation: 2})
		f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
		if call := f.nextPoll(); call.LeaseEnd != 0 {
			t.Errorf("lease is renewed until %v while a stop is overdue", call.LeaseEnd)
		}
	})
}

// answerCalls has the worker do all starts, answer all polls with a list that has the runs, and
// answer no stop. It returns the end of the longest lease in the calls, and when it was sent.
func (f *fixture) answerCalls() (leaseEnd time.Duration, sent time.Time) {
	f.t.Helper()
	out := f.take()
	for _, call := range out.Starts {
		if call.LeaseEnd > leaseEnd {
			leaseEnd, sent = call.LeaseEnd, call.Sent
		}
		f.manager.StartCompleted(f.now, call, Response{Status: StatusOK})
	}
	for _, call := range out.Stops {
		f.manager.StopCompleted(f.now, call, Response{Status: StatusNoResponse})
	}
	f.take()
	calls := f.pendingPolls
	f.pendingPolls = nil
	for _, call := range calls {
		if call.LeaseEnd > leaseEnd {
			leaseEnd, sent = call.LeaseEnd, call.Sent
		}
		response := okPollResponse(nil, nil)
		for _, r := range f.manager.runList {
			response.Running = append(response.Running, ActiveRun{Task: r.task, Run: r.number})
		}
		f.completePoll(call, response)
	}
	return leaseEnd, sent
}
