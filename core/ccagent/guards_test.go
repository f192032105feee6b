package ccagent

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// TestGuards sends what each guard rejects, with the guard enabled and disabled.
func TestGuards(t *testing.T) {
	cases := []struct {
		name  string
		skip  Guards
		code  ccwire.TaskCode // Empty if the dispatch is ignored as a whole.
		build func(b *testbed) ccwire.Dispatch
	}{
		{"incarnation", Guards{SkipIncarnation: true}, "", func(b *testbed) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			msg.Agent.Incarnation--
			return msg
		}},
		{"session", Guards{SkipSession: true}, "", func(b *testbed) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.hello(entryA, 2)
			return msg
		}},
		{"echo", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *testbed) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.advance(maxEchoAge + time.Millisecond)
			return msg
		}},
		{"echo from before a pause", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *testbed) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.now = b.now.Add(pauseThreshold + time.Millisecond)
			return msg
		}},
		{"version", Guards{SkipVersion: true}, ccwire.CodeStale, func(b *testbed) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.setView(6, false)
			return msg
		}},
		{"domain out", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *testbed) ccwire.Dispatch {
			b.setView(6, true)
			msg := b.dispatch("j", 0)
			msg.Version = 6
			return msg
		}},
		{"leaving", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *testbed) ccwire.Dispatch {
			b.controller.Leave(b.now)
			return b.dispatch("j", 0)
		}},
		{"fence", Guards{SkipFence: true}, ccwire.CodeFenced, func(b *testbed) ccwire.Dispatch {
			b.recover("j", 4)
			return b.dispatch("j", 0)
		}},
		{"tombstone", Guards{SkipTombstone: true}, ccwire.CodeFenced, func(b *testbed) ccwire.Dispatch {
			b.revoke(0, ccwire.CodeFenced)
			return b.dispatch("j", 0)
		}},
		{"slots", Guards{SkipSlots: true}, ccwire.CodeFull, func(b *testbed) ccwire.Dispatch {
			b.controller.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
			return b.dispatch("j", 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name+" on", func(t *testing.T) {
			b := newTestbed(t, Config{})
			result := b.controller.Dispatch(b.now, entryA, c.build(b))
			if c.code != "" {
				b.assertBounce(result, c.code)
			} else if !result.Ignored {
				t.Fatalf("the dispatch was not ignored: %+v", result)
			}
		})
		t.Run(c.name+" off", func(t *testing.T) {
			b := newTestbed(t, Config{Guards: c.skip})
			b.assertStarts(b.controller.Dispatch(b.now, entryA, c.build(b)), 0)
		})
	}
}

func TestAtMostOnce(t *testing.T) {
	resend := func(b *testbed) DispatchResult {
		msg := b.dispatch("j", 0)
		msg.Jobs[0].Tasks[0].Attempt = 2
		return b.controller.Dispatch(b.now, entryA, msg)
	}
	t.Run("a duplicate is answered from the record", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(resend(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeRunning})
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
		b.assertStarts(resend(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
	})
	t.Run("a duplicate starts without the guard", func(t *testing.T) {
		b := newTestbed(t, Config{Guards: Guards{SkipDuplicate: true}})
		b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(resend(b), 0)
	})
	t.Run("a stale duplicate of a started task is not reported as not started", func(t *testing.T) {
		b := newTestbed(t, Config{})
		msg := b.dispatch("j", 0)
		b.assertStarts(b.controller.Dispatch(b.now, entryA, msg), 0)
		b.advance(2 * maxEchoAge)
		b.assertStarts(b.controller.Dispatch(b.now, entryA, msg))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 1, Code: ccwire.CodeRunning})
	})
	t.Run("a late copy of a bounced attempt is fenced", func(t *testing.T) {
		b := newTestbed(t, Config{Slots: 1})
		b.controller.Dispatch(b.now, entryA, b.dispatch("k", 0))
		msg := b.dispatch("j", 0)
		b.assertBounce(b.controller.Dispatch(b.now, entryA, msg), ccwire.CodeFull)
		b.finish("k", 0, ccwire.CodeDone, "")
		b.assertBounce(b.controller.Dispatch(b.now, entryA, msg), ccwire.CodeFenced)
		b.assertStarts(resend(b), 0)
	})
	t.Run("a refused task may start under a later attempt", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.finish("j", 0, ccwire.CodeRefused, "")
		b.assertBounce(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFenced)
		b.assertStarts(resend(b), 0)
	})
	t.Run("a revoke of a started task returns its state", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.revoke(0, ccwire.CodeDone)
		b.revoke(1, ccwire.CodeRunning)
	})
	t.Run("a revoke for an earlier incarnation is answered with lost", func(t *testing.T) {
		b := newTestbed(t, Config{})
		previous := agentRef
		previous.Incarnation--
		reply, err := b.controller.Revoke(b.now, ccwire.Revoke{Agent: previous, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil || reply.Jobs[0].Tasks[0].Code != ccwire.CodeLost || reply.Agent != agentRef {
			t.Fatalf("got %+v, %v, want lost", reply, err)
		}
	})
}

func TestOldEcho(t *testing.T) {
	afterIdle := func(t *testing.T, idle, viewAge time.Duration) (*testbed, ccwire.Dispatch) {
		b := newTestbed(t, Config{})
		msg := b.dispatch("j", 0)
		b.advance(idle)
		b.controller.ConfirmView(b.now.Add(-viewAge))
		return b, msg
	}
	t.Run("starts while the view is known to be current", func(t *testing.T) {
		b, msg := afterIdle(t, 10*time.Second, maxViewAge)
		b.assertStarts(b.controller.Dispatch(b.now, entryA, msg), 0)
	})
	t.Run("is bounced when the view may be outdated", func(t *testing.T) {
		b, msg := afterIdle(t, 10*time.Second, maxViewAge+time.Millisecond)
		b.assertBounce(b.controller.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("is bounced when it is too old even for a current view", func(t *testing.T) {
		b, msg := afterIdle(t, 31*time.Second, 0)
		b.assertBounce(b.controller.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("is bounced after a pause", func(t *testing.T) {
		b := newTestbed(t, Config{})
		msg := b.dispatch("j", 0)
		b.now = b.now.Add(2 * time.Second)
		b.controller.ConfirmView(b.now)
		b.assertBounce(b.controller.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
}
