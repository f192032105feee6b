package ccsettings

// Explanation describes how a key got its value.
type Explanation struct {
	Key     Key    `json:"key"`
	Value   Value  `json:"value"`
	Version uint64 `json:"version"`
	Origin
	// Candidates are the values that the sections of the teams and the chair set.
	Candidates []Candidate `json:"claims"`
	// Vote is the chair's vote on the key, if there is one.
	Vote *VoteView `json:"vote,omitempty"`
	// Since is the newest known change of the value. It is nil for a default, and
	// when the change is older than the history.
	Since *Change `json:"since,omitempty"`
	// Unsure is true if a change after Since omitted some differences, so that it
	// may also have changed the value.
	Unsure bool `json:"unsure,omitempty"`
	// OldestVersion is the oldest version that the history still holds.
	OldestVersion uint64 `json:"oldest,omitempty"`
}

// VoteView is the JSON form of a Vote.
type VoteView struct {
	Team  string `json:"team,omitempty"`
	Value Value  `json:"value,omitempty"`
}

// Explain describes how a key got its value. The history must be sorted by version.
// It returns false for a key that doesn't exist.
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
	e.Candidates = m.candidates()[key]
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
	e.Since, e.Unsure = lastChange(key, history)
	return e, true
}

// lastChange returns the newest change that lists the key, and whether a later
// change may have omitted it.
func lastChange(key Key, history []Change) (*Change, bool) {
	unsure := false
	for i := len(history) - 1; i >= 0; i-- {
		change := &history[i]
		for _, difference := range change.Differences {
			if difference.Key == key {
				return change, unsure
			}
		}
		// Differences are sorted by key, and the last ones are omitted.
		if n := len(change.Differences); change.Omitted > 0 && n > 0 && key > change.Differences[n-1].Key {
			unsure = true
		}
	}
	return nil, unsure
}
