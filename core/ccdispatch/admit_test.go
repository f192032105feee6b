package ccdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

// newBusyTestbed returns a testbed with one slot that completes ten tasks per
// second, and ten waiting jobs of one task each.
func newBusyTestbed(t *testing.T) *testbed {
	t.Helper()
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 1)
	for i := range 30 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 1)
	}
	for range 19 {
		b.advance(100 * time.Millisecond)
		b.reportAll("a", ccwire.CodeDone, 1)
	}
	return b
}

func (b *testbed) assertAdmitted(tasks int, deadline time.Duration, want bool) {
	b.t.Helper()
	spec := ccjob.Spec{ID: "k", Service: "s", Team: "t", Deadline: deadline, Payloads: make([]string, tasks)}
	refusal, ok := b.dispatcher.Admit(&spec)
	if ok != want {
		b.t.Errorf("%d tasks within %s: admitted %t, want %t (%s)", tasks, deadline, ok, want, refusal.Reason)
	}
	if !ok && (refusal.Kind != ccjob.KindOverload || !refusal.NotRun || refusal.RetryAfter <= 0) {
		b.t.Errorf("got refusal %+v, want overload, not run, with a retry delay", refusal)
	}
}

func TestAdmit(t *testing.T) {
	t.Run("shortJobWaitsForItsTurn", func(t *testing.T) {
		newBusyTestbed(t).assertAdmitted(1, 3*time.Second, true)
	})
	t.Run("deadlineBeforeItsTurn", func(t *testing.T) {
		newBusyTestbed(t).assertAdmitted(1, 500*time.Millisecond, false)
	})
	t.Run("longJobAmongManyIsRefused", func(t *testing.T) {
		// With one turn in ten, 50 tasks take 50 s.
		newBusyTestbed(t).assertAdmitted(50, 30*time.Second, false)
	})
	t.Run("longJobWithTimeIsTaken", func(t *testing.T) {
		newBusyTestbed(t).assertAdmitted(50, 90*time.Second, true)
	})
}
