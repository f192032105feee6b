package ccsettings_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/core/ccsettings"
)

func parse(t *testing.T, name, text string) *ccsettings.Section {
	t.Helper()
	section, err := ccsettings.ParseSection(name, name+".yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return section
}

// merge merges sections, given as alternating names and texts.
func merge(t *testing.T, head ccsettings.Head, previous ccsettings.Values, texts ...string) (*ccsettings.Merged, error) {
	t.Helper()
	sections := map[string]*ccsettings.Section{}
	for i := 0; i < len(texts); i += 2 {
		sections[texts[i]] = parse(t, texts[i], texts[i+1])
	}
	return ccsettings.Merge(head, sections, previous)
}

func mustMerge(t *testing.T, previous ccsettings.Values, texts ...string) *ccsettings.Merged {
	t.Helper()
	merged, err := merge(t, ccsettings.Head{Version: 1}, previous, texts...)
	if err != nil {
		t.Fatal(err)
	}
	return merged
}

// wantIssues compares the issues of an error with a golden file.
func wantIssues(t *testing.T, name string, err error) {
	t.Helper()
	issues := ccsettings.IssuesOf(err)
	if len(issues) == 0 {
		t.Fatalf("error lists no issues: %v", err)
	}
	goldie.New(t).Assert(t, name, []byte(issues.Text()+"\n"))
}

// faultySection contains one error of each kind that the parser reports, one of them
// an alias without an anchor.
const faultySection = `services:
  notices:
    slots: many
    slot: 3
    slots: 4
    ejectFor: 5
    weights: {north: fast, south: 1, "a b": 1}
  "two words": {slots: 3}
  empty:
  bare: {}
domains:
  north: {out: perhaps}
  south: {out: ~}
teams: [sales]
fleet: {cells: 1.5, logLevel: [info], retention: *none}
votes: {fleet.cells: {team: sales}}
queues: {}
`

func TestParseFaults(t *testing.T) {
	_, err := ccsettings.ParseSection("sales", "sales.yaml", []byte(faultySection))
	if err == nil || !strings.Contains(err.Error(), "unknown anchor") {
		t.Fatalf("got error %v, want unknown anchor", err)
	}
	// The other errors are reported only if the YAML syntax is valid.
	readable := strings.Replace(faultySection, "*none", "5m", 1)
	_, err = ccsettings.ParseSection("sales", "sales.yaml", []byte(readable))
	wantIssues(t, "parse-faults", err)
}

func TestVoteFaults(t *testing.T) {
	_, err := ccsettings.ParseSection(ccsettings.Chair, "chair.yaml", []byte(`votes:
  fleet.cells: {team: sales, value: 3}
  fleet.cell: {team: sales}
  fleet.logLevel: {}
  fleet.maxClaims: {value: few}
  fleet.retention: {group: sales}
  fleet.clockMargin: {team: chair}
`))
	wantIssues(t, "vote-faults", err)
}

func TestLimits(t *testing.T) {
	_, err := ccsettings.ParseSection(ccsettings.Chair, "chair.yaml", []byte(`services:
  notices:
    slots: 0
    policy: fastest
    maxDeadline: 2h
    weights: {north: 1, east: -1}
domains: {north: {rampUp: -1s}}
teams: {sales: {share: 0}}
fleet: {clockMargin: 2m}
votes: {fleet.cells: {value: 0}}
`))
	wantIssues(t, "limits", err)
}

func TestReferences(t *testing.T) {
	_, err := merge(t, ccsettings.Head{Version: 1}, nil,
		"chair", "domains: {north: {out: true}}\nvotes: {fleet.cells: {team: nobody}}",
		"sales", "services:\n  notices:\n    weights: {north: 1, nowhere: 2}\n")
	wantIssues(t, "references", err)
}

func TestSyntaxErrorsAndEmptyDocuments(t *testing.T) {
	for _, text := range []string{"fleet: {}\n---\nfleet: {}", "fleet: [", "\x00", "a: b: c"} {
		_, err := ccsettings.ParseSection("sales", "sales.yaml", []byte(text))
		var e *ccsettings.Error
		if !errors.As(err, &e) || e.Kind != ccsettings.KindSyntax {
			t.Errorf("%q: got %v, want a syntax error", text, err)
		}
	}
	for _, text := range []string{"", "# nothing\n", "---\n", "~"} {
		if section := parse(t, "sales", text); len(section.Settings) != 0 {
			t.Errorf("%q: got settings, want none", text)
		}
	}
}

func TestDecisions(t *testing.T) {
	const a, b = "fleet: {cells: 2}", "fleet: {cells: 3}"
	previous := ccsettings.Values{"fleet.cells": "9"}
	tests := []struct {
		name     string
		texts    []string
		cells    int
		decision ccsettings.Decision
		conflict bool
	}{
		{"no section", nil, 1, "", false},
		{"one team", []string{"a", a}, 2, ccsettings.DecisionAgreed, false},
		{"agreeing teams", []string{"a", a, "b", a}, 2, ccsettings.DecisionAgreed, false},
		{"no vote", []string{"a", a, "b", b}, 9, ccsettings.DecisionHeld, true},
		{"vote for a team", []string{"a", a, "b", b, "chair", "votes: {fleet.cells: {team: b}}"}, 3, ccsettings.DecisionVote, true},
		{"vote for a value", []string{"a", a, "b", b, "chair", "votes: {fleet.cells: {value: 7}}"}, 7, ccsettings.DecisionVote, true},
		{"vote for a team that doesn't set the key", []string{"a", a, "b", b, "c", "", "chair", "votes: {fleet.cells: {team: c}}"}, 9, ccsettings.DecisionHeld, true},
		{"vote on an agreed value", []string{"a", a, "b", a, "chair", "votes: {fleet.cells: {value: 7}}"}, 2, ccsettings.DecisionAgreed, false},
		{"only the chair", []string{"chair", b}, 3, ccsettings.DecisionChair, false},
		{"chair over a team", []string{"a", a, "chair", b}, 3, ccsettings.DecisionChair, false},
		{"chair over a vote", []string{"a", a, "b", b, "chair", "fleet: {cells: 5}\nvotes: {fleet.cells: {team: a}}"}, 5, ccsettings.DecisionChair, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merged := mustMerge(t, previous, test.texts...)
			if got := merged.Effective.Fleet.Cells; got != test.cells {
				t.Errorf("got %d cells, want %d", got, test.cells)
			}
			if got := merged.Origins["fleet.cells"].Decision; got != test.decision {
				t.Errorf("got decision %q, want %q", got, test.decision)
			}
			if got := len(merged.Conflicts) == 1; got != test.conflict {
				t.Errorf("got conflicts %+v", merged.Conflicts)
			}
		})
	}
}

