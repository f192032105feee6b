// Package ccclaim decides which entry may drive a job, so that no task starts
// twice however often its job is submitted.
//
// Each entry has one Authority. It grants claims on the jobs of the hash slots
// that the roster gives it, answers other entries that take slots over, and
// judges the grants that the entry itself receives. Recovery is the other half:
// it works out from the agents' memories what is left of a job whose driver is
// gone.
//
// Nothing here is written to the store. What an authority forgets or never
// heard lies at or below the horizon of the slot, a time; only jobs whose ID
// proves that they were made later count as new.
//
// # Usage
//
//	authority := ccclaim.NewAuthority(ccclaim.Config{...})
//	for _, request := range authority.RosterChanged(now, roster, requester.Held) {
//		// Send request.Message to request.To; hand the reply to GatherAnswered.
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
	// slotsPerGather bounds how many claims one reply carries.
	slotsPerGather = 16
	gatherRetry    = 250 * time.Millisecond
)

// Authority is the claim state of one entry. It is not safe for use by several
// goroutines.
type Authority struct {
	cfg     Config
	roster  *ccroster.Roster
	slots   [ccroster.SlotCount]slot
	byAge   ageHeap
	askNext time.Time
}

// GatherRequest is a message to send to another entry.
type GatherRequest struct {
	To      ccroster.Member
	Message ccwire.Gather
}

// NewAuthority returns an authority that knows no roster and grants nothing.
func NewAuthority(cfg Config) *Authority {
	a := &Authority{cfg: cfg, roster: &ccroster.Roster{}}
	for i := range a.slots {
		a.slots[i].claims = map[jobKey]*record{}
	}
	return a
}

// Epoch returns the roster epoch in use.
func (a *Authority) Epoch() uint64 { return a.roster.Epoch }

// Len returns the number of claims in the table.
func (a *Authority) Len() int { return len(a.byAge) }

// ReadySlots returns how many slots the entry is ready to grant in.
func (a *Authority) ReadySlots() int {
	count := 0
	for i := range a.slots {
		if a.slots[i].ready {
			count++
		}
	}
	return count
}

// RosterChanged takes a newer roster and returns the messages by which the entry
// learns of the slots that it gains. Driven lists the claims that the entry itself
// has taken up in given slots; nil is an entry that never drives. An older roster
// changes nothing.
func (a *Authority) RosterChanged(now time.Time, roster *ccroster.Roster, driven func(slots []int) []ccwire.GatherClaim) []GatherRequest {
	if roster.Epoch <= a.roster.Epoch {
		return nil
	}
	followed := roster.Epoch == a.roster.Epoch+1
	a.roster = roster
	for i := range a.slots {
		a.turnOver(now, i, followed)
	}
	if gained := a.unready(); driven != nil && len(gained) > 0 {
		for _, claim := range driven(gained) {
			a.merge(claim)
		}
	}
	for i := range a.slots {
		a.settle(now, &a.slots[i])
	}
	a.askNext = now.Add(gatherRetry)
	return a.requests()
}

// unready lists the slots that are this entry's and can't be granted in yet.
func (a *Authority) unready() []int {
	var slots []int
	for i := range a.slots {
		if a.slots[i].owned && !a.slots[i].ready {
			slots = append(slots, i)
		}
	}
	return slots
}

// turnOver moves one slot to the roster that was just set.
func (a *Authority) turnOver(now time.Time, index int, followed bool) {
	s := &a.slots[index]
	owner, ok := a.roster.Authority(index)
	if !ok || owner.Ref != a.cfg.Self {
		s.ready, s.owned, s.waiting = false, false, nil
		return
	}
	s.owned = true
	if s.ready && followed {
		s.epoch = a.roster.Epoch
		return
	}
	s.ready = false
	if a.roster.Epoch == ccroster.FirstEpoch {
		s.ready, s.epoch, s.complete = true, a.roster.Epoch, true
		return
	}
	s.turned = now
	s.promise = max(s.promise, a.roster.Epoch) // What was told to others holds here too.
	s.waiting = map[ccnode.Ref]struct{}{}
	for _, member := range a.roster.Entries {
		if member.Ref != a.cfg.Self {
			s.waiting[member.Ref] = struct{}{}
		}
	}
}

// Tick forgets what is past retention, ends waits, and returns gather messages
// that are due again.
func (a *Authority) Tick(now time.Time) []GatherRequest {
	a.expire(now)
	for i := range a.slots {
		a.settle(now, &a.slots[i])
	}
	if now.Before(a.askNext) {
		return nil
	}
	a.askNext = now.Add(gatherRetry)
	return a.requests()
}

// settle makes a slot ready once all members were heard. If whoever held the
// slot last was lost before it could tell, the horizon moves ahead of every job
// that it can have granted before the roster said so: its clock may be ahead of
// this one by the margin, and the job's time ahead of that clock by as much
// again.
func (a *Authority) settle(now time.Time, s *slot) {
	if !s.owned || s.ready || len(s.waiting) > 0 {
		return
	}
	known := s.epoch > 0 && s.epoch >= a.roster.LostEpoch
	if !known && now.Sub(s.turned) < a.cfg.GrantTTL {
		return
	}
	if !known && a.cfg.Guards.ProveNew {
		s.horizon = max(s.horizon, s.turned.Add(2*a.cfg.ClockMargin).UnixMilli())
		s.complete = false
		a.doubt(s)
	}
	s.ready, s.epoch, s.waiting = true, a.roster.Epoch, nil
}

// doubt takes into account that the lost authority may have granted each known
// job once more. Raised numbers no longer match what drivers say of their claims,
// so that a claim which was given back leads to a recovery and not to a grant.
func (a *Authority) doubt(s *slot) {
	for _, known := range s.claims {
		known.claim = max(known.claim, a.roster.Epoch<<epochShift)
		if known.released {
			known.released, known.driver = false, ccnode.Ref{}
		}
	}
}

// requests lists the gather messages that have no answer yet.
func (a *Authority) requests() []GatherRequest {
	missing := map[ccnode.Ref][]int{}
	for i := range a.slots {
		for ref := range a.slots[i].waiting {
			missing[ref] = append(missing[ref], i)
		}
	}
	var requests []GatherRequest
	for _, ref := range slices.SortedFunc(maps.Keys(missing), compareRefs) {
		member, _ := a.roster.Find(ref)
		requests = append(requests, a.gathers(member, missing[ref])...)
	}
	return requests
}

// gathers splits slots over messages to one member.
func (a *Authority) gathers(to ccroster.Member, slots []int) []GatherRequest {
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
