package ccagent

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

func TestOffers(t *testing.T) {
	requestSlots := func(b *testbed, entry ccnode.Ref, n int) {
		msg := b.dispatch("w")
		msg.WantSlots = n
		b.controller.Dispatch(b.now, entry, msg)
	}
	offered := func(b *testbed, entry ccnode.Ref) int {
		report, _ := b.controller.TakeReport(b.now, entry)
		return report.OfferedSlots
	}
	t.Run("the next free slot is reserved for the requesting entry until the offer expires", func(t *testing.T) {
		b := newTestbed(t, Config{Slots: 1})
		b.hello(entryB, 1)
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0))
		requestSlots(b, entryB, 1)
		b.finish("j", 0, ccwire.CodeDone, "")
		if got := offered(b, entryB); got != 1 {
			t.Fatalf("offered %d, want 1", got)
		}
		b.assertBounce(b.controller.Dispatch(b.now, entryA, b.dispatch("k", 0)), ccwire.CodeFull)
		b.advance(offerTTL)
		b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("l", 0)), 0)
	})
	t.Run("the entry uses its offer", func(t *testing.T) {
		b := newTestbed(t, Config{Slots: 1})
		requestSlots(b, entryA, 1)
		b.assertStarts(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
	})
	t.Run("requesting entries take turns although one gets a report anyway", func(t *testing.T) {
		b := newTestbed(t, Config{Slots: 1})
		b.hello(entryB, 1)
		counts := make(map[ccnode.Ref]int)
		b.controller.Dispatch(b.now, entryA, b.dispatch("j", 1000))
		requestSlots(b, entryB, 100)
		requestSlots(b, entryA, 100)
		b.finish("j", 1000, ccwire.CodeDone, "")
		for i := range 40 {
			for _, entry := range []ccnode.Ref{entryA, entryB} {
				if n := offered(b, entry); n > 0 {
					counts[entry] += n
					msg := b.dispatch("j", i)
					msg.WantSlots = 100
					b.assertStarts(b.controller.Dispatch(b.now, entry, msg), i)
				}
			}
			b.finish("j", i, ccwire.CodeDone, "")
		}
		if diff := counts[entryA] - counts[entryB]; diff > maxOfferSurplus+1 || diff < -maxOfferSurplus-1 {
			t.Fatalf("uneven offers: %v", counts)
		}
	})
	t.Run("no slot is offered in a failure domain that is out", func(t *testing.T) {
		b := newTestbed(t, Config{})
		b.setView(6, true)
		requestSlots(b, entryA, 1)
		if got := offered(b, entryA); got != 0 {
			t.Fatalf("offered %d, want 0", got)
		}
	})
}

func TestQueue(t *testing.T) {
	allSlotsBusy := func(t *testing.T, run time.Duration) *testbed {
		b := newTestbed(t, Config{})
		b.controller.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
		b.controller.TaskFinished(b.now, TaskResult{Job: "k", Index: 0, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, RunTime: run})
		b.controller.Dispatch(b.now, entryA, b.dispatch("l", 0))
		return b
	}
	queued := func(t *testing.T) *testbed {
		b := allSlotsBusy(t, 20*time.Millisecond)
		result := b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0))
		if len(result.Starts)+len(result.Bounced) != 0 {
			t.Fatalf("got %+v, want the task queued", result)
		}
		return b
	}
	freeSlot := func(b *testbed) {
		b.controller.TaskFinished(b.now, TaskResult{Job: "k", Index: 1, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, RunTime: 20 * time.Millisecond})
	}
	t.Run("starts when a slot becomes free", func(t *testing.T) {
		b := queued(t)
		freeSlot(b)
		b.assertStarts(b.controller.TakeQueueResult(), 0)
	})
	t.Run("is bounced after the maximum time", func(t *testing.T) {
		b := queued(t)
		b.now = b.now.Add(maxQueueTime)
		b.controller.Tick(b.now)
		b.assertBounce(b.controller.TakeQueueResult(), ccwire.CodeFull)
	})
	t.Run("is bounced at once when tasks run long", func(t *testing.T) {
		b := allSlotsBusy(t, time.Second)
		b.assertBounce(b.controller.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFull)
	})
	t.Run("does not start after a revoke", func(t *testing.T) {
		b := queued(t)
		_, err := b.controller.Revoke(b.now, ccwire.Revoke{Agent: b.controller.cfg.Self, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		freeSlot(b)
		b.assertStarts(b.controller.TakeQueueResult())
	})
	t.Run("is bounced when the agent leaves", func(t *testing.T) {
		b := queued(t)
		b.controller.Leave(b.now)
		b.assertBounce(b.controller.TakeQueueResult(), ccwire.CodeClosed)
	})
	t.Run("is dropped when its session closes", func(t *testing.T) {
		b := queued(t)
		b.controller.SessionClosed(b.now, entryA, 1)
		freeSlot(b)
		b.assertStarts(b.controller.TakeQueueResult())
	})
}