// A reader knows the head and the sections but not the previous values, and must
// still compute the values that the writer planned.
func TestReaderMatchesWriter(t *testing.T) {
	base := ccsettings.Base{Sections: map[string]*ccsettings.Section{}}
	step := func(section, text string) {
		t.Helper()
		plan, err := ccsettings.NewPlan(time.Unix(0, 0), base, ccsettings.Proposal{Section: section, Text: text, Writer: fmt.Sprint(base.Head.Version)})
		if err != nil {
			t.Fatal(err)
		}
		base.Head = plan.Head
		base.Sections[section] = parse(t, section, text)
		merged, err := ccsettings.Merge(plan.Head, base.Sections, nil)
		if err != nil {
			t.Fatal(err)
		}
		if differences := ccsettings.Diff(base.Values, merged.Values); len(differences) != len(plan.Head.Change.Differences) {
			t.Fatalf("got differences %v, want %v as planned by the writer", differences, plan.Head.Change.Differences)
		}
		base.Values = merged.Values
	}
	want := func(value ccsettings.Value) {
		t.Helper()
		if got := base.Values["fleet.cells"]; got != value {
			t.Fatalf("got cells %q, want %q", got, value)
		}
	}
	step("a", "fleet: {cells: 2}")
	step("b", "fleet: {cells: 3}")
	want("2")
	step("a", "fleet: {cells: 4}")
	want("2") // Held until the chair decides.
	step("chair", "votes: {fleet.cells: {team: b}}")
	want("3")
	step("chair", "")
	want("3") // Without the vote the value in force stays.
	step("a", "fleet: {cells: 3}")
	want("3")
	step("a", "")
	step("b", "")
	want("")
}

