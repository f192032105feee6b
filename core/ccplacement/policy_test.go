package ccplacement

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// picks returns the choices of a policy until it wants to wait, or the number of
// tasks is used up.
func picks(policy Policy, candidates []Candidate, tasks int) []int {
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
		t.Errorf("picks are %v, want %v", got, want)
	}
}

func TestLateBinding(t *testing.T) {
	t.Run("fastestFirst", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2, TypicalRunTime: 200 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 3), 1, 0, 0)
	})
	t.Run("unknownIsTried", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 200 * ms, Weight: 1}, {FreeSlots: 1, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 2), 1, 0)
	})
	t.Run("nearWinsAmongEquals", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 105 * ms, Near: true, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 2), 1, 0)
	})
	t.Run("weightShiftsTheShare", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms, Weight: 0.5}, {FreeSlots: 1, TypicalRunTime: 150 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 1), 1)
	})
	t.Run("takesASomewhatSlowerSlot", func(t *testing.T) {
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 200 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 1), 1)
	})
	t.Run("leavesAStragglerAlone", func(t *testing.T) {
		// One task waits about 12 ms for one of the eight slots.
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 8, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 1))
	})
	t.Run("usesAStragglerWhenManyWait", func(t *testing.T) {
		// The last of 40 tasks would take (8+40)/8 times 100 ms elsewhere.
		candidates := []Candidate{{InFlight: 8, TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 40), 1)
	})
	t.Run("usesAStragglerWhenOthersHoldTheFastOnes", func(t *testing.T) {
		candidates := []Candidate{{TypicalRunTime: 100 * ms, Weight: 1}, {FreeSlots: 1, TypicalRunTime: 1000 * ms, Weight: 1}}
		assertPicks(t, picks(New(LateBinding, 1), candidates, 1), 1)
	})
}

func TestTwoChoices(t *testing.T) {
	t.Run("usesEverySlot", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2, TypicalRunTime: 100 * ms}, {FreeSlots: 1, TypicalRunTime: 200 * ms}}
		if got := picks(New(TwoChoices, 1), candidates, 9); len(got) != 3 {
			t.Errorf("%d tasks were placed, want 3", len(got))
		}
	})
	t.Run("prefersWhatEndsSooner", func(t *testing.T) {
		share := 0
		for seed := range uint64(100) {
			candidates := []Candidate{{FreeSlots: 1, TypicalRunTime: 100 * ms}, {FreeSlots: 1, TypicalRunTime: 400 * ms}}
			if picks(New(TwoChoices, seed), candidates, 1)[0] == 0 {
				share++
			}
		}
		// Three of four draws have the faster one among the two.
		if share < 60 || share > 90 {
			t.Errorf("the faster target was taken %d times of 100, want about 75", share)
		}
	})
}

func TestRoundRobin(t *testing.T) {
	t.Run("takesTurnsAndSkipsFullOnes", func(t *testing.T) {
		candidates := []Candidate{{FreeSlots: 2}, {FreeSlots: 0}, {FreeSlots: 2}}
		assertPicks(t, picks(New(RoundRobin, 1), candidates, 9), 0, 2, 0, 2)
	})
}
