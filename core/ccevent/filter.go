package ccevent

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Filter says which steps of a time line to keep. A zero field keeps all.
type Filter struct {
	Job ccjob.ID
	// IncludeSurrounding adds to the events of Job what befell the processes that took part in
	// it, while it lasted: lost peers, outages, settings versions and the like.
	IncludeSurrounding bool
	// Task keeps the events of one task, and those of no single task.
	Task   *int
	Node   ccnode.ID // The process itself, or the peer that it names.
	Domain string    // Of the process, or of the peer that the event is about.
	Team   string
	Kinds  []Kind
	Since  time.Time
	Until  time.Time
}

// Apply returns the time line with the steps that the filter keeps. All lanes
// stay, since they tell what is missing.
func (f Filter) Apply(timeline Timeline) Timeline {
	around := f.surroundings(timeline)
	domains := make(map[ccnode.Ref]string, len(timeline.Lanes))
	for i := range timeline.Lanes {
		domains[timeline.Lanes[i].Node] = timeline.Lanes[i].Domain
	}
	kept := Timeline{Lanes: timeline.Lanes, BrokenCauses: timeline.BrokenCauses}
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if f.keepsJob(step, around) && f.keepsDomain(step, domains) && f.keepsRest(step) {
			kept.Steps = append(kept.Steps, *step)
		}
	}
	return kept
}

func (f Filter) keepsJob(step *Step, around span) bool {
	if f.Job == "" || step.Job == f.Job {
		return true
	}
	return f.IncludeSurrounding && step.Job == "" && around.holds(step) && isSurrounding(step.Kind)
}

func (f Filter) keepsDomain(step *Step, domains map[ccnode.Ref]string) bool {
	return f.Domain == "" || step.Domain == f.Domain || domains[step.Node] == f.Domain
}

func (f Filter) keepsRest(step *Step) bool {
	switch {
	case f.Task != nil && step.Index != NoIndex && step.Index != *f.Task:
		return false
	case f.Node != "" && step.Node.ID != f.Node && step.Peer != f.Node:
		return false
	case f.Team != "" && step.Team != f.Team:
		return false
	case len(f.Kinds) > 0 && !slices.Contains(f.Kinds, step.Kind):
		return false
	case !f.Since.IsZero() && step.When.Before(f.Since):
		return false
	default:
		return f.Until.IsZero() || !step.When.After(f.Until)
	}
}

// isSurrounding tells the kinds that belong to no job and bear on all.
func isSurrounding(kind Kind) bool {
	switch kind {
	case KindUp, KindDown, KindDraining, KindVersion, KindLeaseLost, KindLeaseTaken, KindRoster,
		KindEjected, KindReadmit, KindAgentUp, KindAgentDown, KindCutOff, KindOutage, KindPaused:
		return true
	default:
		return false
	}
}

// span is the time that a job took and the processes that had a part in it.
type span struct {
	first, last time.Time
	nodes       map[ccnode.ID]bool
	// gaps is set when some of these processes are silent, so that more may have
	// had a part than are known.
	gaps bool
}

// holds reports whether the step lies in the span, at a process with a part in
// the job, and names no process that is known to have none.
func (s span) holds(step *Step) bool {
	if !s.nodes[step.Node.ID] || step.Peer != "" && !s.nodes[step.Peer] && !s.gaps {
		return false
	}
	return !step.When.Before(s.first) && !step.When.After(s.last)
}

func (f Filter) surroundings(timeline Timeline) span {
	s := span{nodes: make(map[ccnode.ID]bool)}
	if f.Job == "" || !f.IncludeSurrounding {
		return s
	}
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if step.Job != f.Job {
			continue
		}
		if len(s.nodes) == 0 {
			s.first = step.When
		}
		s.last = step.When
		s.nodes[step.Node.ID] = true
		if step.Peer != "" {
			s.nodes[step.Peer] = true
		}
	}
	for i := range timeline.Lanes {
		l := &timeline.Lanes[i]
		s.gaps = s.gaps || l.Silent && s.nodes[l.Node.ID]
	}
	return s
}