func TestSinceWithOmittedDifferences(t *testing.T) {
	history := []ccsettings.Change{
		{Version: 1, Differences: []ccsettings.Difference{{Key: "fleet.cells", After: "2"}, {Key: "teams.a.share", After: "2"}}},
		{Version: 2, Differences: []ccsettings.Difference{{Key: "fleet.maxClaims", After: "5000"}}, Omitted: 1},
	}
	merged := mustMerge(t, nil, "a", "fleet: {cells: 2}\nteams: {a: {share: 2}}")
	for key, unsure := range map[ccsettings.Key]bool{"fleet.cells": false, "teams.a.share": true} {
		e, ok := ccsettings.Explain(key, nil, merged, history)
		if !ok || e.Since == nil || e.Since.Version != 1 || e.Unsure != unsure {
			t.Errorf("%s: got %+v, want version 1 and unsure %v", key, e, unsure)
		}
	}
}

func TestSetText(t *testing.T) {
	const before = "# Decided on Monday.\ndomains:\n  north:\n    region: coast # Near the harbor.\nvotes:\n  fleet.cells: {team: a}\n"
	after, err := ccsettings.SetText(before, "domains.north.out", "true")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "set-text", []byte(after))
	section := parse(t, ccsettings.Chair, after)
	if got := section.Settings["domains.north.out"].Value; got != "true" {
		t.Fatalf("got out %q, want true", got)
	}
	for _, text := range []string{"", "# Nothing yet.\n", "domains:\n", "domains: {north: {out: false}}"} {
		after, err := ccsettings.SetText(text, "domains.north.out", "true")
		if err != nil || parse(t, ccsettings.Chair, after).Settings["domains.north.out"].Value != "true" {
			t.Errorf("%q became %q: %v", text, after, err)
		}
	}
	if _, err := ccsettings.SetText("", "domains.north.off", "true"); err == nil {
		t.Error("SetText accepted an unknown key")
	}
}

func FuzzParseSection(f *testing.F) {
	f.Add("services: {a: {slots: 3, weights: {n: .5}}}\nvotes: {fleet.cells: {value: 2}}")
	f.Add("fleet: {retention: 5m}\n# end")
	f.Add("domains: &a {n: *a}")
	f.Add("? [a]\n: b")
	f.Fuzz(func(t *testing.T, text string) {
		section, err := ccsettings.ParseSection(ccsettings.Chair, "f", []byte(text))
		if err != nil {
			return
		}
		// Merging a valid section may fail but must not panic, and editing must succeed.
		_, _ = ccsettings.Merge(ccsettings.Head{}, map[string]*ccsettings.Section{ccsettings.Chair: section}, nil)
		edited, err := ccsettings.SetText(text, "domains.north.out", "true")
		if err != nil {
			t.Fatalf("%q can't be edited: %v", text, err)
		}
		again, err := ccsettings.ParseSection(ccsettings.Chair, "f", []byte(edited))
		if err != nil {
			t.Fatalf("%q became %q: %v", text, edited, err)
		}
		for key, setting := range section.Settings {
			if key != "domains.north.out" && again.Settings[key].Value != setting.Value {
				t.Fatalf("editing changed %s: %q became %q", key, text, edited)
			}
		}
	})
}
