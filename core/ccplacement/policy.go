// Package ccplacement chooses the target for the next task.
//
// # Usage
//
//	policy := ccplacement.New("lateBinding", seed)
//	policy.Rank(candidates)
//	index := policy.Pick(candidates, waiting)
package ccplacement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Names of the policies, as in the settings.
const (
	// LateBinding gives each task to the fastest target with a free slot.
	LateBinding = "lateBinding"
	// TwoChoices draws two targets with a free slot and takes the one whose work
	// in flight ends sooner.
	TwoChoices = "twoChoices"
	// RoundRobin goes through the targets with a free slot in turn.
	RoundRobin = "roundRobin"
)

// None is what Pick returns when the task should wait.
const None = -1

// Candidate is what a policy knows of one target.
type Candidate struct {
	FreeSlots      int           // Slots that may be used now. May be below zero.
	InFlight       int           // Tasks of this entry at the target.
	TypicalRunTime time.Duration // Learned run time; zero when unknown.
	Near           bool          // In the entry's own failure domain.
	Weight         float64       // Share by failure domain; 1 is the usual one.
}

// Policy chooses targets. Its methods are called from one goroutine.
type Policy interface {
	// Rank prepares for a run of picks over the candidates. Only their Free and
	// InFlight change until the next call.
	Rank(candidates []Candidate)
	// Pick returns the index of a candidate with a free slot, or None when there
	// is none or none is worth taking. Waiting is how many tasks wait, with the
	// one that is to be placed.
	Pick(candidates []Candidate, waiting int) int
}

// New returns the policy of that name; an unknown name gives late binding. The
// seed makes draws repeatable.
func New(name string, seed uint64) Policy {
	random := rand.New(rand.NewPCG(seed, seed))
	switch name {
	case TwoChoices:
		return &twoChoices{random: random}
	case RoundRobin:
		return &roundRobin{}
	default:
		return &lateBinding{random: random}
	}
}

// similar is how much longer a run time may be and still count as equal, so
// that nearness can decide and noise in what was learned does not.
const similar = 1.1

type lateBinding struct {
	random *rand.Rand
	order  []int
	next   int // Candidates before it have no free slot in this run.
}

func (p *lateBinding) Rank(candidates []Candidate) {
	p.next = 0
	p.order = p.order[:0]
	for i := range candidates {
		p.order = append(p.order, i)
	}
	// Several entries that rank alike would all send to the same target first;
	// a shuffle before the stable sort spreads them over equals.
	p.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	slices.SortStableFunc(p.order, func(a, b int) int {
		return cmp.Compare(score(&candidates[a]), score(&candidates[b]))
	})
}

// score is the learned run time, with a little in favor of near targets.
func score(c *Candidate) float64 {
	s := float64(c.TypicalRunTime) / max(c.Weight, 0.001)
	if c.Near {
		s /= similar
	}
	return s
}

func (p *lateBinding) Pick(candidates []Candidate, waiting int) int {
	for ; p.next < len(p.order); p.next++ {
		i := p.order[p.next]
		if candidates[i].FreeSlots <= 0 {
			continue
		}
		if candidates[i].TypicalRunTime > muchSlower*p.elsewhere(candidates, waiting) {
			return None
		}
		return i
	}
	return None
}

// muchSlower is how many times longer a task may take at a free slot than after
// a wait for a faster one. A slot that is only somewhat slower is worth taking;
// one of a straggler is not, unless many tasks wait.
const muchSlower = 2

// elsewhere is about how long the last of the waiting tasks would take, wait
// included, if all were left to the faster targets, which have no free slot. It
// is without bound when this entry has nothing in flight there and so can't
// tell when one of their slots falls free.
func (p *lateBinding) elsewhere(candidates []Candidate, waiting int) time.Duration {
	inFlight, perSecond := 0, 0.0
	for _, i := range p.order[:p.next] {
		c := &candidates[i]
		if c.TypicalRunTime > 0 {
			inFlight += c.InFlight
			perSecond += float64(c.InFlight) / c.TypicalRunTime.Seconds()
		}
	}
	if perSecond == 0 {
		return math.MaxInt64 / muchSlower
	}
	return time.Duration(float64(inFlight+waiting) / perSecond * float64(time.Second))
}

type twoChoices struct {
	random *rand.Rand
	free   []int
}

func (p *twoChoices) Rank([]Candidate) {}

func (p *twoChoices) Pick(candidates []Candidate, _ int) int {
	p.free = p.free[:0]
	for i := range candidates {
		if candidates[i].FreeSlots > 0 {
			p.free = append(p.free, i)
		}
	}
	if len(p.free) == 0 {
		return None
	}
	a := p.free[p.random.IntN(len(p.free))]
	b := p.free[p.random.IntN(len(p.free))]
	if load(&candidates[b]) < load(&candidates[a]) {
		return b
	}
	return a
}

func load(c *Candidate) float64 {
	return float64(c.InFlight+1) * float64(max(c.TypicalRunTime, time.Millisecond))
}

type roundRobin struct {
	next int
}

func (p *roundRobin) Rank([]Candidate) {}

func (p *roundRobin) Pick(candidates []Candidate, _ int) int {
	for range candidates {
		i := p.next % len(candidates)
		p.next++
		if candidates[i].FreeSlots > 0 {
			return i
		}
	}
	return None
}
