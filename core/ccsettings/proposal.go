package ccsettings

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// MaxSections bounds the sections of one head.
const MaxSections = 4096

// maxHeadBytes leaves room below the store's limit of 1 MiB for one value.
const maxHeadBytes = 900 << 10

// Base is the version that a proposal starts from.
type Base struct {
	Head     Head
	Sections map[string]*Section
	Values   Values
}

// Proposal is a new text for one section.
type Proposal struct {
	Section  string
	File     string // Names the text in errors.
	Text     string
	Operator string // The operator.
	// Writer marks this attempt. No two attempts share one.
	Writer string
}

// Plan is what to write to make a proposal the next version: first the record of
// the section, then the head.
type Plan struct {
	Record    SectionRecord
	Head      Head
	Conflicts []Conflict
}

// NewPlan merges the proposal with the present version and checks the outcome.
func NewPlan(now time.Time, present Base, p Proposal) (*Plan, error) {
	section, err := ParseSection(p.Section, p.File, []byte(p.Text))
	if err != nil {
		return nil, err
	}
	version := present.Head.Version + 1
	revision := NewRevision(version, p.Writer)
	head := Head{Version: version, Writer: p.Writer, Sections: withEntry(present.Head.Sections, p.Section, revision)}
	if len(head.Sections) > MaxSections {
		err := fmt.Errorf("there are %d sections, more than %d", len(head.Sections), MaxSections)
		return nil, &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	merged, err := Merge(head, withEntry(present.Sections, p.Section, section), present.Values)
	if err != nil {
		return nil, err
	}
	head.Held = merged.Held
	head.Change = newChange(now, present, p, merged)
	if err := checkSize(head); err != nil {
		return nil, err
	}
	record := SectionRecord{Name: p.Section, Revision: revision, Operator: p.Operator, Text: p.Text}
	return &Plan{Record: record, Head: head, Conflicts: merged.Conflicts}, nil
}

func newChange(now time.Time, present Base, p Proposal, merged *Merged) Change {
	differences := Diff(present.Values, merged.Values)
	shown := min(len(differences), MaxDifferences)
	return Change{
		Version:     present.Head.Version + 1,
		Writer:      p.Writer,
		Section:     p.Section,
		Operator:    p.Operator,
		At:          now.UTC(),
		Differences: differences[:shown],
		Omitted:     len(differences) - shown,
		Unresolved:  unresolved(merged.Conflicts),
	}
}

// unresolved lists the keys that wait for a vote.
func unresolved(conflicts []Conflict) []Key {
	var keys []Key
	for _, conflict := range conflicts {
		if conflict.Decision == DecisionHeld && len(keys) < MaxDifferences {
			keys = append(keys, conflict.Key)
		}
	}
	return keys
}

func checkSize(head Head) error {
	data, err := json.Marshal(head)
	if err != nil {
		return &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	if len(data) > maxHeadBytes {
		err := fmt.Errorf("the head would have %d bytes, more than %d", len(data), maxHeadBytes)
		return &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	return nil
}

func withEntry[V any](all map[string]V, name string, value V) map[string]V {
	with := make(map[string]V, len(all)+1)
	maps.Copy(with, all)
	with[name] = value
	return with
}
