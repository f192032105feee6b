package ccevent

import (
	"cmp"
	"slices"

	"camphorcroft/core/ccnode"
)

// describeLanes returns the lanes whose events were read, followed by the
// processes known only from the events of others.
func describeLanes(lanes []*lane, causes *causeIndex, steps []Step) []Lane {
	described := make([]Lane, 0, len(lanes))
	for _, l := range lanes {
		described = append(described, Lane{
			Node:    l.node,
			Domain:  l.domain(),
			Offset:  l.offset,
			Events:  len(l.events),
			Dropped: l.missing(),
		})
	}
	return append(described, silentLanes(causes, steps)...)
}

// silentLanes returns one lane for each process, or earlier incarnation of one,
// that is mentioned but has no events.
func silentLanes(causes *causeIndex, steps []Step) []Lane {
	newest := newestSilentIncarnations(causes, steps)
	mentions := make(map[ccnode.Ref]*MentionSummary)
	for i := range steps {
		step := &steps[i]
		for _, ref := range silentRefs(causes, &step.Event) {
			if ref.Incarnation == 0 {
				ref.Incarnation = newest[ref.ID]
			}
			n := mentions[ref]
			if n == nil {
				n = &MentionSummary{}
				mentions[ref] = n
			}
			n.Events++
			n.Last, n.By, n.Kind = step.When, step.Node.ID, step.Kind
			if step.Cause.Node == ref.ID {
				n.Newest = max(n.Newest, step.Cause.Seq)
			}
		}
	}
	silent := make([]Lane, 0, len(mentions))
	for ref, n := range mentions {
		silent = append(silent, Lane{Node: ref, Silent: true, Mentions: n})
	}
	slices.SortFunc(silent, func(a, b Lane) int {
		return cmp.Or(cmp.Compare(a.Node.ID, b.Node.ID), cmp.Compare(a.Node.Incarnation, b.Node.Incarnation))
	})
	return silent
}

// newestSilentIncarnations returns, for each silent process, the newest incarnation
// that a cause refers to. It is used for mentions without an incarnation.
func newestSilentIncarnations(causes *causeIndex, steps []Step) map[ccnode.ID]ccnode.Incarnation {
	newest := make(map[ccnode.ID]ccnode.Incarnation)
	for i := range steps {
		for _, ref := range silentRefs(causes, &steps[i].Event) {
			newest[ref.ID] = max(newest[ref.ID], ref.Incarnation)
		}
	}
	return newest
}

// silentRefs returns the incarnations that the event mentions and that have no
// lane.
func silentRefs(causes *causeIndex, event *Event) []ccnode.Ref {
	var refs []ccnode.Ref
	if event.Cause.Node != "" && causes.laneOfCause(event) == none {
		refs = append(refs, ccnode.Ref{ID: event.Cause.Node, Incarnation: event.Cause.Incarnation})
	}
	peer := event.Peer
	if peer == "" || peer == event.Cause.Node || len(causes.byNode[peer]) > 0 {
		return refs
	}
	return append(refs, ccnode.Ref{ID: peer})
}
