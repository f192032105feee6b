package ccsettings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorcroft/core/ccsettings"
)

// drawText draws a section over few keys, so that teams often disagree.
func drawText(t *rapid.T, name string) string {
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

// Over any order of changes readers agree with the writer, and a value that teams
// disagree on moves only by the chair.
func TestCommittee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		present := ccsettings.Base{Sections: map[string]*ccsettings.Section{}}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", ccsettings.Chair}).Draw(t, "section")
			text := drawText(t, name)
			plan, err := ccsettings.NewPlan(time.Unix(0, 0), present, ccsettings.Proposal{Section: name, Text: text, Writer: fmt.Sprint(step)})
			if err != nil {
				t.Fatal(err)
			}
			section, _ := ccsettings.ParseSection(name, name, []byte(text))
			present.Sections[name] = section
			merged, err := ccsettings.Merge(plan.Head, present.Sections, nil)
			if err != nil {
				t.Fatal(err)
			}
			differences := ccsettings.Diff(present.Values, merged.Values)
			if fmt.Sprint(differences) != fmt.Sprint(plan.Head.Change.Differences) {
				t.Fatalf("a reader sees %v, the writer planned %v", differences, plan.Head.Change.Differences)
			}
			for _, conflict := range merged.Conflicts {
				if conflict.Decision == ccsettings.DecisionHeld && merged.Values[conflict.Key] != present.Values[conflict.Key] {
					t.Fatalf("%s moved from %q to %q with no vote", conflict.Key, present.Values[conflict.Key], merged.Values[conflict.Key])
				}
			}
			present.Head, present.Values = plan.Head, merged.Values
		}
	})
}
