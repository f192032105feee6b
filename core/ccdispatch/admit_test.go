package ccdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

// newBusyBench has one slot that ends ten tasks a second, and ten jobs of one
// task that wait for it.
func newBusyBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, nil)
	b.up("a", 1, "north", 1)
	for i := range 30 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 1)
	}
	for range 19 {
		b.advance(100 * time.Millisecond)
		b.report("a", ccwire.CodeDone, 1)
	}
	return b
}

func (b *bench) assertAdmitted(tasks int, deadline time.Duration, want bool) {
	b.t.Helper()
	spec := ccjob.Spec{ID: "k", Service: "s", Team: "t", Deadline: deadline, Payloads: make([]string, tasks)}
	refusal, ok := b.d.Admit(&spec)
	if ok != want {
		b.t.Errorf("%d tasks within %s: admitted %t, want %t (%s)", tasks, deadline, ok, want, refusal.Reason)
	}
	if !ok && (refusal.Kind != ccjob.KindOverload || !refusal.NotRun || refusal.RetryAfter <= 0) {
		b.t.Errorf("the refusal is %+v, want an overload that is not run, with advice", refusal)
	}
}

func TestAdmit(t *testing.T) {
	t.Run("shortJobWaitsForItsTurn", func(t *testing.T) {
		newBusyBench(t).assertAdmitted(1, 3*time.Second, true)
	})
	t.Run("deadlineBeforeItsTurn", func(t *testing.T) {
		newBusyBench(t).assertAdmitted(1, 500*time.Millisecond, false)
	})
	t.Run("longJobAmongManyIsRefused", func(t *testing.T) {
		// 50 tasks with one turn in ten take 50 s.
		newBusyBench(t).assertAdmitted(50, 30*time.Second, false)
	})
	t.Run("longJobWithTimeIsTaken", func(t *testing.T) {
		newBusyBench(t).assertAdmitted(50, 90*time.Second, true)
	})
}
