package ccevent

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unbounded marks a missing bound on an offset: no pair of events provides one.
const unbounded = time.Duration(math.MaxInt64)

// lanePair is a pair of lane indexes, the smaller one first.
type lanePair struct{ a, b int }

// offsetRange bounds the correction to the clock of lane b relative to that of
// lane a. Each message from a to b gives a lower bound, since it can't arrive
// before it is sent; each message from b to a gives an upper bound.
type offsetRange struct {
	lanePair
	low, high time.Duration
	guessed   bool // Derived from messages of a third process, not between the two.
}

// estimate returns the offset that changes the clock the least, which is zero or
// the only bound. If the range has two bounds and excludes zero, it returns the
// middle of the range.
func (r offsetRange) estimate() time.Duration {
	switch {
	case r.low <= 0 && r.high >= 0:
		return 0
	case r.low == -unbounded:
		return r.high
	case r.high == unbounded:
		return r.low
	default:
		return r.low + (r.high-r.low)/2
	}
}

// width returns the uncertainty of the estimate.
func (r offsetRange) width() time.Duration {
	if r.guessed || r.low == -unbounded || r.high == unbounded {
		return unbounded
	}
	return r.high - r.low
}

// setOffsets estimates the clock offsets of the lanes. It joins lanes into
// groups, starting with the pairs whose ranges are narrowest. In each group the
// median clock is taken as correct.
func setOffsets(lanes []*lane, causes *causeIndex) {
	ranges := offsetRanges(lanes, causes)
	slices.SortFunc(ranges, func(x, y offsetRange) int {
		return cmp.Or(compareBool(x.guessed, y.guessed), cmp.Compare(x.width(), y.width()), cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b), cmp.Compare(x.low, y.low))
	})
	group := make([]int, len(lanes)) // The group of each lane, by its index.
	members := make([][]int, len(lanes))
	for i := range lanes {
		group[i], members[i] = i, []int{i}
	}
	for _, r := range ranges {
		into, from := group[r.a], group[r.b]
		if into == from {
			continue
		}
		shift := lanes[r.a].offset + r.estimate() - lanes[r.b].offset
		if len(members[into]) < len(members[from]) {
			into, from, shift = from, into, -shift
		}
		for _, i := range members[from] {
			lanes[i].offset += shift
			group[i] = into
		}
		members[into] = append(members[into], members[from]...)
		members[from] = nil
	}
	for _, indexes := range members {
		center(lanes, indexes)
	}
}

// center shifts the offsets of the given lanes so that their median is zero.
func center(lanes []*lane, indexes []int) {
	if len(indexes) == 0 {
		return
	}
	offsets := make([]time.Duration, len(indexes))
	for i, index := range indexes {
		offsets[i] = lanes[index].offset
	}
	slices.Sort(offsets)
	middle := offsets[(len(offsets)-1)/2]
	for _, index := range indexes {
		lanes[index].offset -= middle
	}
}

// offsetRanges returns one range for each pair of lanes that exchanged messages,
// and one for each two successive incarnations of a process, which share a clock.
func offsetRanges(lanes []*lane, causes *causeIndex) []offsetRange {
	byPair := make(map[lanePair]offsetRange)
	for effect, l := range lanes {
		for i := range l.events {
			cause, before := causes.lookup(effect, &l.events[i])
			if cause == none {
				continue
			}
			sent := lanes[cause].events[before-1].At
			tighten(byPair, cause, effect, l.events[i].At.Sub(sent))
		}
	}
	for _, incarnations := range causes.byNode {
		for i := 1; i < len(incarnations); i++ {
			pair := lanePair{a: incarnations[i-1], b: incarnations[i]}
			byPair[pair] = offsetRange{lanePair: pair}
		}
	}
	ranges := guessedRanges(lanes, causes)
	for _, r := range byPair {
		ranges = append(ranges, r)
	}
	return ranges
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// tighten narrows the range of a pair of lanes by a message that took the given
// time by the uncorrected clocks.
func tighten(byPair map[lanePair]offsetRange, cause, effect int, took time.Duration) {
	pair := lanePair{a: min(cause, effect), b: max(cause, effect)}
	r, known := byPair[pair]
	if !known {
		r = offsetRange{lanePair: pair, low: -unbounded, high: unbounded}
	}
	if cause == pair.a {
		r.low = max(r.low, -took)
	} else {
		r.high = min(r.high, took)
	}
	byPair[pair] = r
}
