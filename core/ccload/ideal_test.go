package ccload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var twoTargets = []Target{{Domain: "a", Speed: 2, Slots: 1}, {Domain: "b", Speed: 1, Slots: 1}}

func assertResponses(t *testing.T, replay *Replay, want ...time.Duration) {
	t.Helper()
	got := replay.Responses
	if !slices.Equal(got, want) {
		t.Errorf("responses are %v, want %v", got, want)
	}
}

func TestIdeal(t *testing.T) {
	t.Run("fastestFreeSlotFirst", func(t *testing.T) {
		arrivals := []Arrival{
			{At: 0, Tasks: []time.Duration{100 * ms}},
			{At: 0, Tasks: []time.Duration{100 * ms}},
			{At: 60 * ms, Tasks: []time.Duration{100 * ms}},
		}
		// The fast slot is free again at 50 ms, before the third job arrives.
		assertResponses(t, Ideal(arrivals, twoTargets, OrderFirstCome), 50*ms, 100*ms, 50*ms)
	})
	t.Run("waitsForASlot", func(t *testing.T) {
		arrivals := []Arrival{
			{At: 0, Tasks: []time.Duration{100 * ms, 100 * ms, 100 * ms}},
			{At: 10 * ms, Tasks: []time.Duration{20 * ms}},
		}
		// Two tasks of the first job start at once, its third at 50 ms on the fast
		// slot. The second job starts at 100 ms, when both slots are free.
		assertResponses(t, Ideal(arrivals, twoTargets, OrderFirstCome), 100*ms, 100*ms)
	})
	t.Run("fairOrderTakesTurns", func(t *testing.T) {
		tasks := slices.Repeat([]time.Duration{100 * ms}, 10)
		arrivals := []Arrival{{At: 0, Tasks: tasks}, {At: 10 * ms, Tasks: []time.Duration{20 * ms}}}
		single := []Target{{Speed: 1, Slots: 1}}
		assertResponses(t, Ideal(arrivals, single, OrderFirstCome), 1000*ms, 1010*ms)
		assertResponses(t, Ideal(arrivals, single, OrderFair), 1020*ms, 210*ms)
	})
	t.Run("spansCoverTheWork", func(t *testing.T) {
		arrivals := []Arrival{{At: 0, Tasks: []time.Duration{100 * ms, 100 * ms}}}
		work := time.Duration(0)
		for _, span := range Ideal(arrivals, twoTargets, OrderFirstCome).Spans {
			work += span.workWithin(25*ms, 75*ms)
		}
		// 25 ms at speed 2, and 50 ms at speed 1.
		if work != 100*ms {
			t.Errorf("work within 25 ms to 75 ms is %s, want 100ms", work)
		}
	})
	t.Run("jitterOfZeroChangesNothing", func(t *testing.T) {
		profile, _ := ProfileByName("maregrafo")
		plan, err := NewPlan(PlanConfig{Profile: profile, Load: 0.7, Duration: 10 * time.Second, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		random := rand.New(rand.NewPCG(1, 1))
		jittered := IdealWithJitter(plan.Arrivals, profile.Targets, OrderFair, 0, random)
		assertResponses(t, Ideal(plan.Arrivals, profile.Targets, OrderFair), jittered...)
	})
	t.Run("aloneIsNeverLonger", func(t *testing.T) {
		profile, _ := ProfileByName("maregrafo")
		plan, err := NewPlan(PlanConfig{Profile: profile, Load: 0.9, Duration: 20 * time.Second, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		longer := 0
		for number, response := range Ideal(plan.Arrivals, profile.Targets, OrderFirstCome).Responses {
			if single := plan.Arrivals[number]; len(single.Tasks) == 1 && IdealAlone(single, profile.Targets) > response {
				longer++
			}
		}
		if longer > 0 {
			t.Errorf("%d jobs of one task took longer alone than together with others", longer)
		}
	})
}
