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

// failJobs records one failure for each of the given number of jobs and reports
// whether the last one ejected the target.
func failJobs(health *cctarget.Health, now time.Time, jobs int) bool {
	ejected := false
	for i := range jobs {
		ejected = health.RecordFailure(now, ccjob.ID(fmt.Sprint("job", i)))
	}
	return ejected
}

func assertAllowed(t *testing.T, health *cctarget.Health, now time.Time, slots, want int) {
	t.Helper()
	if got := health.AllowedSlots(now, slots); got != want {
		t.Errorf("%d of %d slots allowed after %v, want %d", got, slots, now.Sub(start), want)
	}
}

func assertEjected(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("ejected: %t, want %t", got, want)
	}
}

func TestEjection(t *testing.T) {
	t.Run("threeFailingJobs", func(t *testing.T) {
		health := newHealth()
		assertEjected(t, failJobs(health, start, 2), false)
		assertEjected(t, health.RecordFailure(start, "last"), true)
		assertEjected(t, health.Ejected(start.Add(ejectFor-1)), true)
		assertAllowed(t, health, start.Add(ejectFor-1), 8, 0)
		assertEjected(t, health.Ejected(start.Add(ejectFor)), false)
	})
	t.Run("oneFaultyJobDoesNotEject", func(t *testing.T) {
		health := newHealth()
		for range 50 {
			assertEjected(t, health.RecordFailure(start, "bad"), false)
		}
	})
	t.Run("belowFailureShare", func(t *testing.T) {
		health := newHealth()
		for range 10 {
			health.RecordSuccess(start)
		}
		assertEjected(t, failJobs(health, start, 9), false)
		assertEjected(t, health.RecordFailure(start, "tenth"), true)
	})
	t.Run("zeroShareDisablesEjection", func(t *testing.T) {
		health := cctarget.NewHealth(cctarget.HealthConfig{EjectFor: ejectFor})
		assertEjected(t, failJobs(health, start, 50), false)
	})
	t.Run("oldFailuresDoNotCount", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 2)
		for range 20 {
			health.RecordSuccess(start)
		}
		assertEjected(t, failJobs(health, start, 3), false)
	})
	t.Run("discardedFailuresDoNotCount", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 2)
		health.DiscardFailures("job0")
		assertEjected(t, health.RecordFailure(start, "third"), false)
		assertEjected(t, health.RecordFailure(start, "fourth"), true)
	})
	t.Run("failuresWhileEjectedDoNotExtendIt", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		assertEjected(t, failJobs(health, start.Add(time.Second), 9), false)
		assertEjected(t, health.Ejected(start.Add(ejectFor)), false)
	})
}

func TestReadmission(t *testing.T) {
	ejectionEnd := start.Add(ejectFor)
	t.Run("doublesWithEachSuccess", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		for _, want := range []int{1, 2, 4, 8, 8} {
			assertAllowed(t, health, ejectionEnd, 8, want)
			health.RecordSuccess(ejectionEnd.Add(1))
		}
	})
	t.Run("oneFailureEjectsForLonger", func(t *testing.T) {
		health := newHealth()
		now := start
		failJobs(health, now, 3)
		for factor := range []int{2, 4, 8, 8} {
			now = now.Add(time.Duration(min(1<<factor, 8)) * ejectFor)
			assertEjected(t, health.Ejected(now.Add(-1)), true)
			assertAllowed(t, health, now, 8, 1)
			assertEjected(t, health.RecordFailure(now, "again"), true)
		}
	})
	t.Run("endOfTrialResetsEjectionTime", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		for range 3 {
			health.RecordSuccess(ejectionEnd.Add(1))
		}
		assertAllowed(t, health, ejectionEnd.Add(1), 8, 8)
		assertEjected(t, failJobs(health, ejectionEnd.Add(1), 3), true)
		assertEjected(t, health.Ejected(ejectionEnd.Add(1+ejectFor)), false)
	})
	t.Run("singleSlotTargetIsOnTrialToo", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		assertAllowed(t, health, ejectionEnd, 1, 1)
		assertEjected(t, health.RecordFailure(ejectionEnd, "again"), true)
		assertEjected(t, health.Ejected(ejectionEnd.Add(2*ejectFor-1)), true)
	})
	t.Run("singleSlotTrialEndsAfterSuccess", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		health.RecordSuccess(ejectionEnd.Add(1))
		assertAllowed(t, health, ejectionEnd.Add(1), 1, 1)
		assertEjected(t, health.RecordFailure(ejectionEnd.Add(1), "again"), false)
	})
	t.Run("zeroSlotsDoNotEndTrial", func(t *testing.T) {
		health := newHealth()
		failJobs(health, start, 3)
		assertAllowed(t, health, ejectionEnd, 0, 0)
		assertAllowed(t, health, ejectionEnd, 8, 1)
	})
}
