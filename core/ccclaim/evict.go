package ccclaim

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccroster"
)

// add puts a new record into the table.
func (a *Authority) add(s *slot, fresh *record) {
	s.claims[fresh.id] = fresh
	heap.Push(&a.byAge, fresh)
}

// expire forgets claims past retention.
func (a *Authority) expire(now time.Time) {
	oldest := now.Add(-a.cfg.Retention).UnixMilli()
	for len(a.byAge) > 0 && a.byAge[0].key < oldest {
		a.forgetOldest()
	}
}

// makeRoom forgets the oldest claim of a full table. It refuses while a driver
// may still be working on that claim: whoever claimed the job then would be told
// to recover it, and the first driver could go on at agents that start later.
func (a *Authority) makeRoom(now time.Time) bool {
	if len(a.byAge) < a.cfg.MaxClaims {
		return true
	}
	if a.byAge[0].granted > now.Add(-a.cfg.MaxDriveTime).UnixMilli() {
		return false
	}
	a.forgetOldest()
	return true
}

// forgetOldest drops one claim and lets the slot's horizon say so.
func (a *Authority) forgetOldest() {
	oldest := heap.Pop(&a.byAge).(*record)
	s := &a.slots[ccroster.SlotOf(oldest.id)]
	delete(s.claims, oldest.id)
	s.complete = false
	s.floor = max(s.floor, oldest.claim)
	if oldest.timed {
		s.horizon = max(s.horizon, oldest.key)
	}
}
