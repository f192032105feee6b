package ccroster

import (
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsubset"
)

// minEntriesPerAgent keeps an agent in use when one of its entries fails.
const minEntriesPerAgent = 2

// EntriesPerAgent returns how many entries must use each agent so that each entry
// uses about subset of the agents.
func (r *Roster) EntriesPerAgent(subset, agents int) int {
	if agents == 0 {
		return 0
	}
	entries := 0
	for i := range r.Entries {
		if !r.Entries[i].Leaving {
			entries++
		}
	}
	return min(max(minEntriesPerAgent, (subset*entries+agents-1)/agents), entries)
}

// Uses reports whether an entry is one of the entriesPerAgent entries that use an
// agent: those with the greatest hashes of agent and entry (rendezvous hashing).
// Each agent is used by exactly that many entries, and an entry that joins or
// leaves moves only its own share of the agents.
func (r *Roster) Uses(entry, agent ccnode.ID, entriesPerAgent int) bool {
	own := ccsubset.Score(agent, string(entry))
	known, above := false, 0
	for i := range r.Entries {
		other := r.Entries[i].Ref.ID
		switch {
		case r.Entries[i].Leaving:
		case other == entry:
			known = true
		case ccsubset.Score(agent, string(other)) > own:
			above++
		}
	}
	return known && above < entriesPerAgent
}
