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

// Report holds the measurements of one run. Shares are relative to the work that
// the targets can do in the measured time. Times are in milliseconds.
type Report struct {
	Name    string `json:"name"`
	Profile string `json:"profile"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"`
	// Capacity is the number of average tasks that the fleet can run in one second.
	Capacity float64 `json:"capacity"`
	Offered  float64 `json:"offered"`

	Complete      int                `json:"complete"`
	TasksAnswered int                `json:"tasksAnswered"`
	Refused       map[ccjob.Kind]int `json:"refused"`
	Failed        map[ccjob.Kind]int `json:"failed"`
	Left          int                `json:"left"`
	NoAnswer      int                `json:"noAnswer"`
	// WrongAnswers counts answers that were incomplete, out of order, or another
	// job's.
	WrongAnswers int `json:"wrong"`

	// Starts and the counts below it are derived from the starts that the targets
	// recorded.
	Starts       int `json:"starts"`
	TasksLost    int `json:"lost"`        // Tasks of complete jobs that no target started.
	TasksDoubled int `json:"doubled"`     // Tasks that started more than once.
	FalseNotRun  int `json:"falseNotRun"` // Jobs that were reported as not run but had started.
	Unknown      int `json:"unknown"`     // Starts of jobs that no client submitted.

	Goodput      float64 `json:"goodput"`      // Share of work done for jobs that completed.
	Busy         float64 `json:"busy"`         // Share of work done for all jobs.
	IdealGoodput float64 `json:"idealGoodput"` // Share of work done in the ideal replay.

	Response  Quantiles `json:"response"`
	Ideal     Quantiles `json:"ideal"`     // Ideal replay in OrderFirstCome.
	OverIdeal Quantiles `json:"overIdeal"` // Ratio of Response to Ideal, per job.
	Fair      Quantiles `json:"fair"`      // Ideal replay in OrderFair.
	OverFair  Quantiles `json:"overFair"`
	// JitteredOverFair is the ratio of the response in the fair ideal replay with
	// arrivals delayed by up to 1 ms to the one without delays, per job.
	JitteredOverFair Quantiles `json:"floor"`
	OverAlone        Quantiles `json:"overAlone"` // Ratio of Response to the ideal with the fleet to itself.
	Refusals         Quantiles `json:"refusals"`  // Time from submission to refusal.
	SubmitDelay      Quantiles `json:"late"`      // Delay of submissions behind the plan.

	Messages Messages `json:"messages"`
}

// Holds reports whether all guarantees held.
func (r *Report) Holds() bool {
	return r.TasksLost == 0 && r.TasksDoubled == 0 && r.WrongAnswers == 0 && r.FalseNotRun == 0 && r.Unknown == 0 && r.NoAnswer == 0
}

// ExtraSends returns the number of sends beyond the recorded starts, per start.
func (r *Report) ExtraSends() float64 {
	if r.Starts == 0 || r.Messages.Sent < uint64(r.Starts) {
		return 0
	}
	return float64(r.Messages.Sent-uint64(r.Starts)) / float64(r.Starts)
}

// MessagesPerTask returns the number of messages between processes per answered
// task.
func (r *Report) MessagesPerTask() float64 {
	m := r.Messages
	return r.perTask(m.Dispatch + m.Report + m.Claims + m.Control)
}

// perTask divides a count by the number of answered tasks.
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

// rows defines the label and the cell value of each row of the table.
var rows = []struct {
	label string
	value func(*Report) string
}{
	{"run", func(r *Report) string { return r.Name }},
	{"profile", func(r *Report) string { return r.Profile }},
	{"jobs / tasks", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Jobs, r.Tasks) }},
	{"capacity, tasks/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.Capacity) }},
	{"offered load", func(r *Report) string { return formatPercent(r.Offered) }},
	{"goodput", func(r *Report) string { return formatPercent(r.Goodput) }},
	{"work done", func(r *Report) string { return formatPercent(r.Busy) }},
	{"ideal goodput", func(r *Report) string { return formatPercent(r.IdealGoodput) }},
	{"jobs complete", func(r *Report) string { return fmt.Sprint(r.Complete) }},
	{"jobs refused", func(r *Report) string { return formatCounts(r.Refused) }},
	{"jobs failed", func(r *Report) string { return formatCounts(r.Failed) }},
	{"clients left / no answer", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Left, r.NoAnswer) }},
	{"tasks lost / doubled", func(r *Report) string { return fmt.Sprintf("%d / %d", r.TasksLost, r.TasksDoubled) }},
	{"wrong answers / false notRun", func(r *Report) string { return fmt.Sprintf("%d / %d", r.WrongAnswers, r.FalseNotRun) }},
	{"response p50 / p99, ms", func(r *Report) string { return formatQuantiles(r.Response) }},
	{"ideal p50 / p99, ms", func(r *Report) string { return formatQuantiles(r.Ideal) }},
	{"over ideal p50 / p99", func(r *Report) string { return formatQuantiles(r.OverIdeal) }},
	{"over fair ideal p50 / p99", func(r *Report) string { return formatQuantiles(r.OverFair) }},
	{"jittered over fair ideal p50 / p99", func(r *Report) string { return formatQuantiles(r.JitteredOverFair) }},
	{"p50 / p99 over those of the ideal", func(r *Report) string { return formatQuotients(r.Response, r.Ideal) }},
	{"p50 / p99 over those of the fair ideal", func(r *Report) string { return formatQuotients(r.Response, r.Fair) }},
	{"over alone p50 / p99", func(r *Report) string { return formatQuantiles(r.OverAlone) }},
	{"refusal p50 / p99, ms", func(r *Report) string { return formatQuantiles(r.Refusals) }},
	{"generator late p50 / p99, ms", func(r *Report) string { return formatQuantiles(r.SubmitDelay) }},
	{"messages a task", func(r *Report) string { return fmt.Sprintf("%.3f", r.MessagesPerTask()) }},
	{"dispatches / reports / claims / control a task", func(r *Report) string {
		m := r.Messages
		return fmt.Sprintf("%.3f / %.3f / %.3f / %.3f", r.perTask(m.Dispatch), r.perTask(m.Report), r.perTask(m.Claims), r.perTask(m.Control))
	}},
	{"extra sends a task", func(r *Report) string { return fmt.Sprintf("%.3f", r.ExtraSends()) }},
}

func formatPercent(value float64) string {
	const percent = 100
	return fmt.Sprintf("%.1f %%", value*percent)
}

func formatQuantiles(q Quantiles) string {
	return fmt.Sprintf("%.2f / %.2f", q.P50, q.P99)
}

// formatQuotients formats the quotients of the quantiles of two distributions, or
// "-" if a divisor is zero.
func formatQuotients(a, b Quantiles) string {
	if b.P50 == 0 || b.P99 == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f / %.2f", a.P50/b.P50, a.P99/b.P99)
}

// formatCounts lists the counts by kind, sorted by name.
func formatCounts(counts map[ccjob.Kind]int) string {
	if len(counts) == 0 {
		return "0"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
