package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against entries that are told the description of a worker's earlier life, when an
// answer, which has none, made the present one known before its first heartbeat.
func TestHeartbeatDescribesAReturnedWorker(t *testing.T) {
	for _, c := range []struct {
		name  string
		probe bool
	}{{"an answer to a poll shows the restart", false}, {"a lost worker answers a probe", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			restarted := f.worker()
			restarted.StartTime, restarted.Service, restarted.Domain = f.now.Add(time.Millisecond), "batch", "south"
			if c.probe {
				f.startRunning(entryA, "j1")
				f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusConnRefused}})
			}
			call := PollCall{Worker: "w-1", Token: f.manager.token, Sent: f.now, Probe: c.probe}
			f.completePoll(call, PollResponse{Response: Response{Status: StatusOK, StartTime: restarted.StartTime}})
			f.take()
			f.manager.Heartbeat(f.now, restarted)
			var told *ccwire.WorkerInfo
			for _, r := range f.take().Reports {
				if r.Report.Worker != nil {
					told = r.Report.Worker
				}
			}
			if told == nil || told.Service != "batch" || told.Domain != "south" {
				t.Errorf("description sent to entries: got %+v, want that of the heartbeat", told)
			}
		})
	}
}
