package ccoutage

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Removal tracks whether an entry may remove another one from the current
// roster. Start one only after the store has shown, under that roster, that the
// target's lease has ended, or when the target is dead.
type Removal struct {
	quorum               *Quorum
	epoch                uint64
	target               ccnode.Ref
	deniers              map[ccnode.Ref]struct{}
	majorityImpossibleAt time.Time
}

// NewRemoval returns a removal of target from the roster that the quorum uses.
func NewRemoval(quorum *Quorum, target ccnode.Ref) *Removal {
	return &Removal{quorum: quorum, epoch: quorum.roster.Epoch, target: target, deniers: map[ccnode.Ref]struct{}{}}
}

// Target returns the incarnation that is to be removed.
func (r *Removal) Target() ccnode.Ref { return r.target }

// ReplyReceived processes a peer's reply to a consent request that named the
// target.
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

// Allowed reports whether the target may be removed now. Once enough members
// refuse consent, it waits until the consents that they gave before have
// expired. A dead target needs no wait. A removal that began under another roster
// is never allowed.
func (r *Removal) Allowed(now time.Time) bool {
	if r.epoch != r.quorum.roster.Epoch || !r.quorum.RosterAdopted() || !r.majorityImpossible() {
		return false
	}
	if r.quorum.isDead(r.target) {
		return true
	}
	if r.majorityImpossibleAt.IsZero() {
		r.majorityImpossibleAt = now
	}
	return now.Sub(r.majorityImpossibleAt) >= r.quorum.cfg.ConsentTTL
}

// majorityImpossible reports whether the target is dead, or so many members are
// dead or refuse consent that the others are no majority.
func (r *Removal) majorityImpossible() bool {
	if r.quorum.isDead(r.target) {
		return true
	}
	refusing := 0
	for _, member := range r.quorum.roster.Entries {
		_, denies := r.deniers[member.Ref]
		_, dead := r.quorum.dead[member.Ref]
		_, selfRefuses := r.quorum.withheld[r.target]
		if denies || dead || (selfRefuses && member.Ref == r.quorum.cfg.Self) {
			refusing++
		}
	}
	return refusing > len(r.quorum.roster.Entries)-r.quorum.roster.Majority()
}
