package ccload

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/core/ccjob"
)

var runStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestReport reports on a complete, a refused, a wrongly answered and an
// unanswered job, with one violation of each guarantee.
func newTestReport() Report {
	plan := &Plan{Duration: time.Second, Arrivals: []Arrival{
		{Number: 0, Team: "a", Tasks: []time.Duration{100 * ms, 100 * ms}},
		{Number: 1, Team: "a", At: 100 * ms, Tasks: []time.Duration{100 * ms}},
		{Number: 2, Team: "b", At: 200 * ms, Tasks: []time.Duration{100 * ms}},
		{Number: 3, Team: "b", At: 300 * ms, Tasks: []time.Duration{100 * ms}},
	}}
	summary := NewSummary(SummaryConfig{
		Name: "test", Plan: plan, Profile: Profile{Name: "two", Targets: twoTargets}, RoundTrip: 3 * ms,
	})
	complete := ccjob.StateComplete
	summary.Add(Result{Number: 0, JobID: "j0", Answered: true, State: complete, Response: 206 * ms})
	summary.Add(Result{Number: 1, JobID: "j1", Answered: true, State: ccjob.StateRefused, Kind: ccjob.KindQuota, NotRun: true, CallDuration: 4 * ms})
	summary.Add(Result{Number: 2, JobID: "j2", Answered: true, State: complete, Response: 53 * ms, Wrong: true})
	summary.Add(Result{Number: 3, JobID: "j3"})
	return summary.Report(Observations{From: runStart, Messages: Messages{Dispatch: 3, Report: 4, Claims: 2, Sent: 5}, Starts: []Start{
		{JobID: "j0", Index: 0, At: runStart},
		{JobID: "j0", Index: 1, At: runStart},
		{JobID: "j0", Index: 1, At: runStart},
		{JobID: "j1", Index: 0, At: runStart},
		{JobID: "nobody", Index: 0, At: runStart},
	}})
}

func TestReport(t *testing.T) {
	report := newTestReport()
	golden := goldie.New(t)
	t.Run("table", func(t *testing.T) {
		var table bytes.Buffer
		if err := WriteTable(&table, []Report{report, report}); err != nil {
			t.Fatal(err)
		}
		golden.Assert(t, "table", table.Bytes())
	})
	t.Run("json", func(t *testing.T) {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Assert(t, "report", data)
	})
	t.Run("notRunOfOneSubmissionHoldsUntilItsAnswer", func(t *testing.T) {
		for name, c := range map[string]struct {
			start time.Duration
			want  int
		}{"startedBefore": {-ms, 1}, "startedAfter": {ms, 0}} {
			summary := NewSummary(SummaryConfig{
				Plan:    &Plan{Duration: time.Second, Arrivals: []Arrival{{Tasks: []time.Duration{ms}}}},
				Profile: Profile{Targets: twoTargets},
			})
			summary.Add(Result{JobID: "j", Answered: true, State: ccjob.StateRefused, NotRunUntil: runStart})
			got := summary.Report(Observations{From: runStart, Starts: []Start{{JobID: "j", At: runStart.Add(c.start)}}})
			if got.FalseNotRun != c.want {
				t.Errorf("%s: FalseNotRun is %d, want %d", name, got.FalseNotRun, c.want)
			}
		}
	})
	t.Run("outageReducesAvailableWork", func(t *testing.T) {
		profile := Profile{Targets: twoTargets}
		plan := &Plan{Duration: time.Second, Arrivals: []Arrival{{Tasks: []time.Duration{500 * ms}}}}
		summary := NewSummary(SummaryConfig{
			Plan: plan, Profile: profile, Outages: []Outage{{Domain: "a", From: 500 * ms, To: 2 * time.Second}},
		})
		summary.Add(Result{JobID: "j", Answered: true, State: ccjob.StateComplete})
		got := summary.Report(Observations{From: runStart, Starts: []Start{{JobID: "j", At: runStart, Target: 1}}})
		// Target a is available for half a second at speed 2, target b for one second
		// at speed 1.
		assertNear(t, "goodput", got.Goodput, 0.25, 1e-9)
	})
	t.Run("violationsAreCounted", func(t *testing.T) {
		if report.TasksDoubled != 1 || report.TasksLost != 1 || report.FalseNotRun != 1 || report.Unknown != 1 || report.NoAnswer != 1 || report.WrongAnswers != 1 {
			t.Errorf("the report misses a violated guarantee: %+v", report)
		}
		if report.Holds() {
			t.Error("Holds is true, want false for a report with violations")
		}
	})
}
