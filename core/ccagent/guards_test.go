package ccagent

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// TestGuards brings about what each guard is for, with the guard on and off.
func TestGuards(t *testing.T) {
	cases := []struct {
		name string
		off  Guards
		code ccwire.TaskCode // Empty when the dispatch is ignored whole.
		make func(b *bench) ccwire.Dispatch
	}{
		{"incarnation", Guards{SkipIncarnation: true}, "", func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			msg.Agent.Incarnation--
			return msg
		}},
		{"session", Guards{SkipSession: true}, "", func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.hello(entryA, 2)
			return msg
		}},
		{"echo", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.advance(echoLimit + time.Millisecond)
			return msg
		}},
		{"echo from before a pause", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.now = b.now.Add(pauseLimit + time.Millisecond)
			return msg
		}},
		{"version", Guards{SkipVersion: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.setView(6, false)
			return msg
		}},
		{"domain out", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *bench) ccwire.Dispatch {
			b.setView(6, true)
			msg := b.dispatch("j", 0)
			msg.Version = 6
			return msg
		}},
		{"leaving", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *bench) ccwire.Dispatch {
			b.table.Leave(b.now)
			return b.dispatch("j", 0)
		}},
		{"fence", Guards{SkipFence: true}, ccwire.CodeFenced, func(b *bench) ccwire.Dispatch {
			b.recover("j", 4)
			return b.dispatch("j", 0)
		}},
		{"tombstone", Guards{SkipTombstone: true}, ccwire.CodeFenced, func(b *bench) ccwire.Dispatch {
			b.revoke(0, ccwire.CodeFenced)
			return b.dispatch("j", 0)
		}},
		{"slots", Guards{SkipSlots: true}, ccwire.CodeFull, func(b *bench) ccwire.Dispatch {
			b.table.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
			return b.dispatch("j", 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name+" on", func(t *testing.T) {
			b := newBench(t, Config{})
			result := b.table.Dispatch(b.now, entryA, c.make(b))
			if c.code != "" {
				b.assertBounce(result, c.code)
			} else if !result.Ignored {
				t.Fatalf("the dispatch was not ignored: %+v", result)
			}
		})
		t.Run(c.name+" off", func(t *testing.T) {
			b := newBench(t, Config{Guards: c.off})
			b.assertStarts(b.table.Dispatch(b.now, entryA, c.make(b)), 0)
		})
	}
}

func TestOnce(t *testing.T) {
	again := func(b *bench) DispatchResult {
		msg := b.dispatch("j", 0)
		msg.Jobs[0].Tasks[0].Attempt = 2
		return b.table.Dispatch(b.now, entryA, msg)
	}
	t.Run("a repeat is answered from memory", func(t *testing.T) {
		b := newBench(t, Config{})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(again(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeRunning})
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
		b.assertStarts(again(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
	})
	t.Run("without the guard it starts twice", func(t *testing.T) {
		b := newBench(t, Config{Guards: Guards{SkipDuplicate: true}})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(again(b), 0)
	})
	t.Run("a stale repeat of a started task is not said to be unstarted", func(t *testing.T) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg), 0)
		b.advance(2 * echoLimit)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 1, Code: ccwire.CodeRunning})
	})
	t.Run("a late copy of a bounced attempt is fenced", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.table.Dispatch(b.now, entryA, b.dispatch("k", 0))
		msg := b.dispatch("j", 0)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeFull)
		b.finish("k", 0, ccwire.CodeDone, "")
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeFenced)
		b.assertStarts(again(b), 0)
	})
	t.Run("a refused task may start under a later attempt", func(t *testing.T) {
		b := newBench(t, Config{})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.finish("j", 0, ccwire.CodeRefused, "")
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFenced)
		b.assertStarts(again(b), 0)
	})
	t.Run("a revoke of a started task tells its result", func(t *testing.T) {
		b := newBench(t, Config{})
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.revoke(0, ccwire.CodeDone)
		b.revoke(1, ccwire.CodeRunning)
	})
	t.Run("a revoke of an earlier life proves nothing", func(t *testing.T) {
		b := newBench(t, Config{})
		earlier := agentRef
		earlier.Incarnation--
		reply, err := b.table.Revoke(b.now, ccwire.Revoke{Agent: earlier, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil || reply.Jobs[0].Tasks[0].Code != ccwire.CodeLost || reply.Agent != agentRef {
			t.Fatalf("got %+v, %v, want lost", reply, err)
		}
	})
}

func TestOldEcho(t *testing.T) {
	idle := func(t *testing.T, quiet, confirmed time.Duration) (*bench, ccwire.Dispatch) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.advance(quiet)
		b.table.ConfirmView(b.now.Add(-confirmed))
		return b, msg
	}
	t.Run("starts while the view is known to be new", func(t *testing.T) {
		b, msg := idle(t, 10*time.Second, confirmLimit)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg), 0)
	})
	t.Run("goes back when the view may be old", func(t *testing.T) {
		b, msg := idle(t, 10*time.Second, confirmLimit+time.Millisecond)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("goes back when it is too old for any view", func(t *testing.T) {
		b, msg := idle(t, 31*time.Second, 0)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("goes back after a pause", func(t *testing.T) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.now = b.now.Add(2 * time.Second)
		b.table.ConfirmView(b.now)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
}
