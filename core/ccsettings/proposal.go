package ccsettings

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// MaxSections is the maximum number of sections in a head.
const MaxSections = 4096

// maxHeadBytes is the maximum size of an encoded head, with a margin below the store's
// limit of 1 MiB per value.
const maxHeadBytes = 900 << 10

// Base is the version to which a proposal is applied.
type Base struct {
	Head     Head
	Sections map[string]*Section
	Values   Values
}

// Proposal is a change that replaces the text of one section.
type Proposal struct {
	Section  string
	File     string // The name of the text in errors.
	Text     string
	Operator string // The name of the operator.
	// Writer is the unique ID of this attempt.
	Writer string
}

// Plan holds the records to write so that a proposal becomes the next version. The
// section's record must be written before the head.
type Plan struct {
	Record    SectionRecord
	Head      Head
	Conflicts []Conflict
}

// NewPlan merges the proposal with the base version and validates the result.
func NewPlan(now time.Time, base Base, p Proposal) (*Plan, error) {
	section, err := ParseSection(p.Section, p.File, []byte(p.Text))
	if err != nil {
		return nil, err
	}
	version := base.Head.Version + 1
	revision := NewRevision(version, p.Writer)
	head := Head{Version: version, Writer: p.Writer, Sections: withEntry(base.Head.Sections, p.Section, revision)}
	if len(head.Sections) > MaxSections {
		err := fmt.Errorf("there would be %d sections, the limit is %d", len(head.Sections), MaxSections)
		return nil, &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	merged, err := Merge(head, withEntry(base.Sections, p.Section, section), base.Values)
	if err != nil {
		return nil, err
	}
	head.Held = merged.Held
	head.Change = newChange(now, base, p, merged)
	if err := checkHeadSize(head); err != nil {
		return nil, err
	}
	record := SectionRecord{Name: p.Section, Revision: revision, Operator: p.Operator, Text: p.Text}
	return &Plan{Record: record, Head: head, Conflicts: merged.Conflicts}, nil
}

func newChange(now time.Time, base Base, p Proposal, merged *Merged) Change {
	differences := Diff(base.Values, merged.Values)
	listed := min(len(differences), MaxDifferences)
	return Change{
		Version:     base.Head.Version + 1,
		Writer:      p.Writer,
		Section:     p.Section,
		Operator:    p.Operator,
		At:          now.UTC(),
		Differences: differences[:listed],
		Omitted:     len(differences) - listed,
		Unresolved:  unresolvedKeys(merged.Conflicts),
	}
}

// unresolvedKeys returns the keys whose conflicts need a vote of the chair, at most
// MaxDifferences.
func unresolvedKeys(conflicts []Conflict) []Key {
	var keys []Key
	for _, conflict := range conflicts {
		if conflict.Decision == DecisionHeld && len(keys) < MaxDifferences {
			keys = append(keys, conflict.Key)
		}
	}
	return keys
}

func checkHeadSize(head Head) error {
	data, err := json.Marshal(head)
	if err != nil {
		return &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	if len(data) > maxHeadBytes {
		err := fmt.Errorf("the head would have %d bytes, the limit is %d", len(data), maxHeadBytes)
		return &Error{Op: "plan", Kind: KindInvalid, Err: err}
	}
	return nil
}

// withEntry returns a copy of the map with one entry added or replaced.
func withEntry[V any](entries map[string]V, name string, value V) map[string]V {
	result := make(map[string]V, len(entries)+1)
	maps.Copy(result, entries)
	result[name] = value
	return result
}
