package ccevent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
)

// guessTolerance is the assumed maximum difference between the times at which two
// consecutive messages of a silent process are received.
const guessTolerance = time.Second

// effect is an event whose cause belongs to a silent process.
type effect struct {
	seq  uint64 // Sequence number of the cause.
	lane int
	at   time.Time
}

// guessedRanges estimates offsets between lanes that received messages from the
// same silent process. That process sent its messages in sequence order, so two
// with close sequence numbers were most likely received at about the same time.
func guessedRanges(lanes []*lane, causes *causeIndex) []offsetRange {
	var ranges []offsetRange
	for _, effects := range silentEffects(lanes, causes) {
		ranges = append(ranges, guessFrom(effects)...)
	}
	return ranges
}

func silentEffects(lanes []*lane, causes *causeIndex) map[ccnode.Ref][]effect {
	silent := make(map[ccnode.Ref][]effect)
	for index, l := range lanes {
		for i := range l.events {
			event := &l.events[i]
			if event.Cause.Node == "" || causes.laneOfCause(event) != none {
				continue
			}
			ref := ccnode.Ref{ID: event.Cause.Node, Incarnation: event.Cause.Incarnation}
			silent[ref] = append(silent[ref], effect{seq: event.Cause.Seq, lane: index, at: event.At})
		}
	}
	return silent
}

// guessFrom compares effects that are adjacent in sequence order, and keeps the
// closest two for each pair of lanes.
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
		byPair[pair] = offsetRange{lanePair: pair, low: ahead - guessTolerance, high: ahead + guessTolerance, guessed: true}
	}
	ranges := make([]offsetRange, 0, len(byPair))
	for _, r := range byPair {
		ranges = append(ranges, r)
	}
	return ranges
}
