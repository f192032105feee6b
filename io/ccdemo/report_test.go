package ccdemo

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccgenerator"
)

func TestReport(t *testing.T) {
	report := &Report{
		Seed: 7, Elapsed: ccsettings.Duration(12 * time.Second), Submitted: 30, Started: 29, Answered: 28,
		Checks: []Check{{"tasks lost", 0}, {"tasks doubled", 2}},
		Load:   ccload.Report{Complete: 9, Refused: map[ccjob.Kind]int{ccjob.KindQuota: 1}},
	}
	t.Run("text", func(t *testing.T) {
		var text bytes.Buffer
		if err := report.Write(&text); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "report", text.Bytes())
	})
	t.Run("oneBrokenPromiseBreaksAll", func(t *testing.T) {
		if report.Holds() {
			t.Error("a report with doubled tasks says that all promises held")
		}
	})
}

func TestUnexplained(t *testing.T) {
	from := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	demo, err := New(Config{Out: &bytes.Buffer{}})
	if err != nil {
		t.Fatal(err)
	}
	demo.moments = moments{entryKilled: from.Add(5 * time.Second), agentKilled: from.Add(8 * time.Second)}
	count := func(at, response time.Duration, target int) int {
		plan := &ccload.Plan{Arrivals: []ccload.Arrival{{At: at, Tasks: []time.Duration{time.Second}}}}
		run := ccgenerator.Run{From: from, Results: []ccload.Result{{JobID: "j", State: ccjob.StateFailed, Response: response}}}
		return demo.unexplained(plan, run, []ccload.Start{{JobID: "j", Target: target, At: from.Add(at)}})
	}
	for name, c := range map[string]struct {
		at, response time.Duration
		target, want int
	}{
		"startedAtTheKilledAgent":    {7 * time.Second, 2 * time.Second, killedAgent, 0},
		"livedWhenTheEntryWasKilled": {4 * time.Second, 2 * time.Second, killedAgent + 1, 0},
		"atAnotherAgent":             {7 * time.Second, 2 * time.Second, killedAgent + 1, 1},
		"afterTheAgentWasKilled":     {9 * time.Second, time.Second, killedAgent, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := count(c.at, c.response, c.target); got != c.want {
				t.Errorf("%d failures are unexplained, want %d", got, c.want)
			}
		})
	}
}
