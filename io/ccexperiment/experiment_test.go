package ccexperiment

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccgenerator"
)

func TestRun(t *testing.T) {
	profile, err := ccload.ProfileByName("maregrafo")
	if err != nil {
		t.Fatal(err)
	}
	plan, err := ccload.NewPlan(ccload.PlanConfig{Profile: profile, Load: 0.3, Duration: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	happened := 0
	reports, err := Run(t.Context(), Config{
		Profile: profile, Plan: plan, Seed: 1, EntryCount: 1, Log: logr.Discard(),
		Policies: []string{"lateBinding", "roundRobin"},
		Faults:   []ccfault.Fault{{Kind: ccfault.KindSlow, Index: 1, Factor: 2}},
		Progress: func(string, ccgenerator.Progress) {},
		Happened: func(_ ccfault.Fault, err error) {
			if err != nil {
				t.Error(err)
			}
			happened++
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(reports) != 2 || happened != 2 {
		t.Fatalf("there are %d reports and %d faults, want 2 and 2", len(reports), happened)
	}
	for _, report := range reports {
		t.Run(report.Name, func(t *testing.T) {
			if !report.Holds() {
				t.Errorf("a promise was broken: %+v", report)
			}
			if report.Jobs != len(plan.Arrivals) || report.Complete == 0 || report.Starts < report.TasksAnswered {
				t.Errorf("the report doesn't add up: %+v", report)
			}
		})
	}
}

func TestAway(t *testing.T) {
	spans := away([]ccfault.Fault{
		{At: ccsettings.Duration(time.Second), Kind: ccfault.KindDomainOut, Domain: "mira"},
		{At: ccsettings.Duration(2 * time.Second), Kind: ccfault.KindDomainOut, Domain: "ovar"},
		{At: ccsettings.Duration(3 * time.Second), Kind: ccfault.KindDomainIn, Domain: "mira"},
	}, 9*time.Second)
	want := []ccload.Outage{
		{Domain: "mira", From: time.Second, To: 3 * time.Second},
		{Domain: "ovar", From: 2 * time.Second, To: 9 * time.Second},
	}
	if !slices.Equal(spans, want) {
		t.Errorf("domains are away %v, want %v", spans, want)
	}
}
