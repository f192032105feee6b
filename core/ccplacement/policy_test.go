package ccplacement

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// pickAll places up to the given number of tasks, until the policy returns None,
// and returns the picked indexes.
func pickAll(policy Policy, candidates []Candidate, tasks int) []int {
	var chosen []int
	policy.Rank(candidates)
	for ; tasks > 0; tasks-- {
		i := policy.Pick(candidates, tasks)
		if i == None {
			break
		}
		candidates[i].FreeSlots--
		candidates[i].InFlight++
		chosen = append(chosen, i)
	}
	return chosen
}

func assertPicks(t *testing.T, got []int, want ...int) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("picked indexes: %v, want %v", got, want)
	}
}

func TestLateBinding(t *testing.T) {
	t.Run("fastestFirst", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2, TypicalRunTime: 200 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 3), 1, 0, 0)
	})
	t.Run("unknownRunTimeFirst", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 200 * ms, Weight: 1}, {FreeSlots: 1, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 2), 1, 0)
	})
	t.Run("nearFirstAmongSimilar", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 105 * ms, Near: true, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 2), 1, 0)
	})
	t.Run("weightScalesRunTime", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 0.5}, {FreeSlots: 1, TypicalRunTime: 150 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 1), 1)
	})
	t.Run("usesSlightlySlowerSlot", func(t *testing.T) {
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 200 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 1), 1)
	})
	t.Run("skipsStraggler", func(t *testing.T) {
		// A single task waits about 12 ms for one of the eight slots.
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 8, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 1))
	})
	t.Run("usesStragglerWhenManyTasksWait", func(t *testing.T) {
		// The last of 40 tasks would take (8+40)/8 times 100 ms at the faster target.
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 40), 1)
	})
	t.Run("usesStragglerWithNothingInFlightOnFaster", func(t *testing.T) {
		candidates := []Candidate{{TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, pickAll(New(LateBinding, 1), candidates, 1), 1)
	})
}

func TestTwoChoices(t *testing.T) {
	t.Run("usesEverySlot", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2, TypicalRunTime: 100 * ms}, {FreeSlots: 1, TypicalRunTime: 200 * ms}}
		if got := pickAll(New(TwoChoices, 1), candidates, 9); len(got) != 3 {
			t.Errorf("placed %d tasks, want 3", len(got))
		}
	})
	t.Run("prefersEarlierFinish", func(t *testing.T) {
		fasterPicks := 0
		for seed := range uint64(100) {
			candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms}, {FreeSlots: 1, TypicalRunTime: 400 * ms}}
			if pickAll(New(TwoChoices, seed), candidates, 1)[0] == 0 {
				fasterPicks++
			}
		}
		// Three out of four draws include the faster target.
		if fasterPicks < 60 || fasterPicks > 90 {
			t.Errorf("the faster target was picked %d times out of 100, want about 75", fasterPicks)
		}
	})
}

func TestRoundRobin(t *testing.T) {
	t.Run("cyclesAndSkipsFullTargets", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2}, {FreeSlots: 0}, {FreeSlots: 2}}
		assertPicks(t, pickAll(New(RoundRobin, 1), candidates, 9), 0, 2, 0, 2)
	})
}
