package ccsettings

import (
	"encoding/json"
	"time"
)

// Head is the one record that says which sections are in force. Whoever replaces
// it has its change accepted.
type Head struct {
	Version uint64 `json:"version"`
	// Writer marks the attempt that wrote this head. No two attempts share one.
	Writer string `json:"writer"`
	// Sections gives each section's revision.
	Sections map[string]string `json:"sections"`
	// Held are the values that stay in force while teams disagree without a vote.
	Held Values `json:"held,omitempty"`
	// Change is how this version came about.
	Change Change `json:"change"`
}

// Change is one accepted change, as the history keeps it.
type Change struct {
	Version  uint64    `json:"version"`
	Writer   string    `json:"writer"`
	Section  string    `json:"section"`
	Operator string    `json:"by,omitempty"` // The operator.
	At       time.Time `json:"at"`           // By the operator's clock.
	// Differences are what changed in the values in force, up to MaxDifferences.
	Differences []Difference `json:"differences"`
	// Omitted is how many differences were left out.
	Omitted int `json:"more,omitempty"`
	// Unresolved are the keys on which teams disagree with no vote, up to
	// MaxDifferences.
	Unresolved []Key `json:"unresolved,omitempty"`
}

// SectionRecord is a section as the store keeps it, never changed once written.
type SectionRecord struct {
	Name     string `json:"name"`
	Revision string `json:"revision"`
	Operator string `json:"by,omitempty"`
	Text     string `json:"text"`
}

// ParseHead reads a head. An empty text is the head before the first change.
func ParseHead(data []byte) (Head, error) {
	head := Head{}
	if len(data) == 0 {
		return head, nil
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, &Error{Op: "read head", Kind: KindRecord, Err: err}
	}
	return head, nil
}

// ParseSectionRecord reads a section's record and the section in it.
func ParseSectionRecord(data []byte) (*SectionRecord, *Section, error) {
	record := &SectionRecord{}
	if err := json.Unmarshal(data, record); err != nil {
		return nil, nil, &Error{Op: "read section", Kind: KindRecord, Err: err}
	}
	section, err := ParseSection(record.Name, "section "+record.Name, []byte(record.Text))
	return record, section, err
}
