package ccagent

import (
	"testing"
	"time"

	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

func TestRecover(t *testing.T) {
	t.Run("lists started tasks and sends later results to the new driver", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.hello(entryB, 1)
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.assertReport(entryA, ccwire.TaskReport{Index: 0, Attempt: 1, Code: ccwire.CodeDone, Payload: "y"})
		reply := b.recover("j", 4)
		if len(reply.Jobs) != 1 || len(reply.Jobs[0].Tasks) != 2 || reply.Jobs[0].Tasks[0].Payload != "y" || reply.Jobs[0].Tasks[1].Code != ccwire.CodeRunning {
			t.Fatalf("got %+v", reply)
		}
		b.finish("j", 1, ccwire.CodeFailed, "")
		b.assertReport(entryA)
		report := b.assertReport(entryB, ccwire.TaskReport{Index: 1, Attempt: 1, Code: ccwire.CodeFailed})
		if report.Jobs[0].Claim != 4 {
			t.Fatalf("reported under claim %d, want 4", report.Jobs[0].Claim)
		}
	})
	t.Run("a job without started tasks is not listed", func(t *testing.T) {
		b := newTestbed(t, Config{})
		if reply := b.recover("j", 4); len(reply.Jobs) != 0 {
			t.Fatalf("got %+v", reply)
		}
	})
}

func TestBounds(t *testing.T) {
	t.Run("the oldest results are evicted first and count as lost", func(t *testing.T) {
		b := newTestbed(t, Config{MaxResultBytes: 10})
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "123456")
		b.finish("j", 1, ccwire.CodeDone, "123456")
		b.revoke(0, ccwire.CodeLost)
		b.revoke(1, ccwire.CodeDone)
	})
	t.Run("a full job table refuses starts, then fences", func(t *testing.T) {
		b := newTestbed(t, Config{MaxRecords: 8, Slots: 100})
		result := b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9))
		if len(result.Starts) != 6 || result.Bounced[0].Code != ccwire.CodeFull {
			t.Fatalf("started %d, bounced %v", len(result.Starts), result.Bounced)
		}
		_, err := b.controller.Recover(b.now, entryA, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: "k", Claim: 1}, {ID: "l", Claim: 1}, {ID: "m", Claim: 1}}})
		if err == nil {
			t.Fatal("recover succeeded without room for the fences")
		}
	})
	t.Run("jobs are removed when no task runs and the retention has ended", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0))
		b.advance(2 * time.Minute)
		b.revoke(0, ccwire.CodeRunning)
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.advance(2 * time.Minute)
		if b.controller.Records() != 0 || b.controller.ResultBytes() != 0 {
			t.Fatalf("%d records and %d bytes are left, want none", b.controller.Records(), b.controller.ResultBytes())
		}
	})
}

func TestPause(t *testing.T) {
	b := newTestbed(t, Config{})
	b.now = b.now.Add(3 * time.Second)
	b.controller.Tick(b.now)
	if pause, ok := b.controller.TakePause(); !ok || pause != 3*time.Second {
		t.Fatalf("got pause %s, %t, want 3s", pause, ok)
	}
	b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
}

func TestSlots(t *testing.T) {
	cases := []struct{ configured, slots, connections, want int }{
		{0, 8, 64, 8}, {4, 8, 64, 4}, {16, 8, 64, 8}, {0, 100, 64, 64}, {0, 0, 0, defaultSlots}, {3, 0, 0, 3},
	}
	for _, c := range cases {
		controller := NewController(Config{Self: agentRef, Service: "proof", Slots: c.configured, StartedAt: epoch})
		controller.SetView(epoch, &ccsettings.AgentView{Version: 1, Services: map[string]ccsettings.Service{
			"proof": {Slots: c.slots, Connections: c.connections},
		}})
		if got := controller.Slots(); got != c.want {
			t.Errorf("%+v: got %d slots", c, got)
		}
	}
}
