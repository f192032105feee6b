package ccsettings

import (
	"encoding/json"
	"time"
)

// Head is the single record that lists the revisions of the sections in force. A
// change is accepted once its writer has replaced the head.
type Head struct {
	Version uint64 `json:"version"`
	// Writer is the unique ID of the attempt that wrote this head.
	Writer string `json:"writer"`
	// Sections maps each section's name to its revision.
	Sections map[string]string `json:"sections"`
	// Held are the values kept in force for keys on which teams disagree and no vote
	// of the chair decides.
	Held Values `json:"held,omitempty"`
	// Change is the change that made this version.
	Change Change `json:"change"`
}

// Change is one accepted change, as recorded in the history.
type Change struct {
	Version  uint64    `json:"version"`
	Writer   string    `json:"writer"`
	Section  string    `json:"section"`
	Operator string    `json:"by,omitempty"` // The name of the operator.
	At       time.Time `json:"at"`           // The time on the operator's clock.
	// Differences are the changes of values in force, at most MaxDifferences.
	Differences []Difference `json:"differences"`
	// Omitted is the number of differences over MaxDifferences, which are not listed.
	Omitted int `json:"more,omitempty"`
	// Unresolved are the keys on which teams disagree and no vote of the chair
	// decides, at most MaxDifferences.
	Unresolved []Key `json:"unresolved,omitempty"`
}

// SectionRecord is one revision of a section in the store. It is immutable.
type SectionRecord struct {
	Name     string `json:"name"`
	Revision string `json:"revision"`
	Operator string `json:"by,omitempty"`
	Text     string `json:"text"`
}

// ParseHead decodes a head record. Empty data gives the zero head, which precedes
// the first change.
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

// ParseSectionRecord decodes a section record and parses the section's text.
func ParseSectionRecord(data []byte) (*SectionRecord, *Section, error) {
	record := &SectionRecord{}
	if err := json.Unmarshal(data, record); err != nil {
		return nil, nil, &Error{Op: "read section", Kind: KindRecord, Err: err}
	}
	section, err := ParseSection(record.Name, "section "+record.Name, []byte(record.Text))
	return record, section, err
}
