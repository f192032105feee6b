package cclease

import (
	"expvar"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/io/ccmetric"
)

// metrics are an agent's counters and latencies.
type metrics struct {
	changes *expvar.Map
	ends    *expvar.Map
	starts  *expvar.Map
	start   *ccmetric.Histogram
}

// newMetrics declares the agent's metrics; docs/METRICS.md says what they mean.
func (a *Agent) newMetrics() metrics {
	set := a.cfg.Metrics
	if set == nil {
		set = ccmetric.NewSet(string(a.cfg.Node.ID))
	}
	set.Func("domain", func() any { return a.cfg.Domain })
	return metrics{changes: set.Map("changes"), ends: set.Map("runEnds"), starts: set.Map("startReplies"), start: set.Histogram("startTime")}
}

func (m metrics) started(answer cclease.Response, took time.Duration) {
	m.starts.Add(string(answer.Status), 1)
	m.start.Observe(took)
}

// record writes a change into the log and the counters.
func (a *Agent) record(c cclease.Change) {
	a.metrics.changes.Add(ccmetric.Name(c.Message), 1)
	if c.End != "" {
		a.metrics.ends.Add(string(c.End), 1)
		a.cfg.Log.Info(c.Message, "job", c.Task.Job, "index", c.Task.Index, "entry", string(c.Entry), "end", string(c.End), "run", c.Run,
			"reason", c.Reason, "ranMs", c.Age.Milliseconds())
		return
	}
	a.cfg.Log.Info(c.Message, fieldsOf(c)...)
}

// fieldsOf returns what a change says: lines are short, since each costs.
func fieldsOf(c cclease.Change) []any {
	fields := make([]any, 0, 10)
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
	return fields
}
