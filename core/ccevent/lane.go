package ccevent

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"camphorcroft/core/ccnode"
)

// lane is one life of one process while a time line is made.
type lane struct {
	node   ccnode.Ref
	events []Event // In the order of their numbers, each number once.
	offset time.Duration
	next   int       // The first event that is not placed yet.
	last   time.Time // When the newest placed event was.
	// part is set when gaps in the numbers tell nothing, and dropped says what is
	// missing.
	part    bool
	dropped uint64
}

// cutLanes sorts the events into lanes, ordered by node and incarnation. Of each
// lane the newest events are kept, so that all are at most limit in number.
func cutLanes(events []Event, limit int) []*lane {
	byNode := make(map[ccnode.Ref]*lane)
	var lanes []*lane
	for i := range events {
		ref := events[i].Node
		if byNode[ref] == nil {
			byNode[ref] = &lane{node: ref}
			lanes = append(lanes, byNode[ref])
		}
		byNode[ref].events = append(byNode[ref].events, events[i])
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return compareRefs(a.node, b.node) })
	for _, l := range lanes {
		slices.SortStableFunc(l.events, func(a, b Event) int { return cmp.Compare(a.Seq, b.Seq) })
		l.events = slices.CompactFunc(l.events, func(a, b Event) bool { return a.Seq == b.Seq })
		if most := max(1, limit/len(lanes)); len(l.events) > most {
			l.events = l.events[len(l.events)-most:]
		}
	}
	return lanes
}

func compareRefs(a, b ccnode.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// upTo returns how many of the lane's events have a number of seq or less.
func (l *lane) upTo(seq uint64) int {
	return sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
}

// setPart notes that the lane's events are a part of those that there were.
func (l *lane) setPart(parts []PartialLane) {
	for _, part := range parts {
		if part.Node == l.node {
			l.part, l.dropped = true, part.Dropped
		}
	}
}

// missingBefore returns how many events were dropped right before the i-th.
func (l *lane) missingBefore(i int) uint64 {
	switch {
	case i == 0 && l.part:
		return l.dropped
	case i == 0:
		return max(l.events[0].Seq, 1) - 1
	case l.part:
		return 0
	default:
		return l.events[i].Seq - l.events[i-1].Seq - 1
	}
}

// missing returns how many events were dropped in all.
func (l *lane) missing() uint64 {
	if l.part {
		return l.dropped
	}
	return l.events[len(l.events)-1].Seq - min(l.events[len(l.events)-1].Seq, uint64(len(l.events)))
}

// domain returns the failure domain of the process. Events that name a peer may
// carry the peer's domain.
func (l *lane) domain() string {
	for i := len(l.events) - 1; i >= 0; i-- {
		if l.events[i].Peer == "" && l.events[i].Domain != "" {
			return l.events[i].Domain
		}
	}
	return ""
}
