package ccevent

import (
	"cmp"
	"slices"

	"camphorcroft/core/ccnode"
)

// describeLanes lists the lanes whose events were read, then the processes that
// only the events of others tell of.
func describeLanes(lanes []*lane, causes *causes, steps []Step) []Lane {
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

// silentLanes returns one lane for each process, or earlier life of one, that
// was named but has no events.
func silentLanes(causes *causes, steps []Step) []Lane {
	lives := silentLives(causes, steps)
	named := make(map[ccnode.Ref]*MentionSummary)
	for i := range steps {
		step := &steps[i]
		for _, ref := range silentRefs(causes, &step.Event) {
			if ref.Incarnation == 0 {
				ref.Incarnation = lives[ref.ID]
			}
			n := named[ref]
			if n == nil {
				n = &MentionSummary{}
				named[ref] = n
			}
			n.Events++
			n.Last, n.By, n.Kind = step.When, step.Node.ID, step.Kind
			if step.Cause.Node == ref.ID {
				n.Newest = max(n.Newest, step.Cause.Seq)
			}
		}
	}
	silent := make([]Lane, 0, len(named))
	for ref, n := range named {
		silent = append(silent, Lane{Node: ref, Silent: true, Mentions: n})
	}
	slices.SortFunc(silent, func(a, b Lane) int {
		return cmp.Or(cmp.Compare(a.Node.ID, b.Node.ID), cmp.Compare(a.Node.Incarnation, b.Node.Incarnation))
	})
	return silent
}

// silentLives returns the newest life that a cause names of each silent process.
// It stands for those that are named without their incarnation.
func silentLives(causes *causes, steps []Step) map[ccnode.ID]ccnode.Incarnation {
	lives := make(map[ccnode.ID]ccnode.Incarnation)
	for i := range steps {
		for _, ref := range silentRefs(causes, &steps[i].Event) {
			lives[ref.ID] = max(lives[ref.ID], ref.Incarnation)
		}
	}
	return lives
}

// silentRefs returns the lives that the event names and that have no lane.
func silentRefs(causes *causes, event *Event) []ccnode.Ref {
	var refs []ccnode.Ref
	if event.Cause.Node != "" && causes.life(event) == none {
		refs = append(refs, ccnode.Ref{ID: event.Cause.Node, Incarnation: event.Cause.Incarnation})
	}
	peer := event.Peer
	if peer == "" || peer == event.Cause.Node || len(causes.lives[peer]) > 0 {
		return refs
	}
	return append(refs, ccnode.Ref{ID: peer})
}
