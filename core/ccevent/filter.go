package ccevent

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Filter selects steps of a timeline. A zero field matches every step.
type Filter struct {
	Job ccjob.ID
	// IncludeSurrounding adds to the events of Job those of the processes that took
	// part in it, while it lasted: lost peers, outages, settings versions and the
	// like.
	IncludeSurrounding bool
	// Task selects the events of one task and those that concern no single task.
	Task   *int
	Node   ccnode.ID // The process itself, or the peer of the event.
	Domain string    // The failure domain of the process, or of the peer that the event is about.
	Team   string
	Kinds  []Kind
	Since  time.Time
	Until  time.Time
}

// Apply returns the timeline reduced to the steps that the filter selects. It
// keeps all lanes, since they show which events are missing.
func (f Filter) Apply(timeline Timeline) Timeline {
	span := f.jobSpanIn(timeline)
	domains := make(map[ccnode.Ref]string, len(timeline.Lanes))
	for i := range timeline.Lanes {
		domains[timeline.Lanes[i].Node] = timeline.Lanes[i].Domain
	}
	kept := Timeline{Lanes: timeline.Lanes, BrokenCauses: timeline.BrokenCauses}
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if f.matchesJob(step, span) && f.matchesDomain(step, domains) && f.matchesFields(step) {
			kept.Steps = append(kept.Steps, *step)
		}
	}
	return kept
}

func (f Filter) matchesJob(step *Step, span jobSpan) bool {
	if f.Job == "" || step.Job == f.Job {
		return true
	}
	return f.IncludeSurrounding && step.Job == "" && span.contains(step) && isSurrounding(step.Kind)
}

func (f Filter) matchesDomain(step *Step, domains map[ccnode.Ref]string) bool {
	return f.Domain == "" || step.Domain == f.Domain || domains[step.Node] == f.Domain
}

func (f Filter) matchesFields(step *Step) bool {
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

// isSurrounding reports whether events of this kind belong to no job but can
// affect every job.
func isSurrounding(kind Kind) bool {
	switch kind {
	case KindUp, KindDown, KindDraining, KindVersion, KindLeaseLost, KindLeaseTaken, KindRoster,
		KindEjected, KindReadmit, KindAgentUp, KindAgentDown, KindCutOff, KindOutage, KindPaused:
		return true
	default:
		return false
	}
}

// jobSpan is the time range of a job and the processes that took part in it.
type jobSpan struct {
	first, last time.Time
	nodes       map[ccnode.ID]bool
	// incomplete is set if some of these processes are silent. Others may then have
	// taken part without being known.
	incomplete bool
}

// contains reports whether the step lies in the time range, happened at a process
// that took part in the job, and has no peer that is known not to have taken part.
func (s jobSpan) contains(step *Step) bool {
	if !s.nodes[step.Node.ID] || step.Peer != "" && !s.nodes[step.Peer] && !s.incomplete {
		return false
	}
	return !step.When.Before(s.first) && !step.When.After(s.last)
}

// jobSpanIn returns the span of the filter's job, which is empty unless
// surrounding events are included.
func (f Filter) jobSpanIn(timeline Timeline) jobSpan {
	s := jobSpan{nodes: make(map[ccnode.ID]bool)}
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
		s.incomplete = s.incomplete || l.Silent && s.nodes[l.Node.ID]
	}
	return s
}
