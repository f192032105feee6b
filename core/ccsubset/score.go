package ccsubset

import (
	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
)

// Score ranks an entry for an agent (rendezvous hashing): an agent uses the entries with
// the highest scores. An entry that joins or leaves changes the choice of only those
// agents that use it.
func Score(agent ccnode.ID, entry string) uint64 {
	return xxhash.Sum64String(string(agent) + "/" + entry)
}
