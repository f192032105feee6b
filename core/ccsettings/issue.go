package ccsettings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Issue is one fault in the settings, with its place.
type Issue struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Key    Key    `json:"key,omitempty"`
	Reason string `json:"reason"`
}

// String returns file:line: key: reason, without what isn't known.
func (i Issue) String() string {
	var b strings.Builder
	if i.File != "" {
		b.WriteString(i.File + ":")
		if i.Line > 0 {
			fmt.Fprintf(&b, "%d:", i.Line)
		}
		b.WriteString(" ")
	}
	if i.Key != "" {
		b.WriteString(string(i.Key) + ": ")
	}
	b.WriteString(i.Reason)
	return b.String()
}

// Issues are the faults of one check, in the order of file and line.
type Issues []Issue

// Text lists the issues, one a line.
func (is Issues) Text() string {
	lines := make([]string, len(is))
	for i, issue := range is {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

func (is Issues) sort() {
	slices.SortStableFunc(is, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
