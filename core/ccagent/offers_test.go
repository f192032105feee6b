package ccagent

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

func TestOffers(t *testing.T) {
	want := func(b *bench, entry ccnode.Ref, n int) {
		msg := b.dispatch("w")
		msg.WantSlots = n
		b.table.Dispatch(b.now, entry, msg)
	}
	offered := func(b *bench, entry ccnode.Ref) int {
		report, _ := b.table.TakeReport(b.now, entry)
		return report.OfferedSlots
	}
	t.Run("the next free slot is held for who wants it, for a short time", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.hello(entryB, 1)
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0))
		want(b, entryB, 1)
		b.finish("j", 0, ccwire.CodeDone, "")
		if got := offered(b, entryB); got != 1 {
			t.Fatalf("offered %d, want 1", got)
		}
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("k", 0)), ccwire.CodeFull)
		b.advance(offerHold)
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("l", 0)), 0)
	})
	t.Run("the offer is used by its entry", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		want(b, entryA, 1)
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
	})
	t.Run("entries that want take turns though one gets a report anyway", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.hello(entryB, 1)
		counts := make(map[ccnode.Ref]int)
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 1000))
		want(b, entryB, 100)
		want(b, entryA, 100)
		b.finish("j", 1000, ccwire.CodeDone, "")
		for i := range 40 {
			for _, entry := range []ccnode.Ref{entryA, entryB} {
				if n := offered(b, entry); n > 0 {
					counts[entry] += n
					msg := b.dispatch("j", i)
					msg.WantSlots = 100
					b.assertStarts(b.table.Dispatch(b.now, entry, msg), i)
				}
			}
			b.finish("j", i, ccwire.CodeDone, "")
		}
		if diff := counts[entryA] - counts[entryB]; diff > offerLead+1 || diff < -offerLead-1 {
			t.Fatalf("offers were %v", counts)
		}
	})
	t.Run("a domain that is out offers nothing", func(t *testing.T) {
		b := newBench(t, Config{})
		b.setView(6, true)
		want(b, entryA, 1)
		if got := offered(b, entryA); got != 0 {
			t.Fatalf("offered %d", got)
		}
	})
}

func TestHold(t *testing.T) {
	full := func(t *testing.T, run time.Duration) *bench {
		b := newBench(t, Config{})
		b.table.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
		b.table.TaskFinished(b.now, TaskResult{Job: "k", Index: 0, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, RunTime: run})
		b.table.Dispatch(b.now, entryA, b.dispatch("l", 0))
		return b
	}
	hold := func(t *testing.T) *bench {
		b := full(t, 20*time.Millisecond)
		result := b.table.Dispatch(b.now, entryA, b.dispatch("j", 0))
		if len(result.Starts)+len(result.Bounced) != 0 {
			t.Fatalf("got %+v, want the task held", result)
		}
		return b
	}
	free := func(b *bench) {
		b.table.TaskFinished(b.now, TaskResult{Job: "k", Index: 1, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, RunTime: 20 * time.Millisecond})
	}
	t.Run("starts when a slot is free", func(t *testing.T) {
		b := hold(t)
		free(b)
		b.assertStarts(b.table.TakeQueueResult(), 0)
	})
	t.Run("goes back after the limit", func(t *testing.T) {
		b := hold(t)
		b.now = b.now.Add(holdLimit)
		b.table.Tick(b.now)
		b.assertBounce(b.table.TakeQueueResult(), ccwire.CodeFull)
	})
	t.Run("goes back at once where tasks are long", func(t *testing.T) {
		b := full(t, time.Second)
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFull)
	})
	t.Run("is revoked like any task that has not started", func(t *testing.T) {
		b := hold(t)
		_, err := b.table.Revoke(b.now, ccwire.Revoke{Agent: b.table.cfg.Self, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		free(b)
		b.assertStarts(b.table.TakeQueueResult())
	})
	t.Run("goes back when the agent leaves", func(t *testing.T) {
		b := hold(t)
		b.table.Leave(b.now)
		b.assertBounce(b.table.TakeQueueResult(), ccwire.CodeClosed)
	})
	t.Run("ends with its session", func(t *testing.T) {
		b := hold(t)
		b.table.SessionClosed(b.now, entryA, 1)
		free(b)
		b.assertStarts(b.table.TakeQueueResult())
	})
}
