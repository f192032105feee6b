package ccoutage

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Removal collects what an entry needs before it may take another out of the
// roster in use. Start one only after the store has shown, under that roster,
// that the other's lease has ended, or when the other is dead.
type Removal struct {
	rule     *Quorum
	epoch    uint64
	target   ccnode.Ref
	deniers  map[ccnode.Ref]struct{}
	provedAt time.Time
}

// NewRemoval returns a removal of target from the roster that the rule uses.
func NewRemoval(rule *Quorum, target ccnode.Ref) *Removal {
	return &Removal{rule: rule, epoch: rule.roster.Epoch, target: target, deniers: map[ccnode.Ref]struct{}{}}
}

// Target returns the life that is to be removed.
func (r *Removal) Target() ccnode.Ref { return r.target }

// ReplyReceived takes a peer's reply to the rule's message that named the target.
func (r *Removal) ReplyReceived(reply ccwire.ConsentReply) {
	if reply.Epoch != r.epoch || reply.From == r.target {
		return
	}
	for _, ref := range reply.Denies {
		if ref == r.target {
			r.deniers[reply.From] = struct{}{}
		}
	}
}

// Allowed reports whether the target may be removed now. Once enough members refuse,
// it waits until what they consented to before has ended; the dead need no
// waiting for. A removal that began under another roster never may.
func (r *Removal) Allowed(now time.Time) bool {
	if r.epoch != r.rule.roster.Epoch || !r.rule.RosterAdopted() || !r.proved() {
		return false
	}
	if r.rule.isDead(r.target) {
		return true
	}
	if r.provedAt.IsZero() {
		r.provedAt = now
	}
	return now.Sub(r.provedAt) >= r.rule.cfg.ConsentTTL
}

// proved reports whether the target is dead, or so many members are dead or
// refuse that the rest are no majority.
func (r *Removal) proved() bool {
	if r.rule.isDead(r.target) {
		return true
	}
	refusing := 0
	for _, member := range r.rule.roster.Entries {
		_, denies := r.deniers[member.Ref]
		_, dead := r.rule.dead[member.Ref]
		_, own := r.rule.withheld[r.target]
		if denies || dead || (own && member.Ref == r.rule.cfg.Self) {
			refusing++
		}
	}
	return refusing > len(r.rule.roster.Entries)-r.rule.roster.Majority()
}
