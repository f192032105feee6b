package ccreplay

import (
	"expvar"
	"math"
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/io/ccmetric"
)

// metrics holds an entry's counters and latency histograms.
type metrics struct {
	changes       *expvar.Map
	answers       *expvar.Map
	refusals      *expvar.Map
	answerTime    *ccmetric.Histogram
	placementTime *ccmetric.Histogram
}

// newMetrics registers the entry's metrics, which docs/METRICS.md describes.
func (e *Entry) newMetrics() metrics {
	set := e.cfg.Metrics
	if set == nil {
		set = ccmetric.NewSet(string(e.cfg.Node.ID))
	}
	set.Func("domain", func() any { return e.cfg.Domain })
	set.Func("planRevision", func() any {
		if plan := e.plan.Load(); plan != nil {
			return plan.Revision
		}
		return 0
	})
	set.Func("planReportedRevision", func() any { return e.planReported.Load() })
	set.Func("planBehindMs", func() any { return time.Duration(e.planBehind.Load()).Milliseconds() })
	set.Func("agentsUsable", func() any { return e.usableAgents.Load() })
	set.Func("latenessMs", func() any { return time.Duration(e.lateness.Load()).Milliseconds() })
	return metrics{
		changes: set.Map("changes"), answers: set.Map("answers"), refusals: set.Map("refusals"),
		answerTime: set.Histogram("answerTime"), placementTime: set.Histogram("placementTime"),
	}
}

// recordChange counts a change and, unless it is quiet, logs it.
func (e *Entry) recordChange(c ccreplay.Change) {
	e.metrics.changes.Add(ccmetric.Name(c.Message), 1)
	for _, p := range c.Placements {
		if p.Attempt == 1 {
			e.metrics.placementTime.Observe(c.Age)
		}
	}
	switch {
	case c.Quiet:
	case len(c.Placements) > 0:
		e.log.Info(c.Message, placementFields(c)...)
	case c.Route != "" && c.Job != "":
		e.log.Info(c.Message, "job", c.Job, "route", c.Route, "tasks", c.Count, "estimateMs", c.Age.Milliseconds())
	default:
		e.log.Info(c.Message, logFields(c)...)
	}
}

// placementFields returns the log fields of the placement of a job's tasks: one line for
// all tasks, with a list for each value that differs by task. Each line has a cost.
func placementFields(c ccreplay.Change) []any {
	n := len(c.Placements)
	indexes, agents, attempts := make([]int, n), make([]string, n), make([]int, n)
	orders, workers := make([]uint64, n), make([]uint32, n)
	rooms, paces, ages := make([]int64, n), make([]float64, n), make([]int64, n)
	for i, p := range c.Placements {
		indexes[i], agents[i], attempts[i] = p.Index, string(p.Agent), p.Attempt
		orders[i], workers[i] = p.Order, p.Worker
		rooms[i], paces[i], ages[i] = p.FreeCPU, math.Round(100*p.Pace)/100, p.ReportAge.Milliseconds()
	}
	return []any{
		"job", c.Job, "waitedMs", c.Age.Milliseconds(), "indexes", indexes, "agents", agents, "attempts", attempts, "orders", orders, "workers", workers,
		"rooms", rooms, "paces", paces, "reportAgesMs", ages,
	}
}

// logFields returns the log fields of a change. It omits empty fields to keep log
// lines short, since each line has a cost.
func logFields(c ccreplay.Change) []any {
	fields := make([]any, 0, 22)
	if c.Job != "" {
		fields = append(fields, "job", c.Job, "index", c.Index)
	}
	if c.Route != "" {
		fields = append(fields, "route", c.Route)
	}
	if c.Agent != "" {
		fields = append(fields, "agent", string(c.Agent))
	}
	if c.Reason != "" {
		fields = append(fields, "reason", c.Reason)
	}
	if c.Age != 0 {
		fields = append(fields, "ageMs", c.Age.Milliseconds())
	}
	if c.Count != 0 {
		fields = append(fields, "count", c.Count)
	}
	if c.Reported != 0 {
		fields = append(fields, "reported", c.Reported)
	}
	if c.Order != 0 {
		fields = append(fields, "order", c.Order)
	}
	if c.Worker != 0 {
		fields = append(fields, "worker", c.Worker)
	}
	if c.Incarnation != 0 {
		fields = append(fields, "incarnation", uint64(c.Incarnation), "clockMs", c.Clock.Milliseconds())
	}
	if c.Session != 0 {
		fields = append(fields, "session", c.Session)
	}
	if c.LatestSession != 0 {
		fields = append(fields, "latestSession", c.LatestSession)
	}
	return fields
}

// recordAnswer logs and counts an answer.
func (e *Entry) recordAnswer(answer ccreplay.Answer) {
	e.metrics.answers.Add(string(answer.State), 1)
	if answer.State == ccreplay.StateRefused {
		e.metrics.refusals.Add(answer.Reason, 1)
	} else {
		e.metrics.answerTime.Observe(answer.Took)
	}
	e.log.Info("Request answered.", "job", answer.ID, "state", string(answer.State), "reason", answer.Reason,
		"tookMs", answer.Took.Milliseconds(), "retryAfterMs", answer.RetryAfter.Milliseconds(), "planRevision", e.planRevision(), "planAgeMs", e.planAge().Milliseconds())
}

func (e *Entry) planRevision() uint64 {
	if plan := e.scheduler.Plan(); plan != nil {
		return plan.Revision
	}
	return 0
}

// planAge returns how long the current plan has been in force in this entry.
func (e *Entry) planAge() time.Duration {
	if e.planAppliedAt.IsZero() {
		return 0
	}
	return time.Since(e.planAppliedAt)
}

// recordReadiness logs when the entry becomes ready, when it no longer is, and why.
func (e *Entry) recordReadiness() {
	ready, reason := e.Ready()
	if ready == e.wasReady && reason == e.unreadyReason {
		return
	}
	e.wasReady, e.unreadyReason = ready, reason
	fields := []any{"planRevision", e.planRevision(), "reported", e.planReported.Load(), "agents", e.usableAgents.Load()}
	if ready {
		e.log.Info("Entry is ready.", fields...)
		return
	}
	e.log.Info("Entry is not ready.", append(fields, "reason", reason)...)
}
