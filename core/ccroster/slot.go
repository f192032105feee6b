package ccroster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccjob"
)

// SlotCount is the number of hash slots that the job IDs are divided into.
const SlotCount = 256

// noAuthority marks a slot in a roster whose members are all leaving.
const noAuthority = -1

// authorityTable maps each slot to the index of its authority in Entries.
type authorityTable [SlotCount]int

// SlotOf returns the hash slot of a job.
func SlotOf(id ccjob.ID) int {
	return int(xxhash.Sum64String(string(id)) % SlotCount)
}

// Authority returns the entry that grants the claims on the jobs of a slot. It
// returns false if every member is leaving. The first call computes the table, so
// the roster must not be shared between goroutines before that.
func (r *Roster) Authority(slot int) (Member, bool) {
	if r.authorities == nil {
		r.authorities = r.assignSlots()
	}
	index := r.authorities[slot]
	if index == noAuthority {
		return Member{}, false
	}
	return r.Entries[index], true
}

// assignSlots assigns the slots by rendezvous hashing: each goes to the member
// with the greatest hash of slot and ID. A member that joins or leaves therefore
// moves only its own slots. The incarnation is not hashed, so that an entry gets
// its slots back after a restart.
func (r *Roster) assignSlots() *authorityTable {
	assigned := &authorityTable{}
	for slot := range assigned {
		assigned[slot] = noAuthority
		best := uint64(0)
		for index, entry := range r.Entries {
			if entry.Leaving {
				continue
			}
			weight := slotWeight(slot, entry)
			if assigned[slot] == noAuthority || weight > best {
				assigned[slot], best = index, weight
			}
		}
	}
	return assigned
}

func slotWeight(slot int, entry Member) uint64 {
	key := binary.BigEndian.AppendUint32(nil, uint32(slot))
	return xxhash.Sum64(append(key, entry.Ref.ID...))
}
