package ccevent

import "time"

// maxFoldSpan is the maximum time between a folded step's first event and any
// later event folded into it.
const maxFoldSpan = time.Millisecond

// Fold combines consecutive steps that differ only in their task, such as the
// starts of one dispatch. It is meant for display; the result can't be filtered
// by task.
func (t Timeline) Fold() Timeline {
	folded := Timeline{Lanes: t.Lanes, BrokenCauses: t.BrokenCauses}
	for i := range t.Steps {
		step := &t.Steps[i]
		if n := len(folded.Steps); n > 0 && folded.Steps[n-1].canFold(step) {
			folded.Steps[n-1].fold(step)
			continue
		}
		folded.Steps = append(folded.Steps, *step)
	}
	return folded
}

// canFold reports whether the next step differs only in its task.
func (s *Step) canFold(next *Step) bool {
	single := s.Index != NoIndex || len(s.Tasks) > 0
	if !single || next.Index == NoIndex || next.Dropped > 0 || next.When.Sub(s.When) > maxFoldSpan {
		return false
	}
	return s.Node == next.Node && s.Kind == next.Kind && s.Job == next.Job && s.Job != "" && s.Claim == next.Claim &&
		s.Peer == next.Peer && s.Cause == next.Cause && s.Text == next.Text
}

func (s *Step) fold(next *Step) {
	if len(s.Tasks) == 0 {
		s.Tasks = []int{s.Index}
		s.Index = NoIndex
	}
	s.Tasks = append(s.Tasks, next.Index)
	s.Count = len(s.Tasks)
	s.LastSeq = next.Seq
}
