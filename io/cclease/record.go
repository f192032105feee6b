package cclease

import (
	"expvar"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/io/ccmetric"
)

// metrics holds an agent's counters and latency histograms.
type metrics struct {
	changes      *expvar.Map
	runEnds      *expvar.Map
	startReplies *expvar.Map
	startTime    *ccmetric.Histogram
}

// newMetrics registers the agent's metrics, which docs/METRICS.md describes.
func (a *Agent) newMetrics() metrics {
	set := a.cfg.Metrics
	if set == nil {
		set = ccmetric.NewSet(string(a.cfg.Node.ID))
	}
	set.Func("domain", func() any { return a.cfg.Domain })
	return metrics{changes: set.Map("changes"), runEnds: set.Map("runEnds"), startReplies: set.Map("startReplies"), startTime: set.Histogram("startTime")}
}

func (m metrics) recordStart(response cclease.Response, took time.Duration) {
	m.startReplies.Add(string(response.Status), 1)
	m.startTime.Observe(took)
}

// recordChange logs and counts a change.
func (a *Agent) recordChange(c cclease.Change) {
	a.metrics.changes.Add(ccmetric.Name(c.Message), 1)
	if c.Quiet {
		return
	}
	if c.End != "" {
		a.metrics.runEnds.Add(string(c.End), 1)
		a.cfg.Log.Info(c.Message, "job", c.Task.Job, "index", c.Task.Index, "entry", string(c.Entry), "end", string(c.End), "run", c.Run, "order", c.Order,
			"reason", c.Reason, "ranMs", c.Age.Milliseconds())
		return
	}
	a.cfg.Log.Info(c.Message, logFields(c)...)
}

// logFields returns the log fields of a change. It omits empty fields to keep log
// lines short, since each line has a cost.
func logFields(c cclease.Change) []any {
	fields := make([]any, 0, 16)
	if c.Task.Job != "" {
		fields = append(fields, "job", c.Task.Job, "index", c.Task.Index, "run", c.Run)
	}
	if c.Worker != "" {
		fields = append(fields, "worker", c.Worker)
	}
	if c.Address.IsValid() {
		fields = append(fields, "address", c.Address.String())
	}
	if !c.StartTime.IsZero() {
		fields = append(fields, "startTimeMs", c.StartTime.UnixMilli())
	}
	if c.Sequence != 0 {
		fields = append(fields, "sequence", c.Sequence)
	}
	if c.Token != 0 {
		fields = append(fields, "token", c.Token)
	}
	if c.LeaseEnd != 0 {
		fields = append(fields, "leaseEndMs", c.LeaseEnd.Milliseconds())
	}
	if c.Entry != "" {
		fields = append(fields, "entry", string(c.Entry))
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
	if c.Pace != 0 {
		fields = append(fields, "pace", c.Pace)
	}
	if c.Clock != 0 {
		fields = append(fields, "clockMs", c.Clock.Milliseconds())
	}
	if c.Order != 0 {
		fields = append(fields, "order", c.Order)
	}
	if c.Session != 0 {
		fields = append(fields, "session", c.Session)
	}
	return fields
}
