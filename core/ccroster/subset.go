package ccroster

import (
	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
)

// leastSharing is how many entries use each agent at least, so that no agent is
// idle when one of them fails.
const leastSharing = 2

// EntriesPerAgent returns how many entries use each agent, when each of them is to use
// about subset of the agents.
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
	return min(max(leastSharing, (subset*entries+agents-1)/agents), entries)
}

// Uses reports whether an entry is one of the given number of entries that use
// an agent: those with the greatest hashes of agent and entry. So each agent is
// used by exactly that many entries, and an entry that joins or leaves moves only
// its own share of the agents.
func (r *Roster) Uses(entry, agent ccnode.ID, entries int) bool {
	own := weighAgent(agent, entry)
	known, above := false, 0
	for i := range r.Entries {
		other := r.Entries[i].Ref.ID
		switch {
		case r.Entries[i].Leaving:
		case other == entry:
			known = true
		case weighAgent(agent, other) > own:
			above++
		}
	}
	return known && above < entries
}

func weighAgent(agent, entry ccnode.ID) uint64 {
	return xxhash.Sum64String(string(agent) + "/" + string(entry))
}
