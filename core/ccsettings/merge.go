package ccsettings

import (
	"maps"
	"slices"
)

// Merged is the result of merging all sections of one version.
type Merged struct {
	Effective *Effective
	// Values are the values in force that come from a section, a vote, the previous
	// values or the head's held values. Keys with their default are not included.
	Values Values
	// Origins maps each key that a section sets to the origin of its value.
	Origins map[Key]Origin
	// Conflicts are the keys on which teams disagree, sorted, including those that
	// the chair has decided.
	Conflicts []Conflict
	// Held are the values kept in force for keys on which teams disagree and no vote
	// of the chair decides.
	Held Values
}

// Decision is the rule that determined a key's value.
type Decision string

const (
	// DecisionAgreed is a value on which all teams that set the key agree.
	DecisionAgreed Decision = "agreed"
	// DecisionChair is a value that the chair's section sets.
	DecisionChair Decision = "chair"
	// DecisionVote is a value that the chair's vote chose.
	DecisionVote Decision = "vote"
	// DecisionHeld is a value that stays in force because teams disagree and no
	// vote of the chair decides.
	DecisionHeld Decision = "held"
	// DecisionDefault is the default of a key that no section sets.
	DecisionDefault Decision = "default"
)

// Origin describes where a key's value comes from.
type Origin struct {
	Decision Decision `json:"decision"`
	// Section is the section that sets the value, empty if the value comes from
	// none.
	Section string `json:"section,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// Candidate is the value that one section sets for a key.
type Candidate struct {
	Section string `json:"section"`
	Line    int    `json:"line"`
	Value   Value  `json:"value"`
}

// Conflict is a key on which teams disagree.
type Conflict struct {
	Key        Key         `json:"key"`
	Candidates []Candidate `json:"claims"`
	// Decision is DecisionChair, DecisionVote or DecisionHeld.
	Decision Decision `json:"decision"`
	// Value is the value in force. It is empty while the default applies.
	Value Value `json:"value,omitempty"`
}

// Merge merges the sections into the settings of the head's version and validates
// the result. If teams disagree on a key and neither the chair's section nor a vote
// decides, the previous value stays in force, or the head's held value if there is no
// previous one. Readers pass no previous values, so that all of them get the same
// result.
func Merge(head Head, sections map[string]*Section, previous Values) (*Merged, error) {
	m := &merger{
		head:     head,
		sections: sections,
		previous: previous,
		merged: &Merged{
			Values: Values{}, Origins: map[Key]Origin{}, Held: Values{}, Conflicts: []Conflict{},
		},
	}
	candidates := m.candidates()
	for _, key := range slices.Sorted(maps.Keys(candidates)) {
		m.resolve(key, candidates[key])
	}
	effective, err := buildEffective(head.Version, m.merged.Values)
	if err != nil {
		return nil, err
	}
	m.merged.Effective = effective
	if issues := m.check(); len(issues) > 0 {
		return nil, newIssuesError("merge", issues)
	}
	return m.merged, nil
}

type merger struct {
	head     Head
	sections map[string]*Section
	previous Values
	merged   *Merged
}

// candidates returns the values that the sections set for each key, sorted by the
// name of the section.
func (m *merger) candidates() map[Key][]Candidate {
	candidates := map[Key][]Candidate{}
	for _, name := range slices.Sorted(maps.Keys(m.sections)) {
		for key, setting := range m.sections[name].Settings {
			candidates[key] = append(candidates[key], Candidate{Section: name, Line: setting.Line, Value: setting.Value})
		}
	}
	return candidates
}

// resolve determines the value of a key. The chair's section takes precedence, then a
// value on which all teams agree, then the chair's vote. Otherwise the value in force
// is held.
func (m *merger) resolve(key Key, candidates []Candidate) {
	chair, teams := splitChair(candidates)
	agreed := allEqual(teams)
	switch vote := m.votedCandidate(key, teams); {
	case chair != nil:
		m.setValue(key, *chair, DecisionChair)
	case agreed:
		m.setValue(key, teams[0], DecisionAgreed)
	case vote != nil:
		m.setValue(key, *vote, DecisionVote)
	default:
		m.holdValue(key)
	}
	if !agreed {
		m.merged.Conflicts = append(m.merged.Conflicts, Conflict{
			Key: key, Candidates: teams,
			Decision: m.merged.Origins[key].Decision, Value: m.merged.Values[key],
		})
	}
}

// splitChair separates the chair's candidate, nil if there is none, from those of
// the teams.
func splitChair(candidates []Candidate) (*Candidate, []Candidate) {
	teams := make([]Candidate, 0, len(candidates))
	var chair *Candidate
	for _, candidate := range candidates {
		if candidate.Section == Chair {
			chair = &candidate
			continue
		}
		teams = append(teams, candidate)
	}
	return chair, teams
}

func allEqual(candidates []Candidate) bool {
	for _, candidate := range candidates {
		if candidate.Value != candidates[0].Value {
			return false
		}
	}
	return true
}

// votedCandidate returns the candidate that the chair's vote chose, or nil if there is
// no vote or the vote names a team that doesn't set the key.
func (m *merger) votedCandidate(key Key, teams []Candidate) *Candidate {
	chair := m.sections[Chair]
	if chair == nil {
		return nil
	}
	vote, ok := chair.Votes[key]
	if !ok {
		return nil
	}
	if vote.Team == "" {
		return &Candidate{Section: Chair, Line: vote.Line, Value: vote.Value}
	}
	for _, candidate := range teams {
		if candidate.Section == vote.Team {
			return &candidate
		}
	}
	return nil
}

func (m *merger) setValue(key Key, candidate Candidate, decision Decision) {
	m.merged.Values[key] = candidate.Value
	m.merged.Origins[key] = Origin{Decision: decision, Section: candidate.Section, Line: candidate.Line}
}

// holdValue keeps the value in force. If there is none, the default applies.
func (m *merger) holdValue(key Key) {
	m.merged.Origins[key] = Origin{Decision: DecisionHeld}
	value, ok := m.previous[key]
	if !ok {
		value, ok = m.head.Held[key]
	}
	if !ok {
		return
	}
	m.merged.Values[key] = value
	m.merged.Held[key] = value
}
