// Package ccclaim decides which entry may drive a job, that is, start its
// tasks, so that no task starts twice, however often its job is submitted.
//
// Each entry has one Authority. It grants claims on the jobs in the hash slots
// that the roster assigns to the entry, answers other entries that take slots
// over, and checks whether the grants that the entry itself receives may be
// used. Recovery is the other half: it determines, from what the agents
// remember, the state of each task of a job whose driver is gone.
//
// Nothing is written to the store. Every claim that an authority has forgotten
// or never learned of is on a job created at or before the slot's horizon, a
// timestamp; only jobs whose ID proves that they were created later count as
// new.
//
// # Usage
//
//	authority := ccclaim.NewAuthority(ccclaim.Config{...})
//	for _, request := range authority.RosterChanged(now, roster, requester.HeldClaims) {
//		// Send request.Message to request.To; pass the reply to HandleGatherReply.
//	}
//	reply := authority.Claim(now, message, leaseValidUntil)
package ccclaim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

const (
	// slotsPerGather limits the slots per Gather message, and thereby the
	// claims that one reply carries.
	slotsPerGather = 16
	gatherRetry    = 250 * time.Millisecond
)

// Authority holds the claims granted by one entry. It is not safe for
// concurrent use.
type Authority struct {
	cfg        Config
	roster     *ccroster.Roster
	slots      [ccroster.SlotCount]slot
	byAge      ageHeap
	nextGather time.Time
}

// GatherRequest is a Gather message to send to another entry.
type GatherRequest struct {
	To      ccroster.Member
	Message ccwire.Gather
}

// NewAuthority returns an authority that has no roster and grants nothing.
func NewAuthority(cfg Config) *Authority {
	a := &Authority{cfg: cfg, roster: &ccroster.Roster{}}
	for i := range a.slots {
		a.slots[i].claims = map[jobKey]*record{}
	}
	return a
}

// Epoch returns the epoch of the current roster.
func (a *Authority) Epoch() uint64 { return a.roster.Epoch }

// Len returns the number of claims in the table.
func (a *Authority) Len() int { return len(a.byAge) }

// ReadySlots returns the number of slots in which the entry is ready to grant
// claims.
func (a *Authority) ReadySlots() int {
	count := 0
	for i := range a.slots {
		if a.slots[i].ready {
			count++
		}
	}
	return count
}

// RosterChanged switches to a newer roster and returns the Gather requests for
// the slots that the entry gains. The function held lists the claims in the
// given slots that the entry itself has accepted; it is nil for an entry that
// never drives jobs. A roster that is not newer is ignored.
func (a *Authority) RosterChanged(now time.Time, roster *ccroster.Roster, held func(slots []int) []ccwire.GatherClaim) []GatherRequest {
	if roster.Epoch <= a.roster.Epoch {
		return nil
	}
	consecutive := roster.Epoch == a.roster.Epoch+1
	a.roster = roster
	for i := range a.slots {
		a.updateSlot(now, i, consecutive)
	}
	if gained := a.unreadySlots(); held != nil && len(gained) > 0 {
		for _, claim := range held(gained) {
			a.mergeClaim(claim)
		}
	}
	for i := range a.slots {
		a.markReadyIfComplete(now, &a.slots[i])
	}
	a.nextGather = now.Add(gatherRetry)
	return a.pendingGathers()
}

// unreadySlots lists the slots that belong to this entry but in which it can't
// grant claims yet.
func (a *Authority) unreadySlots() []int {
	var slots []int
	for i := range a.slots {
		if a.slots[i].owned && !a.slots[i].ready {
			slots = append(slots, i)
		}
	}
	return slots
}

