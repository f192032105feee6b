package cctarget_test

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/cctarget"
)

const ejectFor = 5 * time.Second

var start = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func newHealth() *cctarget.Health {
	return cctarget.NewHealth(cctarget.HealthConfig{FailureShare: 0.5, EjectFor: ejectFor})
}

// fail notes failures of as many jobs and reports whether the last one ejected.
func fail(health *cctarget.Health, now time.Time, jobs int) bool {
	ejected := false
	for i := range jobs {
		ejected = health.RecordFailure(now, ccjob.ID(fmt.Sprint("job", i)))
	}
	return ejected
}

func assertAllowed(t *testing.T, health *cctarget.Health, now time.Time, slots, want int) {
	t.Helper()
	if got := health.AllowedSlots(now, slots); got != want {
		t.Errorf("%d of %d slots are allowed after %v, want %d", got, slots, now.Sub(start), want)
	}
}

func assertEjected(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("ejected is %t, want %t", got, want)
	}
}

func TestEjection(t *testing.T) {
	t.Run("threeFailingJobs", func(t *testing.T) {
		health := newHealth()
		assertEjected(t, fail(health, start, 2), false)
		assertEjected(t, health.RecordFailure(start, "last"), true)
		assertEjected(t, health.Ejected(start.Add(ejectFor-1)), true)
		assertAllowed(t, health, start.Add(ejectFor-1), 8, 0)
		assertEjected(t, health.Ejected(start.Add(ejectFor)), false)
	})
	t.Run("oneBadJobEjectsNobody", func(t *testing.T) {
		health := newHealth()
		for range 50 {
			assertEjected(t, health.RecordFailure(start, "bad"), false)
		}
	})
	t.Run("belowTheShare", func(t *testing.T) {
		health := newHealth()
		for range 10 {
			health.RecordSuccess(start)
		}
		assertEjected(t, fail(health, start, 9), false)
		assertEjected(t, health.RecordFailure(start, "tenth"), true)
	})
	t.Run("shareOfZeroNeverEjects", func(t *testing.T) {
		health := cctarget.NewHealth(cctarget.HealthConfig{EjectFor: ejectFor})
		assertEjected(t, fail(health, start, 50), false)
	})
	t.Run("oldFailuresAreForgotten", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 2)
		for range 20 {
			health.RecordSuccess(start)
		}
		assertEjected(t, fail(health, start, 3), false)
	})
	t.Run("excusedFailuresDoNotCount", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 2)
		health.DiscardFailures("job0")
		assertEjected(t, health.RecordFailure(start, "third"), false)
		assertEjected(t, health.RecordFailure(start, "fourth"), true)
	})
	t.Run("failuresWhileEjectedDoNotProlong", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		assertEjected(t, fail(health, start.Add(time.Second), 9), false)
		assertEjected(t, health.Ejected(start.Add(ejectFor)), false)
	})
}

func TestReturn(t *testing.T) {
	back := start.Add(ejectFor)
	t.Run("doublesWithEachSuccess", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		for _, want := range []int{1, 2, 4, 8, 8} {
			assertAllowed(t, health, back, 8, want)
			health.RecordSuccess(back.Add(1))
		}
	})
	t.Run("oneFailureEjectsForLonger", func(t *testing.T) {
		health := newHealth()
		now := start
		fail(health, now, 3)
		for factor := range []int{2, 4, 8, 8} {
			now = now.Add(time.Duration(min(1<<factor, 8)) * ejectFor)
			assertEjected(t, health.Ejected(now.Add(-1)), true)
			assertAllowed(t, health, now, 8, 1)
			assertEjected(t, health.RecordFailure(now, "again"), true)
		}
	})
	t.Run("wholeReturnShortensTheNextEjection", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		for range 3 {
			health.RecordSuccess(back.Add(1))
		}
		assertAllowed(t, health, back.Add(1), 8, 8)
		assertEjected(t, fail(health, back.Add(1), 3), true)
		assertEjected(t, health.Ejected(back.Add(1+ejectFor)), false)
	})
	t.Run("targetOfOneSlotIsOnTrialToo", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		assertAllowed(t, health, back, 1, 1)
		assertEjected(t, health.RecordFailure(back, "again"), true)
		assertEjected(t, health.Ejected(back.Add(2*ejectFor-1)), true)
	})
	t.Run("targetOfOneSlotReturnsAfterASuccess", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		health.RecordSuccess(back.Add(1))
		assertAllowed(t, health, back.Add(1), 1, 1)
		assertEjected(t, health.RecordFailure(back.Add(1), "again"), false)
	})
	t.Run("noSlotsForAMomentEndNoTrial", func(t *testing.T) {
		health := newHealth()
		fail(health, start, 3)
		assertAllowed(t, health, back, 0, 0)
		assertAllowed(t, health, back, 8, 1)
	})
}
