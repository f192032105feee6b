package ccdispatch_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// TestPrefetch checks that a fast target without a free slot is sent one task
// beyond its slots, but a slow target none, and none is sent from a long queue.
func TestPrefetch(t *testing.T) {
	cases := map[string]struct {
		slots   int
		waiting int
		want    int
	}{
		"fast":       {slots: 8, waiting: 4, want: 9}, // Tasks of 100 ms free a slot every 12.5 ms.
		"slow":       {slots: 2, waiting: 4, want: 2},
		"long queue": {slots: 8, waiting: 5, want: 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, nil)
			b.connectAgent("a", 1, "north", c.slots)
			b.submit("first", c.slots)
			b.reportAll("a", ccwire.CodeDone, c.slots)
			b.submit("j", c.slots+c.waiting)
			b.assertSentTasks("a", c.want)
			b.advance(10 * time.Millisecond)
			b.assertSentTasks("a", c.want)
		})
	}
}

// TestPrefetchWithoutSlots checks that an agent which reconnects with zero
// slots after its speed has been learned gets no prefetched task.
func TestPrefetchWithoutSlots(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 8)
	b.submit("first", 8)
	b.reportAll("a", ccwire.CodeDone, 8)
	b.dispatcher.AgentDown(b.now, "a")
	b.connectAgent("a", 1, "north", 0)
	b.submit("j", 1)
	b.assertSentTasks("a", 0)
}
