package cctarget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphorcroft/core/cctarget"
)

func assertBetween(t *testing.T, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("run time: %v, want %v to %v", got, low, high)
	}
}

func TestSpeed(t *testing.T) {
	t.Run("noSamples", func(t *testing.T) {
		var speed cctarget.Speed
		assertBetween(t, speed.TypicalRunTime(), 0, 0)
		assertBetween(t, speed.MeanRunTime(), 0, 0)
		if speed.Known() || speed.Samples() != 0 {
			t.Error("the zero value has samples")
		}
	})
	t.Run("singleSample", func(t *testing.T) {
		var speed cctarget.Speed
		speed.Observe(80 * time.Millisecond)
		assertBetween(t, speed.TypicalRunTime(), 79*time.Millisecond, 81*time.Millisecond)
		assertBetween(t, speed.MeanRunTime(), 79*time.Millisecond, 81*time.Millisecond)
	})
	t.Run("heavyTailBarelyAffectsTypicalRunTime", func(t *testing.T) {
		var speed cctarget.Speed
		random := rand.New(rand.NewPCG(1, 1))
		for range 600 {
			run := 100 * time.Millisecond
			if random.IntN(50) == 0 {
				run *= 50
			}
			speed.Observe(run)
		}
		assertBetween(t, speed.TypicalRunTime(), 95*time.Millisecond, 150*time.Millisecond)
		assertBetween(t, speed.MeanRunTime(), speed.TypicalRunTime(), 5*time.Second)
	})
	t.Run("adaptsToNewRunTime", func(t *testing.T) {
		var speed cctarget.Speed
		for range 1000 {
			speed.Observe(100 * time.Millisecond)
		}
		for range 300 {
			speed.Observe(400 * time.Millisecond)
		}
		assertBetween(t, speed.TypicalRunTime(), 390*time.Millisecond, 400*time.Millisecond)
	})
	t.Run("zeroRunTimeStaysFinite", func(t *testing.T) {
		var speed cctarget.Speed
		speed.Observe(0)
		assertBetween(t, speed.TypicalRunTime(), 1, time.Millisecond)
	})
}
