package ccqueue_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccqueue"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// tolerance allows for rounding errors in sums of virtual times.
const tolerance = 1e-6

// backloggedTeams counts the pops that each team got from a queue in which every
// team always had waiting tasks.
type backloggedTeams struct {
	shares []float64
	counts []float64
	pops   float64
	total  float64
}

func drawBackloggedTeams(t *rapid.T) *backloggedTeams {
	shares := rapid.SliceOfN(rapid.Float64Range(0.1, 10), 2, 8).Draw(t, "shares")
	pops := rapid.IntRange(1, 400).Draw(t, "pops")
	teams := &backloggedTeams{shares: shares, counts: make([]float64, len(shares)), pops: float64(pops)}
	names := make([]ccjob.ID, len(shares))
	queue := ccqueue.New()
	for i, share := range shares {
		names[i] = ccjob.ID('a' + rune(i))
		teams.total += share
		push(queue, string(names[i]), share, names[i], pops+1)
	}
	for _, id := range popJobs(queue, pops) {
		teams.counts[id[0]-'a']++
	}
	return teams
}

// TestFairness guards the bounds on how far a team may get ahead of or behind its
// share while all teams are backlogged, for random shares.
func TestFairness(t *testing.T) {
	t.Run("noTeamIsMoreThanOnePopOverItsShare", rapid.MakeCheck(func(t *rapid.T) {
		teams := drawBackloggedTeams(t)
		for i, share := range teams.shares {
			if expected := teams.pops * share / teams.total; teams.counts[i] > expected+1+tolerance {
				t.Fatalf("team %d got %v pops, its fair share is %v", i, teams.counts[i], expected)
			}
		}
	}))
	// In the worst case every other team is one pop ahead.
	t.Run("noTeamIsBehindByMoreThanOnePopOfEachOther", rapid.MakeCheck(func(t *rapid.T) {
		teams := drawBackloggedTeams(t)
		for i, share := range teams.shares {
			others := float64(len(teams.shares) - 1)
			if minimum := (teams.pops - others) * share / teams.total; teams.counts[i] < minimum-tolerance {
				t.Fatalf("team %d got %v pops, want at least %v", i, teams.counts[i], minimum)
			}
		}
	}))
	t.Run("noTeamIsMoreThanOnePopAheadOfAnother", rapid.MakeCheck(func(t *rapid.T) {
		teams := drawBackloggedTeams(t)
		for i, share := range teams.shares {
			for j, other := range teams.shares {
				if (teams.counts[i]-1)/share > teams.counts[j]/other+tolerance {
					t.Fatalf("team %d got %v pops, team %d got %v", i, teams.counts[i], j, teams.counts[j])
				}
			}
		}
	}))
}
