package ccload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"camphorcroft/core/ccjob"
)

// Report is the outcome of one run. Shares are of what the targets can do in the
// measured time, times are in milliseconds.
type Report struct {
	Name    string `json:"name"`
	Profile string `json:"profile"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"`
	// Capacity is the tasks that the fleet can run in one second.
	Capacity float64 `json:"capacity"`
	Offered  float64 `json:"offered"`

	Complete      int                `json:"complete"`
	TasksAnswered int                `json:"tasksAnswered"`
	Refused       map[ccjob.Kind]int `json:"refused"`
	Failed        map[ccjob.Kind]int `json:"failed"`
	Left          int                `json:"left"`
	NoAnswer      int                `json:"noAnswer"`
	// Wrong is answers that were not whole, not in order, or another job's.
	Wrong int `json:"wrong"`

	// Starts, and what follows, comes from the targets.
	Starts      int `json:"starts"`
	Lost        int `json:"lost"`        // Tasks of complete jobs that no target started.
	Doubled     int `json:"doubled"`     // Tasks that started more than once.
	FalseNotRun int `json:"falseNotRun"` // Jobs with the promise that had started.
	Unknown     int `json:"unknown"`     // Starts of jobs that nobody submitted.

	Goodput      float64 `json:"goodput"`      // Work done for jobs that completed.
	Busy         float64 `json:"busy"`         // Work done for all jobs.
	IdealGoodput float64 `json:"idealGoodput"` // Work done in the ideal replay.

	Response  Quantiles `json:"response"`
	Ideal     Quantiles `json:"ideal"`     // Jobs in the order of their arrival.
	OverIdeal Quantiles `json:"overIdeal"` // Response over Ideal, job by job.
	Fair      Quantiles `json:"fair"`      // One task of each job in turn.
	OverFair  Quantiles `json:"overFair"`
	// Floor is the fair ideal replay with its arrivals moved by up to 1 ms, over
	// the one without, job by job.
	Floor     Quantiles `json:"floor"`
	OverAlone Quantiles `json:"overAlone"` // Over the job with the fleet to itself.
	Refusals  Quantiles `json:"refusals"`  // Time to a refusal.
	Late      Quantiles `json:"late"`      // The generator behind its plan.

	Messages Messages `json:"messages"`
}

// Holds reports whether every promise held.
func (r *Report) Holds() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.Wrong == 0 && r.FalseNotRun == 0 && r.Unknown == 0 && r.NoAnswer == 0
}

// ExtraSends is how often a task was sent beyond its first time, a task.
func (r *Report) ExtraSends() float64 {
	if r.Starts == 0 || r.Messages.Sent < uint64(r.Starts) {
		return 0
	}
	return float64(r.Messages.Sent-uint64(r.Starts)) / float64(r.Starts)
}

// MessagesPerTask is all messages between processes, a task that was answered.
func (r *Report) MessagesPerTask() float64 {
	m := r.Messages
	return r.perTask(m.Dispatch + m.Report + m.Claims + m.Control)
}

// perTask is a count a task that was answered.
func (r *Report) perTask(count uint64) float64 {
	if r.TasksAnswered == 0 {
		return 0
	}
	return float64(count) / float64(r.TasksAnswered)
}

// WriteTable writes the reports side by side, one column each.
func WriteTable(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, 0, len(reports)+1)
		cells = append(cells, row.label)
		for i := range reports {
			cells = append(cells, row.value(&reports[i]))
		}
		if _, err := fmt.Fprintln(table, strings.Join(cells, "\t")); err != nil {
			return newError("write table", KindTrace, err.Error())
		}
	}
	return table.Flush()
}

// rows are the lines of the table.
var rows = []struct {
	label string
	value func(*Report) string
}{
	{"run", func(r *Report) string { return r.Name }},
	{"profile", func(r *Report) string { return r.Profile }},
	{"jobs / tasks", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Jobs, r.Tasks) }},
	{"capacity, tasks/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.Capacity) }},
	{"offered load", func(r *Report) string { return share(r.Offered) }},
	{"goodput", func(r *Report) string { return share(r.Goodput) }},
	{"work done", func(r *Report) string { return share(r.Busy) }},
	{"ideal goodput", func(r *Report) string { return share(r.IdealGoodput) }},
	{"jobs complete", func(r *Report) string { return fmt.Sprint(r.Complete) }},
	{"jobs refused", func(r *Report) string { return kinds(r.Refused) }},
	{"jobs failed", func(r *Report) string { return kinds(r.Failed) }},
	{"clients left / no answer", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Left, r.NoAnswer) }},
	{"tasks lost / doubled", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Lost, r.Doubled) }},
	{"wrong answers / false notRun", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Wrong, r.FalseNotRun) }},
	{"response p50 / p99, ms", func(r *Report) string { return pair(r.Response) }},
	{"ideal p50 / p99, ms", func(r *Report) string { return pair(r.Ideal) }},
	{"over ideal p50 / p99", func(r *Report) string { return pair(r.OverIdeal) }},
	{"over fair ideal p50 / p99", func(r *Report) string { return pair(r.OverFair) }},
	{"jittered over fair ideal p50 / p99", func(r *Report) string { return pair(r.Floor) }},
	{"p50 / p99 over those of the ideal", func(r *Report) string { return quotient(r.Response, r.Ideal) }},
	{"p50 / p99 over those of the fair ideal", func(r *Report) string { return quotient(r.Response, r.Fair) }},
	{"over alone p50 / p99", func(r *Report) string { return pair(r.OverAlone) }},
	{"refusal p50 / p99, ms", func(r *Report) string { return pair(r.Refusals) }},
	{"generator late p50 / p99, ms", func(r *Report) string { return pair(r.Late) }},
	{"messages a task", func(r *Report) string { return fmt.Sprintf("%.3f", r.MessagesPerTask()) }},
	{"dispatches / reports / claims / control a task", func(r *Report) string {
		m := r.Messages
		return fmt.Sprintf("%.3f / %.3f / %.3f / %.3f", r.perTask(m.Dispatch), r.perTask(m.Report), r.perTask(m.Claims), r.perTask(m.Control))
	}},
	{"extra sends a task", func(r *Report) string { return fmt.Sprintf("%.3f", r.ExtraSends()) }},
}

func share(value float64) string {
	const percent = 100
	return fmt.Sprintf("%.1f %%", value*percent)
}

func pair(q Quantiles) string {
	return fmt.Sprintf("%.2f / %.2f", q.P50, q.P99)
}

// quotient divides two distributions' quantiles.
func quotient(a, b Quantiles) string {
	if b.P50 == 0 || b.P99 == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f / %.2f", a.P50/b.P50, a.P99/b.P99)
}

// kinds lists counts by kind, in the order of the names.
func kinds(counts map[ccjob.Kind]int) string {
	if len(counts) == 0 {
		return "0"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
