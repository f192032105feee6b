package ccsettings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Issue is one problem in the settings, with its file, line and key.
type Issue struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Key    Key    `json:"key,omitempty"`
	Reason string `json:"reason"`
}

// String formats the issue as "file:line: key: reason" and omits unknown parts.
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

// Issues are the problems that one check found.
type Issues []Issue

// Text returns the issues as text, one per line.
func (is Issues) Text() string {
	lines := make([]string, len(is))
	for i, issue := range is {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// sort sorts the issues by file, line and key.
func (is Issues) sort() {
	slices.SortStableFunc(is, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
