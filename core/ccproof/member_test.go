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
	roundEvery = 500 * time.Millisecond
	pulseEvery = 200 * time.Millisecond
	meetAfter  = 100 * time.Millisecond
)

// storeRound renews the lease and looks at the roster.
func (e *entry) storeRound() {
	if e.clock().Sub(e.rounds) < roundEvery {
		return
	}
	e.rounds = e.clock()
	e.look(false)
}

func (e *entry) look(makeKey bool) {
	ref := e.ref
	storeCall(e, "store round", func() shown { return e.w.store.renew(e.w.now, ref, makeKey) }, e.looked)
}

// looked takes what a round at the store showed.
func (e *entry) looked(sent time.Time, s shown) {
	e.rule.StoreSeen(sent)
	e.listed = sent
	e.takeRoster(s.roster)
	if s.roster != nil && s.roster.Epoch < e.roster.Epoch {
		return
	}
	decision := e.membership.Evaluate(e.clock(), ccoutage.View{
		Roster: s.roster, HoldsKey: s.holds, LeaseUntil: sent.Add(leaseTime), Live: s.live,
	})
	if decision.Stop {
		e.w.note("   %s was removed", e.ref)
		e.start()
		return
	}
	if decision.RequestConsent {
		e.ask(decision.Removing)
	}
	if decision.CreateKey {
		e.look(true)
	}
	if decision.NextRoster != nil {
		e.swap(decision.NextRoster)
	}
}

func (e *entry) takeRoster(roster *ccroster.Roster) {
	if roster == nil || roster.Epoch <= e.roster.Epoch {
		return
	}
	e.roster = roster
	e.rule.RosterChanged(roster)
	e.gather(e.authority.RosterChanged(e.clock(), roster, e.requester.HeldClaims))
	e.ask(nil)
}

func (e *entry) swap(next *ccroster.Roster) {
	storeCall(e, "swap", func() *ccroster.Roster {
		if e.w.store.swap(next) {
			e.w.note("   roster %d has %d members, lost %d", next.Epoch, len(next.Entries), next.LostEpoch)
		}
		return e.w.store.roster
	}, func(sent time.Time, roster *ccroster.Roster) {
		e.rule.StoreSeen(sent)
		e.takeRoster(roster)
		e.look(false)
	})
}

// pulse asks for consent while the store isn't seen.
func (e *entry) pulse(now time.Time) {
	if e.rule.NeedsConsent(now) && now.Sub(e.asked) >= pulseEvery {
		e.ask(nil)
	}
}

// ask sends a pulse to all members.
func (e *entry) ask(removing []ccnode.Ref) {
	e.asked = e.clock()
	sent := e.clock()
	message := e.rule.NewRequest(sent, removing)
	removal := e.membership.Removal()
	for _, member := range e.roster.Entries {
		if member.Ref == e.ref {
			continue
		}
		to := e.w.entryAt(member.Ref.ID)
		call(e, string(to.id), "pulse", func() (reply ccwire.ConsentReply, ok bool) {
			to.step(func() { reply = to.rule.HandleRequest(to.clock(), message) })
			return reply, true
		}, func(reply ccwire.ConsentReply) {
			e.rule.ReplyReceived(sent, reply)
			if removal != nil {
				removal.ReplyReceived(reply)
			}
		})
	}
}

// gather sends what the authority wants to know.
func (e *entry) gather(requests []ccclaim.GatherRequest) {
	for _, request := range requests {
		to := e.w.entryAt(request.To.Ref.ID)
		call(e, string(to.id), "gather", func() (reply ccwire.GatherReply, ok bool) {
			to.step(func() { reply = to.authority.Gather(request.Message, to.requester.HeldClaims(request.Message.Slots)) })
			return reply, reply.Entry == request.To.Ref
		}, func(reply ccwire.GatherReply) {
			e.authority.HandleGatherReply(e.clock(), request.Message.Epoch, reply)
			e.rule.EpochReported(reply.Entry, reply.Epoch)
		})
	}
}
