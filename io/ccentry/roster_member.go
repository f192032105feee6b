package ccentry

import (
	"context"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// leaveBound is the longest that a planned stop waits for its successors, which
// never come while the store is away.
const leaveBound = 5 * time.Second

// looked takes what a look at the store showed.
func (p *presence) looked(now, sent time.Time, view ccoutage.View) {
	p.rule.StoreSeen(sent)
	if view.Roster != nil {
		if view.Roster.Epoch < p.roster.Epoch {
			return
		}
		p.takeRoster(now, view.Roster)
	}
	decision := p.membership.Evaluate(now, view)
	if decision.Stop {
		p.ended(now)
		return
	}
	if decision.RequestConsent {
		p.ask(now, decision.Removing)
	}
	if decision.CreateKey || decision.NextRoster != nil {
		p.order(storeOrder{makeKey: decision.CreateKey, swap: decision.NextRoster})
	}
}

// takeRoster puts a newer roster in use.
func (p *presence) takeRoster(now time.Time, roster *ccroster.Roster) {
	if roster.Epoch <= p.roster.Epoch {
		return
	}
	p.roster = roster
	p.handover = nil
	p.rule.RosterChanged(roster)
	p.dropPeers()
	p.gather(p.authority.RosterChanged(now, roster, p.requester.HeldClaims))
	p.ask(now, nil)
	p.entry.chooseAgents(now)
	p.entry.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindRoster, Index: ccevent.NoIndex, Count: len(roster.Entries), Peer: roster.Writer.ID})
	p.entry.log.Info("Roster is in use.", "epoch", roster.Epoch, "entries", len(roster.Entries), "by", roster.Writer.String())
}

// gather sends what the authority wants to know.
func (p *presence) gather(requests []ccclaim.GatherRequest) {
	for _, request := range requests {
		message := request.Message
		message.Cause = p.entry.cfg.Ring.Newest()
		callPeer(p, request.To, ccwire.MethodGather, message, gatherTimeout, func(now time.Time, reply ccwire.GatherReply, err error) {
			if err == nil && reply.Entry == request.To.Ref {
				p.rule.EpochReported(reply.Entry, reply.Epoch)
				p.authority.HandleGatherReply(now, message.Epoch, reply)
			}
		})
	}
}

// leave makes the entry leave the roster, and waits until it has, or the context
// ends.
func (p *presence) leave(ctx context.Context) {
	p.entry.do(func(time.Time) {
		p.leaving = true
		p.membership.Leave()
		p.order(storeOrder{})
	})
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	select {
	case <-p.left:
	case <-p.entry.stopped:
	case <-ctx.Done():
		p.entry.log.Info("Entry leaves without having handed over all claims.")
	}
}

// handOver asks the successors of a leaving entry whether they know all that it
// granted. Once they do it goes.
func (p *presence) handOver(now time.Time) {
	member, ok := p.roster.Find(p.entry.self)
	if !ok || !member.Leaving || now.Sub(p.asked) < handoverEvery {
		return
	}
	p.asked = now
	requests := p.authority.HandoverRequests()
	if p.handover == nil {
		p.handover = make(map[int]bool)
		for _, request := range requests {
			for _, slot := range request.Message.Slots {
				p.handover[slot] = true
			}
		}
	}
	if len(p.handover) == 0 {
		p.membership.HandedOver()
		p.order(storeOrder{})
		return
	}
	for _, request := range requests {
		p.askSuccessor(request)
	}
}

func (p *presence) askSuccessor(request ccclaim.GatherRequest) {
	epoch, handover := request.Message.Epoch, p.handover
	callPeer(p, request.To, ccwire.MethodGather, request.Message, gatherTimeout, func(_ time.Time, reply ccwire.GatherReply, err error) {
		if err != nil || reply.Entry != request.To.Ref || !ccclaim.HandedOver(epoch, reply) {
			return
		}
		for _, slot := range request.Message.Slots {
			delete(handover, slot)
		}
	})
}