// updateSlot applies the current roster to one slot. The flag consecutive says
// that no epoch was missed since the previous roster.
func (a *Authority) updateSlot(now time.Time, index int, consecutive bool) {
	s := &a.slots[index]
	owner, ok := a.roster.Authority(index)
	if !ok || owner.Ref != a.cfg.Self {
		s.ready, s.owned, s.unanswered = false, false, nil
		return
	}
	s.owned = true
	if s.ready && consecutive {
		s.epoch = a.roster.Epoch
		return
	}
	s.ready = false
	if a.roster.Epoch == ccroster.FirstEpoch {
		s.ready, s.epoch, s.complete = true, a.roster.Epoch, true
		return
	}
	s.gainedAt = now
	s.promisedEpoch = max(s.promisedEpoch, a.roster.Epoch) // The same promise that members make when they answer a Gather.
	s.unanswered = map[ccnode.Ref]struct{}{}
	for _, member := range a.roster.Entries {
		if member.Ref != a.cfg.Self {
			s.unanswered[member.Ref] = struct{}{}
		}
	}
}

// Tick evicts claims past retention, marks slots as ready whose waiting time is
// over, and returns the Gather requests that are due for a retry.
func (a *Authority) Tick(now time.Time) []GatherRequest {
	a.expire(now)
	for i := range a.slots {
		a.markReadyIfComplete(now, &a.slots[i])
	}
	if now.Before(a.nextGather) {
		return nil
	}
	a.nextGather = now.Add(gatherRetry)
	return a.pendingGathers()
}

// markReadyIfComplete makes a slot ready once all members have answered. If the
// last owner of the slot was lost before it could hand over, the horizon moves
// past every job on which that owner can have granted a claim before the roster
// changed: its clock may be ahead of this one by ClockMargin, and the job's
// timestamp ahead of that clock by as much again.
func (a *Authority) markReadyIfComplete(now time.Time, s *slot) {
	if !s.owned || s.ready || len(s.unanswered) > 0 {
		return
	}
	grantsKnown := s.epoch > 0 && s.epoch >= a.roster.LostEpoch
	if !grantsKnown && now.Sub(s.gainedAt) < a.cfg.GrantTTL {
		return
	}
	if !grantsKnown && a.cfg.Guards.ProveNew {
		s.horizon = max(s.horizon, s.gainedAt.Add(2*a.cfg.ClockMargin).UnixMilli())
		s.complete = false
		a.raiseKnownClaims(s)
	}
	s.ready, s.epoch, s.unanswered = true, a.roster.Epoch, nil
}

// raiseKnownClaims allows for the lost authority having granted each known job
// once more. The raised numbers no longer match those that drivers report for
// their claims, so a claim that was returned leads to a recovery instead of a
// grant.
func (a *Authority) raiseKnownClaims(s *slot) {
	for _, known := range s.claims {
		known.claim = max(known.claim, a.roster.Epoch<<epochShift)
		if known.released {
			known.released, known.driver = false, ccnode.Ref{}
		}
	}
}

// pendingGathers returns the Gather requests that have not been answered yet.
func (a *Authority) pendingGathers() []GatherRequest {
	missing := map[ccnode.Ref][]int{}
	for i := range a.slots {
		for ref := range a.slots[i].unanswered {
			missing[ref] = append(missing[ref], i)
		}
	}
	var requests []GatherRequest
	for _, ref := range slices.SortedFunc(maps.Keys(missing), compareRefs) {
		member, _ := a.roster.Find(ref)
		requests = append(requests, a.gatherRequests(member, missing[ref])...)
	}
	return requests
}

// gatherRequests splits the slots into Gather requests to one member.
func (a *Authority) gatherRequests(to ccroster.Member, slots []int) []GatherRequest {
	var requests []GatherRequest
	for chunk := range slices.Chunk(slots, slotsPerGather) {
		requests = append(requests, GatherRequest{
			To:      to,
			Message: ccwire.Gather{Epoch: a.roster.Epoch, From: a.cfg.Self, Slots: chunk},
		})
	}
	return requests
}

func compareRefs(a, b ccnode.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}
