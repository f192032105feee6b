package ccdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/juju/errors"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccfleet"
	"camphorcroft/io/ccgenerator"
)

// Check is one promise with the count of what broke it.
type Check struct {
	Name   string `json:"name"`
	Broken int    `json:"broken"`
}

// Report is the outcome of a demo.
type Report struct {
	Seed      uint64              `json:"seed"`
	Elapsed   ccsettings.Duration `json:"elapsed"`
	Submitted int                 `json:"tasksSubmitted"`
	Started   int                 `json:"tasksStarted"`
	Answered  int                 `json:"tasksAnswered"`
	Checks    []Check             `json:"checks"`
	Load      ccload.Report       `json:"load"`
}

// Holds reports whether every promise held.
func (r *Report) Holds() bool {
	for _, check := range r.Checks {
		if check.Broken > 0 {
			return false
		}
	}
	return true
}

// judge compares what clients were told with what the targets saw.
func (d *Demo) judge(ctx context.Context, plan *ccload.Plan, run ccgenerator.Run, again *twice) *Report {
	starts := d.fleet.Starts()
	ofPlan, ofTwice := split(starts, again.id)
	summary := ccload.NewSummary(ccload.SummaryConfig{
		Name: "demo", Profile: d.profile, Plan: plan, RoundTrip: d.profile.ClientRoundTrip,
	})
	for _, result := range run.Results {
		summary.Add(result)
	}
	load := summary.Report(ccload.Observations{Starts: ofPlan, From: run.From, Messages: d.fleet.Messages(ctx)})
	broken := 0
	if !again.same || len(ofTwice) != again.tasks {
		broken = 1
	}
	outStarts := ccfleet.StartsIn(starts, outDomain, d.moments.out.Add(outBound), d.moments.in)
	return &Report{
		Seed:      d.cfg.Seed,
		Submitted: load.Tasks + again.tasks,
		Started:   load.Starts + len(ofTwice),
		Answered:  load.TasksAnswered + again.tasks*(1-broken),
		Load:      load,
		Checks: []Check{
			{"tasks lost", load.TasksLost},
			{"tasks doubled", load.TasksDoubled},
			{"jobs without an outcome", load.NoAnswer},
			{"answers partial or another job's", load.WrongAnswers},
			{"jobs that ran after notRun was promised", load.FalseNotRun},
			{"starts of jobs that nobody submitted", load.Unknown},
			{"resubmissions with another outcome", broken},
			{"starts in the domain that was out, after 3 s", outStarts},
			{"failed jobs that no killed process explains", d.unexplained(plan, run, ofPlan)},
			{"starts beyond a target's slots", d.fleet.Overruns()},
			{"steps of the script that failed", len(d.moments.failures)},
		},
	}
}

func split(starts []ccload.Start, id ccjob.ID) (others, own []ccload.Start) {
	for _, start := range starts {
		if start.JobID == id {
			own = append(own, start)
		} else {
			others = append(others, start)
		}
	}
	return others, own
}

// unexplained counts failed jobs none of whose tasks was started by the agent
// that was killed, and which did not live when the entry was killed.
func (d *Demo) unexplained(plan *ccload.Plan, run ccgenerator.Run, starts []ccload.Start) int {
	atAgent := make(map[ccjob.ID]bool)
	for _, start := range starts {
		if start.Target == killedAgent && start.At.Before(d.moments.agentKilled) {
			atAgent[start.JobID] = true
		}
	}
	count := 0
	for _, result := range run.Results {
		begin := run.From.Add(plan.Arrivals[result.Number].At)
		atEntry := begin.Before(d.moments.entryKilled) && begin.Add(result.Response).After(d.moments.entryKilled)
		if result.State == ccjob.StateFailed && !atAgent[result.JobID] && !atEntry {
			count++
			arrival := &plan.Arrivals[result.Number]
			d.say("Job %s of %s, deadline %s, longest task %s, failed after %s: %s.", result.JobID, arrival.At,
				arrival.Deadline, slices.Max(arrival.Tasks), result.Response, result.Kind)
		}
	}
	return count
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "tasks submitted\t%d\n", r.Submitted)
	_, _ = fmt.Fprintf(table, "tasks started\t%d\n", r.Started)
	_, _ = fmt.Fprintf(table, "tasks answered\t%d\n", r.Answered)
	_, _ = fmt.Fprintf(table, "jobs complete / refused / failed\t%d / %d / %d\n", r.Load.Complete, sum(r.Load.Refused), sum(r.Load.Failed))
	for _, check := range r.Checks {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\n", check.Name, check.Broken, verdict(check.Broken == 0))
	}
	_, _ = fmt.Fprintf(table, "response p50 / p99\t%.0f ms / %.0f ms\n", r.Load.Response.P50, r.Load.Response.P99)
	_, _ = fmt.Fprintf(table, "took\t%s\n", r.Elapsed)
	_, _ = fmt.Fprintf(table, "all promises\t%s\n", verdict(r.Holds()))
	return errors.Annotate(table.Flush(), "write report")
}

func verdict(held bool) string {
	if held {
		return "held"
	}
	return "BROKEN"
}

func sum(counts map[ccjob.Kind]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
