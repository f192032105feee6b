package ccevent

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unbounded is a bound on an offset that no pair of events gives.
const unbounded = time.Duration(math.MaxInt64)

// lanePair is two lanes, the one with the smaller index first.
type lanePair struct{ a, b int }

// offsetRange bounds what has to be added to the clock of lane b when nothing is
// added to that of lane a. Each message from a to b gives a lower bound, since
// it can't arrive before it is sent; each one back gives an upper bound.
type offsetRange struct {
	lanePair
	low, high time.Duration
	guessed   bool // From messages of a third process, not between the two.
}

// estimate returns the offset that changes the clock the least, if its range
// allows none, and the middle of the range otherwise.
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

// width says how far the estimate may be off.
func (r offsetRange) width() time.Duration {
	if r.guessed || r.low == -unbounded || r.high == unbounded {
		return unbounded
	}
	return r.high - r.low
}

// setOffsets estimates how far the lanes' clocks are apart. It joins the lanes
// over the pairs with the narrowest ranges. In each group of joined lanes the
// clock in the middle counts as right.
func setOffsets(lanes []*lane, causes *causes) {
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

// center makes the offset in the middle zero.
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
// and one for each two lives of one process, which share a clock.
func offsetRanges(lanes []*lane, causes *causes) []offsetRange {
	byPair := make(map[lanePair]offsetRange)
	for effect, l := range lanes {
		for i := range l.events {
			cause, before := causes.of(effect, &l.events[i])
			if cause == none {
				continue
			}
			sent := lanes[cause].events[before-1].At
			tighten(byPair, cause, effect, l.events[i].At.Sub(sent))
		}
	}
	for _, lives := range causes.lives {
		for i := 1; i < len(lives); i++ {
			pair := lanePair{a: lives[i-1], b: lives[i]}
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

// tighten notes a message that seemed to take the given time.
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
