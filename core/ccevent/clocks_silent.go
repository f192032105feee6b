package ccevent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
)

// guessSlack is how far apart in time two messages of a silent process may be
// received by others, although their numbers follow each other.
const guessSlack = time.Second

// effect is an event whose cause belongs to a silent process.
type effect struct {
	seq  uint64 // Of the cause.
	lane int
	at   time.Time
}

// guessedRanges joins lanes that heard from the same silent process. It sent its
// messages in the order of their numbers, so two whose numbers are close were
// most likely received at about the same time.
func guessedRanges(lanes []*lane, causes *causes) []offsetRange {
	var ranges []offsetRange
	for _, effects := range silentEffects(lanes, causes) {
		ranges = append(ranges, guessFrom(effects)...)
	}
	return ranges
}

func silentEffects(lanes []*lane, causes *causes) map[ccnode.Ref][]effect {
	silent := make(map[ccnode.Ref][]effect)
	for index, l := range lanes {
		for i := range l.events {
			event := &l.events[i]
			if event.Cause.Node == "" || causes.life(event) != none {
				continue
			}
			ref := ccnode.Ref{ID: event.Cause.Node, Incarnation: event.Cause.Incarnation}
			silent[ref] = append(silent[ref], effect{seq: event.Cause.Seq, lane: index, at: event.At})
		}
	}
	return silent
}

// guessFrom looks at neighbors by number, and keeps the closest of each pair of
// lanes.
func guessFrom(effects []effect) []offsetRange {
	slices.SortStableFunc(effects, func(x, y effect) int {
		return cmp.Or(cmp.Compare(x.seq, y.seq), cmp.Compare(x.lane, y.lane), x.at.Compare(y.at))
	})
	closest := make(map[lanePair]uint64)
	byPair := make(map[lanePair]offsetRange)
	for i := 1; i < len(effects); i++ {
		x, y := effects[i-1], effects[i]
		if x.lane == y.lane {
			continue
		}
		distance := y.seq - x.seq
		if x.lane > y.lane {
			x, y = y, x
		}
		pair := lanePair{a: x.lane, b: y.lane}
		if known, found := closest[pair]; found && known <= distance {
			continue
		}
		closest[pair] = distance
		ahead := x.at.Sub(y.at)
		byPair[pair] = offsetRange{lanePair: pair, low: ahead - guessSlack, high: ahead + guessSlack, guessed: true}
	}
	ranges := make([]offsetRange, 0, len(byPair))
	for _, r := range byPair {
		ranges = append(ranges, r)
	}
	return ranges
}
