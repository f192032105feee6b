package ccproof

import (
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

const (
	storePollInterval = 500 * time.Millisecond
	consentInterval   = 200 * time.Millisecond
	connectDelay      = 100 * time.Millisecond
)

// pollStore renews the lease and reads the roster.
func (e *entry) pollStore() {
	if e.clock().Sub(e.storePolledAt) < storePollInterval {
		return
	}
	e.storePolledAt = e.clock()
	e.callStoreView(false)
}

func (e *entry) callStoreView(createKey bool) {
	ref := e.ref
	callStore(e, "store poll", func() storeView { return e.w.store.renewLease(e.w.now, ref, createKey) }, e.handleStoreView)
}

// handleStoreView applies the reply to a poll of the store.
func (e *entry) handleStoreView(sent time.Time, s storeView) {
	e.quorum.StoreSeen(sent)
	e.agentsListedAt = sent
	e.applyRoster(s.roster)
	if s.roster != nil && s.roster.Epoch < e.roster.Epoch {
		return
	}
	decision := e.membership.Evaluate(e.clock(), ccoutage.View{
		Roster: s.roster, HoldsKey: s.holdsKey, LeaseUntil: sent.Add(leaseTTL), Live: s.live,
	})
	if decision.Stop {
		e.w.logf("   %s was removed", e.ref)
		e.start()
		return
	}
	if decision.RequestConsent {
		e.requestConsent(decision.Removing)
	}
	if decision.CreateKey {
		e.callStoreView(true)
	}
	if decision.NextRoster != nil {
		e.swapRoster(decision.NextRoster)
	}
}

func (e *entry) applyRoster(roster *ccroster.Roster) {
	if roster == nil || roster.Epoch <= e.roster.Epoch {
		return
	}
	e.roster = roster
	e.quorum.RosterChanged(roster)
	e.sendGatherRequests(e.authority.RosterChanged(e.clock(), roster, e.requester.HeldClaims))
	e.requestConsent(nil)
}

func (e *entry) swapRoster(next *ccroster.Roster) {
	callStore(e, "swap", func() *ccroster.Roster {
		if e.w.store.swapRoster(next) {
			e.w.logf("   roster epoch %d has %d members, lost epoch %d", next.Epoch, len(next.Entries), next.LostEpoch)
		}
		return e.w.store.roster
	}, func(sent time.Time, roster *ccroster.Roster) {
		e.quorum.StoreSeen(sent)
		e.applyRoster(roster)
		e.callStoreView(false)
	})
}

// renewConsent requests consent periodically while the store isn't reachable.
func (e *entry) renewConsent(now time.Time) {
	if e.quorum.NeedsConsent(now) && now.Sub(e.consentRequestedAt) >= consentInterval {
		e.requestConsent(nil)
	}
}

// requestConsent sends a consent request to all other members.
func (e *entry) requestConsent(removing []ccnode.Ref) {
	e.consentRequestedAt = e.clock()
	sent := e.clock()
	message := e.quorum.NewRequest(sent, removing)
	removal := e.membership.Removal()
	for _, member := range e.roster.Entries {
		if member.Ref == e.ref {
			continue
		}
		to := e.w.entryAt(member.Ref.ID)
		call(e, string(to.id), "consent request", func() (reply ccwire.ConsentReply, ok bool) {
			to.step(func() { reply = to.quorum.HandleRequest(to.clock(), message) })
			return reply, true
		}, func(reply ccwire.ConsentReply) {
			e.quorum.ReplyReceived(sent, reply)
			if removal != nil {
				removal.ReplyReceived(reply)
			}
		})
	}
}

// sendGatherRequests sends the authority's gather requests.
func (e *entry) sendGatherRequests(requests []ccclaim.GatherRequest) {
	for _, request := range requests {
		to := e.w.entryAt(request.To.Ref.ID)
		call(e, string(to.id), "gather", func() (reply ccwire.GatherReply, ok bool) {
			to.step(func() { reply = to.authority.Gather(request.Message, to.requester.HeldClaims(request.Message.Slots)) })
			return reply, reply.Entry == request.To.Ref
		}, func(reply ccwire.GatherReply) {
			e.authority.HandleGatherReply(e.clock(), request.Message.Epoch, reply)
			e.quorum.EpochReported(reply.Entry, reply.Epoch)
		})
	}
}
