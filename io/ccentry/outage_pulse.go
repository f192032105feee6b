package ccentry

import (
	"errors"
	"syscall"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

const (
	pulseEvery    = 200 * time.Millisecond
	pulseTimeout  = 500 * time.Millisecond
	gatherTimeout = 2 * time.Second
	handoverEvery = 50 * time.Millisecond
)

// ask sends a pulse to all members: for consent to go on without the store, to
// learn which roster they use, and to have them withhold consent from those that
// are to be removed.
func (p *presence) ask(now time.Time, removing []ccnode.Ref) {
	p.asked = now
	message := p.rule.NewRequest(now, removing)
	removal := p.membership.Removal()
	for _, member := range p.roster.Entries {
		if member.Ref == p.entry.self {
			continue
		}
		callPeer(p, member, ccwire.MethodConsent, message, pulseTimeout, func(_ time.Time, reply ccwire.ConsentReply, err error) {
			if err != nil {
				return
			}
			unsettled := !p.rule.RosterAdopted()
			p.rule.ReplyReceived(now, reply)
			if unsettled && p.rule.RosterAdopted() {
				p.order(storeOrder{}) // Whoever waited to write the next roster may now.
			}
			if removal != nil {
				removal.ReplyReceived(reply)
			}
		})
	}
}

// unreachable judges a call that failed.
func (p *presence) unreachable(to ccroster.Member, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.rule.ConnectionRefused(to.Ref)
		p.order(storeOrder{})
	}
}

// broken asks all members again after a connection to one of them broke, which
// tells at once whether its process has ended.
func (p *presence) broken(now time.Time, ref ccnode.Ref) {
	if p.roster.Has(ref) && p.roster.Has(p.entry.self) {
		p.ask(now, nil)
	}
}
