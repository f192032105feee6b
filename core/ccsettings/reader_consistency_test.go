package ccsettings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorcroft/core/ccsettings"
)

// drawSectionText generates a section with few distinct keys and values, so that
// teams often disagree.
func drawSectionText(t *rapid.T, name string) string {
	var text strings.Builder
	if cells := rapid.IntRange(0, 3).Draw(t, "cells"); cells > 0 {
		fmt.Fprintf(&text, "fleet: {cells: %d}\n", cells)
	}
	if share := rapid.IntRange(0, 2).Draw(t, "share"); share > 0 {
		fmt.Fprintf(&text, "teams: {a: {share: %d}}\n", share)
	}
	if name == ccsettings.Chair {
		text.WriteString(rapid.SampledFrom([]string{
			"", "votes: {fleet.cells: {value: 9}}\n", "votes: {fleet.cells: {value: 8}, teams.a.share: {value: 7}}\n",
		}).Draw(t, "votes"))
	}
	return text.String()
}

// After any sequence of changes a reader must compute the same differences as the
// writer planned, and a value on which teams disagree must change only by a decision
// of the chair.
func TestReadersMatchWriterAfterRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := ccsettings.Base{Sections: map[string]*ccsettings.Section{}}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", ccsettings.Chair}).Draw(t, "section")
			text := drawSectionText(t, name)
			plan, err := ccsettings.NewPlan(time.Unix(0, 0), base, ccsettings.Proposal{Section: name, Text: text, Writer: fmt.Sprint(step)})
			if err != nil {
				t.Fatal(err)
			}
			section, _ := ccsettings.ParseSection(name, name, []byte(text))
			base.Sections[name] = section
			merged, err := ccsettings.Merge(plan.Head, base.Sections, nil)
			if err != nil {
				t.Fatal(err)
			}
			differences := ccsettings.Diff(base.Values, merged.Values)
			if fmt.Sprint(differences) != fmt.Sprint(plan.Head.Change.Differences) {
				t.Fatalf("got differences %v, want %v as planned by the writer", differences, plan.Head.Change.Differences)
			}
			for _, conflict := range merged.Conflicts {
				if conflict.Decision == ccsettings.DecisionHeld && merged.Values[conflict.Key] != base.Values[conflict.Key] {
					t.Fatalf("%s changed from %q to %q without a vote", conflict.Key, base.Values[conflict.Key], merged.Values[conflict.Key])
				}
			}
			base.Head, base.Values = plan.Head, merged.Values
		}
	})
}
