package ccroster_test

import (
	"fmt"
	"testing"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

const (
	subsetEntries = 24
	subsetAgents  = 4200
	subsetShare   = 3
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
			if roster.Uses(entry.Ref.ID, agent, subsetShare) {
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
			if n := counts[ccnode.ID(fmt.Sprint("agent-", i))]; n != subsetShare {
				t.Fatalf("agent %d is used by %d entries, want %d", i, n, subsetShare)
			}
		}
	})
	t.Run("entries have about equal shares", func(t *testing.T) {
		mean := subsetAgents * subsetShare / subsetEntries
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
					t.Fatalf("entry %s gave up %s", entry, agent)
				}
			}
		}
	})
	t.Run("who is not in the roster uses nothing", func(t *testing.T) {
		if roster.Uses("stranger", "agent-1", subsetEntries) {
			t.Fatal("an entry that is no member uses an agent")
		}
	})
}

func TestSharing(t *testing.T) {
	roster := subsetRoster()
	cases := map[string]struct {
		roster                 *ccroster.Roster
		subset, agents, shared int
	}{
		"rounds up":                    {roster, 525, subsetAgents, 3},
		"at least two":                 {roster, 10, subsetAgents, 2},
		"an entry that leaves is none": {roster.WithLeaving(member("e5", 1).Ref), 525, 525, 23},
		"a small fleet is used by all": {roster, 525, 11, 24},
		"no agents are used by nobody": {roster, 525, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.roster.EntriesPerAgent(c.subset, c.agents); got != c.shared {
				t.Errorf("got %d entries an agent, want %d", got, c.shared)
			}
		})
	}
}
