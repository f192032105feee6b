package ccplacement

import (
	"math/rand/v2"
	"testing"
)

// assertPicksFree places tasks until the policy returns None. It checks that every
// picked target had a free slot, and that none is left free.
func assertPicksFree(t *testing.T, name string, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	candidates := make([]Candidate, 1+random.IntN(6))
	for i := range candidates {
		candidates[i] = Candidate{FreeSlots: random.IntN(6) - 3, InFlight: random.IntN(4), TypicalRunTime: 100 * ms, Weight: 1}
	}
	policy := New(name, seed)
	policy.Rank(candidates)
	for tasks := 20; tasks > 0; tasks-- {
		i := policy.Pick(candidates, tasks)
		if i == None {
			break
		}
		if candidates[i].FreeSlots <= 0 {
			t.Fatalf("seed %d: picked target %d with %d free slots", seed, i, candidates[i].FreeSlots)
		}
		candidates[i].FreeSlots--
		candidates[i].InFlight++
	}
	for i, c := range candidates {
		if c.FreeSlots > 0 {
			t.Fatalf("seed %d: target %d is left with %d free slots at equal speed", seed, i, c.FreeSlots)
		}
	}
}

func TestBounds(t *testing.T) {
	for _, name := range []string{LateBinding, TwoChoices, RoundRobin, "unknownName"} {
		t.Run(name+"UsesOnlyFreeSlots", func(t *testing.T) {
			for seed := range uint64(200) {
				assertPicksFree(t, name, seed)
			}
		})
		t.Run(name+"WaitsWithoutCandidates", func(t *testing.T) {
			assertPicks(t, pickAll(New(name, 1), nil, 3))
		})
	}
}
