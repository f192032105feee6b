package ccroster_test

import (
	"fmt"
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

const (
	subsetEntries         = 24
	subsetAgents          = 4200
	subsetEntriesPerAgent = 3
)

func subsetRoster() *ccroster.Roster {
	roster := ccroster.Bootstrap(member("e0", 1))
	for i := 1; i < subsetEntries; i++ {
		roster = roster.With(member(fmt.Sprint("e", i), 1))
	}
	return roster
}

// uses returns which agents each entry uses.
func uses(roster *ccroster.Roster) map[ccnode.ID]map[ccnode.ID]bool {
	used := make(map[ccnode.ID]map[ccnode.ID]bool)
	for _, entry := range roster.Entries {
		used[entry.Ref.ID] = make(map[ccnode.ID]bool)
		for i := range subsetAgents {
			agent := ccnode.ID(fmt.Sprint("agent-", i))
			if roster.Uses(entry.Ref.ID, agent, subsetEntriesPerAgent) {
				used[entry.Ref.ID][agent] = true
			}
		}
	}
	return used
}

func TestUses(t *testing.T) {
	roster := subsetRoster()
	used := uses(roster)
	t.Run("each agent is used by the same number of entries", func(t *testing.T) {
		counts := make(map[ccnode.ID]int)
		for _, agents := range used {
			for agent := range agents {
				counts[agent]++
			}
		}
		for i := range subsetAgents {
			if n := counts[ccnode.ID(fmt.Sprint("agent-", i))]; n != subsetEntriesPerAgent {
				t.Fatalf("agent %d is used by %d entries, want %d", i, n, subsetEntriesPerAgent)
			}
		}
	})
	t.Run("entries have about equal shares", func(t *testing.T) {
		mean := subsetAgents * subsetEntriesPerAgent / subsetEntries
		for entry, agents := range used {
			if len(agents) < mean*4/5 || len(agents) > mean*6/5 {
				t.Errorf("entry %s uses %d agents, the mean is %d", entry, len(agents), mean)
			}
		}
	})
	t.Run("an entry that leaves moves only its own agents", func(t *testing.T) {
		after := uses(roster.WithLeaving(member("e5", 1).Ref))
		for entry, agents := range used {
			for agent := range agents {
				if entry != "e5" && !after[entry][agent] {
					t.Fatalf("entry %s no longer uses %s", entry, agent)
				}
			}
		}
	})
	t.Run("an entry that is not in the roster uses no agent", func(t *testing.T) {
		if roster.Uses("stranger", "agent-1", subsetEntries) {
			t.Fatal("an entry that is not a member uses an agent")
		}
	})
}

func TestEntriesPerAgent(t *testing.T) {
	roster := subsetRoster()
	cases := map[string]struct {
		roster                          *ccroster.Roster
		subset, agents, entriesPerAgent int
	}{
		"rounds up":                      {roster, 525, subsetAgents, 3},
		"at least two":                   {roster, 10, subsetAgents, 2},
		"a leaving entry is not counted": {roster.WithLeaving(member("e5", 1).Ref), 525, 525, 23},
		"all entries use each agent of a small fleet": {roster, 525, 11, 24},
		"zero without agents":                         {roster, 525, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.roster.EntriesPerAgent(c.subset, c.agents); got != c.entriesPerAgent {
				t.Errorf("got %d entries per agent, want %d", got, c.entriesPerAgent)
			}
		})
	}
}
