package ccroster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccjob"
)

// SlotCount is how many parts the space of job IDs has.
const SlotCount = 256

// noAuthority marks a slot in a roster with nobody to take it.
const noAuthority = -1

// table has the index of the authority in Entries, by slot.
type table [SlotCount]int

// SlotOf returns the slot of a job.
func SlotOf(id ccjob.ID) int {
	return int(xxhash.Sum64String(string(id)) % SlotCount)
}

// Authority returns the entry that decides about the jobs of a slot. It is false
// when every member is leaving. The first call works the table out, so the
// roster must not be shared between goroutines before that.
func (r *Roster) Authority(slot int) (Member, bool) {
	if r.table == nil {
		r.table = r.rank()
	}
	index := r.table[slot]
	if index == noAuthority {
		return Member{}, false
	}
	return r.Entries[index], true
}

// rank gives each slot to the member with the greatest hash of slot and ID. A
// member that joins or leaves so moves no slots but its own. The incarnation is
// left out, since an entry that restarts should get its own slots back.
func (r *Roster) rank() *table {
	ranked := &table{}
	for slot := range ranked {
		ranked[slot] = noAuthority
		best := uint64(0)
		for index, entry := range r.Entries {
			if entry.Leaving {
				continue
			}
			weight := weigh(slot, entry)
			if ranked[slot] == noAuthority || weight > best {
				ranked[slot], best = index, weight
			}
		}
	}
	return ranked
}

func weigh(slot int, entry Member) uint64 {
	key := binary.BigEndian.AppendUint32(nil, uint32(slot))
	return xxhash.Sum64(append(key, entry.Ref.ID...))
}
