package ccdispatch_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// TestSendAhead checks that a fast target without a free slot is sent one task
// beyond its slots, a slow one none, and none while many wait.
func TestSendAhead(t *testing.T) {
	cases := map[string]struct {
		slots   int
		waiting int
		want    int
	}{
		"fast":       {slots: 8, waiting: 4, want: 9}, // Tasks of 100 ms free a slot each 12.5 ms.
		"slow":       {slots: 2, waiting: 4, want: 2},
		"long queue": {slots: 8, waiting: 5, want: 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("a", 1, "north", c.slots)
			b.submit("first", c.slots)
			b.report("a", ccwire.CodeDone, c.slots)
			b.submit("j", c.slots+c.waiting)
			b.assertCount("a", c.want)
			b.advance(10 * time.Millisecond)
			b.assertCount("a", c.want)
		})
	}
}

// TestSendAheadWithoutSlots has an agent that comes back with no slots after its
// speed was learned.
func TestSendAheadWithoutSlots(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 8)
	b.submit("first", 8)
	b.report("a", ccwire.CodeDone, 8)
	b.d.AgentDown(b.now, "a")
	b.up("a", 1, "north", 0)
	b.submit("j", 1)
	b.assertCount("a", 0)
}
