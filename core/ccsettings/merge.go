package ccsettings

import (
	"maps"
	"slices"
)

// Merged is the outcome of merging all sections of one version.
type Merged struct {
	Effective *Effective
	// Values are the values in force that some section or the held record gives.
	Values Values
	// Origins says for each of them where it comes from.
	Origins map[Key]Origin
	// Conflicts are the keys on which teams disagree, in order, decided or not.
	Conflicts []Conflict
	// Held are the values that stay for want of a vote.
	Held Values
}

// Decision is how a key's value was found.
type Decision string

const (
	// DecisionAgreed is a value on which all teams that set the key agree.
	DecisionAgreed Decision = "agreed"
	// DecisionChair is a value that the chair's section sets.
	DecisionChair Decision = "chair"
	// DecisionVote is a value that the chair's vote chose.
	DecisionVote Decision = "vote"
	// DecisionHeld is a value that stays since teams disagree without a vote.
	DecisionHeld Decision = "held"
	// DecisionDefault is a value that nobody set.
	DecisionDefault Decision = "default"
)

// Origin is how a key got its value.
type Origin struct {
	Decision Decision `json:"decision"`
	// Section is where the value stands, if it stands in a section.
	Section string `json:"section,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// Candidate is one team's value for a key.
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
	// Value is the value in force. It is empty while the default stays.
	Value Value `json:"value,omitempty"`
}

// Merge merges the sections into the settings of the head's version, and checks
// the result. Where teams disagree without a vote the previous value stays, or
// the head's held one if there is no previous. Readers pass no previous values,
// so that all of them get the same result.
func Merge(head Head, sections map[string]*Section, previous Values) (*Merged, error) {
	m := &merger{
		head:     head,
		sections: sections,
		previous: previous,
		merged: &Merged{
			Values: Values{}, Origins: map[Key]Origin{}, Held: Values{}, Conflicts: []Conflict{},
		},
	}
	claims := m.claims()
	for _, key := range slices.Sorted(maps.Keys(claims)) {
		m.decide(key, claims[key])
	}
	effective, err := build(head.Version, m.merged.Values)
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

// claims returns what the teams and the chair's section say on each key, the
// teams in the order of their names.
func (m *merger) claims() map[Key][]Candidate {
	claims := map[Key][]Candidate{}
	for _, name := range slices.Sorted(maps.Keys(m.sections)) {
		for key, setting := range m.sections[name].Settings {
			claims[key] = append(claims[key], Candidate{Section: name, Line: setting.Line, Value: setting.Value})
		}
	}
	return claims
}

func (m *merger) decide(key Key, claims []Candidate) {
	chair, teams := splitChair(claims)
	agreed := agree(teams)
	switch vote := m.vote(key, teams); {
	case chair != nil:
		m.take(key, *chair, DecisionChair)
	case agreed:
		m.take(key, teams[0], DecisionAgreed)
	case vote != nil:
		m.take(key, *vote, DecisionVote)
	default:
		m.hold(key)
	}
	if !agreed {
		m.merged.Conflicts = append(m.merged.Conflicts, Conflict{
			Key: key, Candidates: teams,
			Decision: m.merged.Origins[key].Decision, Value: m.merged.Values[key],
		})
	}
}

func splitChair(claims []Candidate) (*Candidate, []Candidate) {
	teams := make([]Candidate, 0, len(claims))
	var chair *Candidate
	for _, claim := range claims {
		if claim.Section == Chair {
			chair = &claim
			continue
		}
		teams = append(teams, claim)
	}
	return chair, teams
}

func agree(teams []Candidate) bool {
	for _, claim := range teams {
		if claim.Value != teams[0].Value {
			return false
		}
	}
	return true
}

// vote returns what the chair's vote chose, or nil if there is no vote or it names
// a team that doesn't set the key.
func (m *merger) vote(key Key, teams []Candidate) *Candidate {
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
	for _, claim := range teams {
		if claim.Section == vote.Team {
			return &claim
		}
	}
	return nil
}

func (m *merger) take(key Key, claim Candidate, decision Decision) {
	m.merged.Values[key] = claim.Value
	m.merged.Origins[key] = Origin{Decision: decision, Section: claim.Section, Line: claim.Line}
}

// hold keeps the value in force. The default stays when there is none.
func (m *merger) hold(key Key) {
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
