package ccreplay

import (
	"camphorcroft/core/ccnode"
)

// knownToken is the highest fencing token that an agent has reported, and the highest one
// of its other incarnations. An agent's own clock, from which its first token comes, may be
// set back between two of them.
type knownToken struct {
	incarnation ccnode.Incarnation
	token       uint64
	prior       uint64
}

func (k *knownToken) observe(incarnation ccnode.Incarnation, token uint64) {
	if incarnation != k.incarnation {
		k.prior = max(k.prior, k.token)
		k.incarnation, k.token = incarnation, 0
	}
	k.token = max(k.token, token)
}

// fencesPrior reports whether the agent's calls fence off the starts of its other incarnations,
// so that a list of its runs is the last word on theirs.
func (k *knownToken) fencesPrior() bool { return k.prior == 0 || k.token > k.prior }

// PriorToken returns the highest fencing token that the entry has known of an agent's
// incarnations other than the last one that opened a session. Zero is none.
func (s *Scheduler) PriorToken(id ccnode.ID) uint64 {
	a := s.agents[id]
	if a == nil {
		return 0
	}
	return a.knownToken.prior
}
