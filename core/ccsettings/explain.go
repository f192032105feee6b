package ccsettings

// Explanation says how a key got its value.
type Explanation struct {
	Key     Key    `json:"key"`
	Value   Value  `json:"value"`
	Version uint64 `json:"version"`
	Origin
	// Candidates are what the teams and the chair's section set.
	Candidates []Candidate `json:"claims"`
	// Vote is the chair's vote on the key, if there is one.
	Vote *VoteView `json:"vote,omitempty"`
	// Since is the change that brought the value into force. It is nil for a
	// default, and when the change is older than the history.
	Since *Change `json:"since,omitempty"`
	// Unsure tells that a later change than Since left out some differences, so
	// that it may have been the one.
	Unsure bool `json:"unsure,omitempty"`
	// OldestVersion is the first version that the history still has.
	OldestVersion uint64 `json:"oldest,omitempty"`
}

// VoteView is a vote as it is shown.
type VoteView struct {
	Team  string `json:"team,omitempty"`
	Value Value  `json:"value,omitempty"`
}

// Explain says how a key got its value. The history is in the order of versions.
// It is false for a key that doesn't exist.
func Explain(key Key, sections map[string]*Section, merged *Merged, history []Change) (Explanation, bool) {
	value, ok := merged.Effective.Value(key)
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{Key: key, Value: value, Version: merged.Effective.Version, Origin: merged.Origins[key]}
	if e.Decision == "" {
		e.Decision = DecisionDefault
	}
	m := merger{sections: sections}
	e.Candidates = m.claims()[key]
	if e.Candidates == nil {
		e.Candidates = []Candidate{}
	}
	if chair := sections[Chair]; chair != nil {
		if vote, ok := chair.Votes[key]; ok {
			e.Vote = &VoteView{Team: vote.Team, Value: vote.Value}
		}
	}
	if len(history) > 0 {
		e.OldestVersion = history[0].Version
	}
	e.Since, e.Unsure = sinceOf(key, history)
	return e, true
}

// sinceOf returns the newest change of the key's value, and whether a later one
// may have left it out.
func sinceOf(key Key, history []Change) (*Change, bool) {
	unsure := false
	for i := len(history) - 1; i >= 0; i-- {
		change := &history[i]
		for _, difference := range change.Differences {
			if difference.Key == key {
				return change, unsure
			}
		}
		// Differences are in the order of keys, and the last ones are left out.
		if n := len(change.Differences); change.Omitted > 0 && n > 0 && key > change.Differences[n-1].Key {
			unsure = true
		}
	}
	return nil, unsure
}
