package ccclaim

import (
	"slices"
	"time"

	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Gather answers an entry that takes slots over. The reply promises that this
// entry grants nothing there under older epochs, and takes up no grant made
// under them. Driven are the claims that this entry has taken up, in any slot.
func (a *Authority) Gather(message ccwire.Gather, driven []ccwire.GatherClaim) ccwire.GatherReply {
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
		s.promise = max(s.promise, message.Epoch)
		reply.Slots = append(reply.Slots, ccwire.GatherSlot{
			Slot: index, Epoch: s.epoch, Horizon: s.horizon, Complete: s.complete,
		})
		for _, known := range s.claims {
			reply.Claims = append(reply.Claims, known.wire())
		}
	}
	for _, claim := range driven {
		if slices.Contains(message.Slots, ccroster.SlotOf(claim.JobID)) {
			reply.Claims = append(reply.Claims, claim)
		}
	}
	return reply
}

// HandleGatherReply takes the reply to a message that was sent under the epoch.
func (a *Authority) HandleGatherReply(now time.Time, epoch uint64, reply ccwire.GatherReply) {
	if epoch != a.roster.Epoch {
		return
	}
	open := map[int]bool{}
	for _, told := range reply.Slots {
		if told.Slot >= 0 && told.Slot < ccroster.SlotCount && a.learn(told) {
			open[told.Slot] = true
		}
	}
	for _, claim := range reply.Claims {
		if open[ccroster.SlotOf(claim.JobID)] {
			a.merge(claim)
		}
	}
	for index := range open {
		delete(a.slots[index].waiting, reply.Entry)
		a.settle(now, &a.slots[index])
	}
}

// learn takes over what another entry knows of a slot as a whole, if that is
// more than this entry knows. It is false when the slot waits for no reply, or
// when the other entry is ahead of this one's roster and so goes on granting.
func (a *Authority) learn(told ccwire.GatherSlot) bool {
	s := &a.slots[told.Slot]
	if len(s.waiting) == 0 || told.Epoch >= a.roster.Epoch {
		return false
	}
	switch {
	case told.Epoch > s.epoch:
		s.epoch, s.horizon, s.complete = told.Epoch, told.Horizon, told.Complete
	case told.Epoch == s.epoch:
		s.horizon = max(s.horizon, told.Horizon)
		s.complete = s.complete && told.Complete
	}
	return true
}

// merge adds one claim that another entry knows of. The greater number is the
// later claim. Merged claims go beyond MaxClaims rather than be forgotten, since
// a job may be running under each; the table then takes no new ones.
func (a *Authority) merge(claim ccwire.GatherClaim) {
	s := &a.slots[ccroster.SlotOf(claim.JobID)]
	known, ok := s.claims[claim.JobID]
	if !ok {
		a.add(s, recordOf(claim))
		return
	}
	switch {
	case claim.Claim > known.claim:
		known.claim, known.driver, known.digest = claim.Claim, claim.Driver, claim.Digest
		known.granted, known.released = claim.Granted, claim.Released
	case claim.Claim == known.claim:
		known.released = known.released || claim.Released
	}
}

// HandoverRequests returns the messages by which a leaving entry asks whether its
// successors are ready in all slots that it knows.
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
		requests = append(requests, a.gathers(member, slots[member])...)
	}
	return requests
}

// HandedOver reports whether the reply to a message of Handover shows that the
// successor knows all that was granted before the epoch.
func HandedOver(epoch uint64, reply ccwire.GatherReply) bool {
	for _, told := range reply.Slots {
		if told.Epoch < epoch {
			return false
		}
	}
	return true
}

func (r *record) wire() ccwire.GatherClaim {
	return ccwire.GatherClaim{
		JobID: r.id, Digest: r.digest, Claim: r.claim, Driver: r.driver,
		Granted: r.granted, Released: r.released,
	}
}

func recordOf(claim ccwire.GatherClaim) *record {
	known := &record{
		id: claim.JobID, digest: claim.Digest, claim: claim.Claim, driver: claim.Driver,
		key: claim.Granted, granted: claim.Granted, released: claim.Released,
	}
	if jobTime, timed := claim.JobID.Time(); timed {
		known.timed, known.key = true, jobTime.UnixMilli()
	}
	return known
}
