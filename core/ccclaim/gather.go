package ccclaim

import (
	"slices"
	"time"

	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Gather answers an entry that takes slots over. The reply promises that this
// entry neither grants claims there under older epochs nor accepts grants made
// under them. The argument held lists the claims that this entry has accepted,
// in any slot.
func (a *Authority) Gather(message ccwire.Gather, held []ccwire.GatherClaim) ccwire.GatherReply {
	reply := ccwire.GatherReply{
		Entry:       a.cfg.Self,
		Epoch:       a.roster.Epoch,
		MemorySince: int64(a.cfg.Self.Incarnation) / int64(time.Millisecond/time.Microsecond),
	}
	for _, index := range message.Slots {
		if index < 0 || index >= ccroster.SlotCount {
			continue
		}
		s := &a.slots[index]
		s.promisedEpoch = max(s.promisedEpoch, message.Epoch)
		reply.Slots = append(reply.Slots, ccwire.GatherSlot{
			Slot: index, Epoch: s.epoch, Horizon: s.horizon, Complete: s.complete,
		})
		for _, known := range s.claims {
			reply.Claims = append(reply.Claims, known.toWire())
		}
	}
	for _, claim := range held {
		if slices.Contains(message.Slots, ccroster.SlotOf(claim.JobID)) {
			reply.Claims = append(reply.Claims, claim)
		}
	}
	return reply
}

// HandleGatherReply processes the reply to a Gather message that was sent under
// the given epoch.
func (a *Authority) HandleGatherReply(now time.Time, epoch uint64, reply ccwire.GatherReply) {
	if epoch != a.roster.Epoch {
		return
	}
	accepted := map[int]bool{}
	for _, remote := range reply.Slots {
		if remote.Slot >= 0 && remote.Slot < ccroster.SlotCount && a.mergeSlot(remote) {
			accepted[remote.Slot] = true
		}
	}
	for _, claim := range reply.Claims {
		if accepted[ccroster.SlotOf(claim.JobID)] {
			a.mergeClaim(claim)
		}
	}
	for index := range accepted {
		delete(a.slots[index].unanswered, reply.Entry)
		a.markReadyIfComplete(now, &a.slots[index])
	}
}

// mergeSlot adopts another entry's state of a slot if it is newer than this
// entry's, and combines the two if they are of the same epoch. It returns false
// when the slot is not waiting for replies, or when the other entry is ahead of
// this entry's roster and therefore keeps granting.
func (a *Authority) mergeSlot(remote ccwire.GatherSlot) bool {
	s := &a.slots[remote.Slot]
	if len(s.unanswered) == 0 || remote.Epoch >= a.roster.Epoch {
		return false
	}
	switch {
	case remote.Epoch > s.epoch:
		s.epoch, s.horizon, s.complete = remote.Epoch, remote.Horizon, remote.Complete
	case remote.Epoch == s.epoch:
		s.horizon = max(s.horizon, remote.Horizon)
		s.complete = s.complete && remote.Complete
	}
	return true
}

// mergeClaim adds a claim that another entry or this entry's requester reports.
// Of two claims on one job, the one with the greater number is the later.
// Merged claims may exceed MaxClaims rather than be evicted, since a job may be
// running under each; the table then accepts no new claims.
func (a *Authority) mergeClaim(claim ccwire.GatherClaim) {
	s := &a.slots[ccroster.SlotOf(claim.JobID)]
	known, ok := s.claims[claim.JobID]
	if !ok {
		a.add(s, recordFromWire(claim))
		return
	}
	switch {
	case claim.Claim > known.claim:
		known.claim, known.driver, known.digest = claim.Claim, claim.Driver, claim.Digest
		known.grantedAt, known.released = claim.Granted, claim.Released
	case claim.Claim == known.claim:
		known.released = known.released || claim.Released
	}
}

// HandoverRequests returns the Gather requests with which a leaving entry asks
// whether its successors are ready in all slots whose grants it knows.
func (a *Authority) HandoverRequests() []GatherRequest {
	slots := map[ccroster.Member][]int{}
	for i := range a.slots {
		owner, ok := a.roster.Authority(i)
		if ok && a.slots[i].epoch > 0 && owner.Ref != a.cfg.Self {
			slots[owner] = append(slots[owner], i)
		}
	}
	var requests []GatherRequest
	for _, member := range a.roster.Entries {
		requests = append(requests, a.gatherRequests(member, slots[member])...)
	}
	return requests
}

// HandedOver reports whether the reply to a handover request shows that the
// successor knows all grants made before the epoch.
func HandedOver(epoch uint64, reply ccwire.GatherReply) bool {
	for _, remote := range reply.Slots {
		if remote.Epoch < epoch {
			return false
		}
	}
	return true
}

func (r *record) toWire() ccwire.GatherClaim {
	return ccwire.GatherClaim{
		JobID: r.id, Digest: r.digest, Claim: r.claim, Driver: r.driver,
		Granted: r.grantedAt, Released: r.released,
	}
}

func recordFromWire(claim ccwire.GatherClaim) *record {
	known := &record{
		id: claim.JobID, digest: claim.Digest, claim: claim.Claim, driver: claim.Driver,
		createdAt: claim.Granted, grantedAt: claim.Granted, released: claim.Released,
	}
	if jobTime, hasTimestamp := claim.JobID.Time(); hasTimestamp {
		known.hasTimestamp, known.createdAt = true, jobTime.UnixMilli()
	}
	return known
}
