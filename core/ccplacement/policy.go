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

// Names of the policies, as written in the settings.
const (
	// LateBinding gives each task to the fastest target with a free slot.
	LateBinding = "lateBinding"
	// TwoChoices draws two targets with a free slot at random and chooses the one
	// whose tasks in flight should finish sooner.
	TwoChoices = "twoChoices"
	// RoundRobin cycles through the targets with a free slot.
	RoundRobin = "roundRobin"
)

// None is returned by Pick when the task should wait.
const None = -1

// Candidate holds the state of one target on which a policy bases its choice.
type Candidate struct {
	FreeSlots      int           // Slots that may be used now; can be negative.
	InFlight       int           // Tasks that this entry has in flight at the target.
	TypicalRunTime time.Duration // Learned run time; zero when unknown.
	Near           bool          // Whether it is in the entry's own failure domain.
	Weight         float64       // Share of the target's failure domain; normally 1.
}

// Policy chooses targets. Its methods are called from one goroutine.
type Policy interface {
	// Rank prepares for a series of picks among the candidates. Until the next
	// call only their FreeSlots and InFlight may change.
	Rank(candidates []Candidate)
	// Pick returns the index of a candidate with a free slot, or None when there
	// is none or none is worth using. waiting is the number of waiting tasks,
	// including the one to place.
	Pick(candidates []Candidate, waiting int) int
}

// New returns the policy with the given name, or late binding if the name is
// unknown. The seed makes random choices reproducible.
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

// nearFactor is how many times longer the run time of a near target may be while it
// is still preferred. Run times within this factor count as equal, so that nearness
// decides and not noise in the learned run times.
const nearFactor = 1.1

type lateBinding struct {
	random *rand.Rand
	order  []int
	next   int // Index into order; the candidates before it have no free slot left.
}

func (p *lateBinding) Rank(candidates []Candidate) {
	p.next = 0
	p.order = p.order[:0]
	for i := range candidates {
		p.order = append(p.order, i)
	}
	// Entries with the same ranking would all send to the same target first. A
	// shuffle before the stable sort spreads them over targets of equal cost.
	p.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	slices.SortStableFunc(p.order, func(a, b int) int {
		return cmp.Compare(cost(&candidates[a]), cost(&candidates[b]))
	})
}

// cost returns the learned run time, divided by the weight and reduced for near
// targets. Targets of lower cost are used first.
func cost(c *Candidate) float64 {
	estimate := float64(c.TypicalRunTime) / max(c.Weight, 0.001)
	if c.Near {
		estimate /= nearFactor
	}
	return estimate
}

func (p *lateBinding) Pick(candidates []Candidate, waiting int) int {
	for ; p.next < len(p.order); p.next++ {
		i := p.order[p.next]
		if candidates[i].FreeSlots <= 0 {
			continue
		}
		if candidates[i].TypicalRunTime > maxSlowdown*p.completionOnFaster(candidates, waiting) {
			return None
		}
		return i
	}
	return None
}

// maxSlowdown is how many times longer a task may take at a free slot than if it
// waits for a faster one. A slot that is only somewhat slower is worth using; a
// straggler's slot is not, unless many tasks are waiting.
const maxSlowdown = 2

// completionOnFaster estimates how long the last of the waiting tasks would take,
// including its wait, if all of them were left to the faster targets, which have no
// free slot. It is practically infinite if this entry has nothing in flight there,
// since it then can't tell when one of their slots becomes free.
func (p *lateBinding) completionOnFaster(candidates []Candidate, waiting int) time.Duration {
	inFlight, perSecond := 0, 0.0
	for _, i := range p.order[:p.next] {
		c := &candidates[i]
		if c.TypicalRunTime > 0 {
			inFlight += c.InFlight
			perSecond += float64(c.InFlight) / c.TypicalRunTime.Seconds()
		}
	}
	if perSecond == 0 {
		return math.MaxInt64 / maxSlowdown
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
