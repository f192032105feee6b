package ccclaim

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccroster"
)

// add inserts a new claim into the table.
func (a *Authority) add(s *slot, created *record) {
	s.claims[created.id] = created
	heap.Push(&a.byAge, created)
}

// expire evicts claims past retention.
func (a *Authority) expire(now time.Time) {
	oldest := now.Add(-a.cfg.Retention).UnixMilli()
	for len(a.byAge) > 0 && a.byAge[0].createdAt < oldest {
		a.evictOldest()
	}
}

// ensureCapacity evicts the oldest claim if the table is full. It returns false
// while a driver may still be working on that claim: the next claim on the job
// would lead to a recovery, and the first driver could still start tasks on
// agents that start after it.
func (a *Authority) ensureCapacity(now time.Time) bool {
	if len(a.byAge) < a.cfg.MaxClaims {
		return true
	}
	if a.byAge[0].grantedAt > now.Add(-a.cfg.MaxDriveTime).UnixMilli() {
		return false
	}
	a.evictOldest()
	return true
}

// evictOldest removes the oldest claim and records the loss in the state of its
// slot.
func (a *Authority) evictOldest() {
	oldest := heap.Pop(&a.byAge).(*record)
	s := &a.slots[ccroster.SlotOf(oldest.id)]
	delete(s.claims, oldest.id)
	s.complete = false
	s.maxForgotten = max(s.maxForgotten, oldest.claim)
	if oldest.hasTimestamp {
		s.horizon = max(s.horizon, oldest.createdAt)
	}
}
