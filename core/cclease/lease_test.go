package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// Guards against a rerun beside a run whose stop is unanswered: starts of other entries renewed
// the lease, which holds all runs of the worker and was to end that one.
func TestStartsDoNotRenewTheLeaseWhileAStopIsOverdue(t *testing.T) {
	none, interval := Response{Status: StatusNoResponse}, 20*time.Millisecond
	for _, c := range []struct {
		name string
		// answer is that of the worker to a start.
		answer Response
	}{
		{"answered starts", Response{Status: StatusOK}},
		{"unanswered starts, which are repeated", none},
		{"starts that are repeated for their token", Response{Status: StatusFenced}},
		{"starts that are repeated for their run number", Response{Status: StatusStaleRun}},
		{"starts that the lease was too short for", Response{Status: StatusLeaseExpired}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.startRunning(entryA, "long")
			f.completePoll(f.nextPoll(), okPollResponse([]ActiveRun{{Task: ccwire.TaskRef{Job: "long"}, Run: 1}}, nil))
			f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("long")}})
			requested, latest := f.now, f.manager.leaseGranted
			for step := 0; ; step++ {
				if f.now.Sub(requested) > StopGrace+maxLeaseDuration+2*interval {
					t.Fatalf("the run counts as active %v after its stop", f.now.Sub(requested))
				}
				f.now = f.now.Add(interval)
				f.manager.Tick(f.now)
				if f.manager.runs[ccwire.TaskRef{Job: "long"}] == nil {
					break
				}
				f.sendOrders(entryB, ccwire.Orders{Starts: []ccwire.StartOrder{{Task: ccwire.TaskRef{Job: "short", Index: step}, Need: ccresource.Amount{CPU: 10}}}})
				out := f.take()
				for _, call := range out.Stops {
					f.manager.StopCompleted(f.now, call, none)
				}
				for _, call := range out.Starts {
					if f.now.Sub(requested) <= StopGrace {
						latest = max(latest, call.LeaseEnd)
					} else if call.LeaseEnd > latest {
						t.Fatalf("%v after the stop a start extends the lease by %v", f.now.Sub(requested), call.LeaseEnd-latest)
					}
					f.manager.StartCompleted(f.now, call, c.answer)
				}
				f.answerPolls(&latest, requested)
			}
			if lasted := f.now.Sub(requested); lasted < LeaseDuration {
				t.Errorf("the run counts as over after %v, before the end of its lease", lasted)
			}
		})
	}
	t.Run("starts are accepted under the lease that is in force", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "long")
		f.sendOrders(entryA, ccwire.Orders{Stops: []ccwire.RunRef{f.runOf("long")}})
		f.take()
		f.now = f.now.Add(StopGrace + time.Millisecond)
		f.keepAlive(entryA, entryB)
		if out := f.orderStart(entryB, "short", 1000); len(out.Starts) != 1 || out.Starts[0].LeaseEnd != f.manager.leaseGranted {
			t.Errorf("starts: got %+v, want one with the lease until %v", out.Starts, f.manager.leaseGranted)
		}
	})
}

// answerPolls answers all polls with a list that has the runs. Polls sent until StopGrace has
// passed since a stop may renew the lease.
func (f *fixture) answerPolls(latest *time.Duration, stopRequested time.Time) {
	f.t.Helper()
	f.take()
	calls := f.pendingPolls
	f.pendingPolls = nil
	for _, call := range calls {
		if call.Sent.Sub(stopRequested) <= StopGrace {
			*latest = max(*latest, call.LeaseEnd)
		} else if call.LeaseEnd > *latest {
			f.t.Fatalf("%v after the stop a poll extends the lease", call.Sent.Sub(stopRequested))
		}
		response := okPollResponse(nil, nil)
		for _, r := range f.manager.runList {
			response.Running = append(response.Running, ActiveRun{Task: r.task, Run: r.number})
		}
		f.completePoll(call, response)
	}
}

// Guards against a lease that outlasts what entries count on: the worker's clock was taken to
// run right since the last answer, and a slow one showed less when the lease began.
func TestLeaseAfterAnIdleTime(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Second, 20 * time.Second, 60 * time.Second} {
		f := newFixture(t)
		f.now = f.now.Add(idle)
		heartbeat := f.worker()
		heartbeat.Sequence++
		f.manager.Heartbeat(f.now, heartbeat)
		f.keepAlive(entryA, entryB)
		slow := time.Second + idle*(100-maxClockDrift)/100
		if call := f.orderStart(entryA, "j1", 1000).Starts[0]; call.LeaseEnd > slow+LeaseDuration {
			t.Errorf("after %v: the lease lasts %v by a slow clock, want %v at most", idle, call.LeaseEnd-slow, LeaseDuration)
		}
		if call := f.nextPoll(); call.LeaseEnd > slow+LeaseDuration {
			t.Errorf("after %v: the lease of a poll lasts %v by a slow clock, want %v at most", idle, call.LeaseEnd-slow, LeaseDuration)
		}
	}
}
