package ccevent

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"camphorcroft/core/ccnode"
)

// lane holds the events of one incarnation of a process during a merge.
type lane struct {
	node   ccnode.Ref
	events []Event // In ascending order of sequence number, without duplicates.
	offset time.Duration
	next   int       // Index of the first event that is not placed yet.
	last   time.Time // Time of the last placed event.
	// partial is set if events were omitted on purpose. Gaps in the sequence numbers
	// then don't indicate dropped events, and dropped holds their number.
	partial bool
	dropped uint64
}

// splitLanes groups the events into lanes, ordered by node and incarnation. It
// keeps the newest events of each lane, so that the total stays within limit,
// but at least one event per lane.
func splitLanes(events []Event, limit int) []*lane {
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

// upTo returns how many of the lane's events have a sequence number of at most
// seq.
func (l *lane) upTo(seq uint64) int {
	return sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
}

// markPartial marks the lane as partial if parts lists its node.
func (l *lane) markPartial(parts []PartialLane) {
	for _, part := range parts {
		if part.Node == l.node {
			l.partial, l.dropped = true, part.Dropped
		}
	}
}

// missingBefore returns how many events were dropped immediately before event i.
func (l *lane) missingBefore(i int) uint64 {
	switch {
	case i == 0 && l.partial:
		return l.dropped
	case i == 0:
		return max(l.events[0].Seq, 1) - 1
	case l.partial:
		return 0
	default:
		return l.events[i].Seq - l.events[i-1].Seq - 1
	}
}

// missing returns the total number of dropped events.
func (l *lane) missing() uint64 {
	if l.partial {
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
