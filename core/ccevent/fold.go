package ccevent

import "time"

// foldSpan is how far apart events may be that are folded into one.
const foldSpan = time.Millisecond

// Fold puts steps into one that follow each other and differ in their task
// alone, such as the starts of one dispatch. It is for readers; the result can't
// be filtered by task.
func (t Timeline) Fold() Timeline {
	folded := Timeline{Lanes: t.Lanes, BrokenCauses: t.BrokenCauses}
	for i := range t.Steps {
		step := &t.Steps[i]
		if n := len(folded.Steps); n > 0 && folded.Steps[n-1].takes(step) {
			folded.Steps[n-1].take(step)
			continue
		}
		folded.Steps = append(folded.Steps, *step)
	}
	return folded
}

// takes reports whether the next step differs in its task alone.
func (s *Step) takes(next *Step) bool {
	single := s.Index != NoIndex || len(s.Tasks) > 0
	if !single || next.Index == NoIndex || next.Dropped > 0 || next.When.Sub(s.When) > foldSpan {
		return false
	}
	return s.Node == next.Node && s.Kind == next.Kind && s.Job == next.Job && s.Job != "" && s.Claim == next.Claim &&
		s.Peer == next.Peer && s.Cause == next.Cause && s.Text == next.Text
}

func (s *Step) take(next *Step) {
	if len(s.Tasks) == 0 {
		s.Tasks = []int{s.Index}
		s.Index = NoIndex
	}
	s.Tasks = append(s.Tasks, next.Index)
	s.Count = len(s.Tasks)
	s.LastSeq = next.Seq
}
