package ccreplay

import (
	"expvar"
	"math"
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/io/ccmetric"
)

// metrics are an entry's counters and latencies.
type metrics struct {
	changes *expvar.Map
	answers *expvar.Map
	refused *expvar.Map
	answer  *ccmetric.Histogram
	placed  *ccmetric.Histogram
}

// newMetrics declares the entry's metrics; docs/METRICS.md says what they mean.
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
	set.Func("agentsUsable", func() any { return e.usable.Load() })
	return metrics{
		changes: set.Map("changes"), answers: set.Map("answers"), refused: set.Map("refusals"),
		answer: set.Histogram("answerTime"), placed: set.Histogram("placementTime"),
	}
}

// record writes a change into the log and the counters.
func (e *Entry) record(c ccreplay.Change) {
	e.metrics.changes.Add(ccmetric.Name(c.What), 1)
	if c.FreeCPU != 0 && c.Count == 1 {
		e.metrics.placed.Observe(c.Age)
	}
	if c.Quiet {
		return
	}
	if c.FreeCPU != 0 {
		e.log.Info(c.What, "job", c.Job, "index", c.Index, "agent", string(c.Agent), "attempt", c.Count, "waitedMs", c.Age.Milliseconds(),
			"room", c.FreeCPU, "pace", math.Round(100*c.Pace)/100, "reportAgeMs", c.ReportAge.Milliseconds())
		return
	}
	e.log.Info(c.What, fieldsOf(c)...)
}

// fieldsOf returns what a change says: lines are short, since each costs.
func fieldsOf(c ccreplay.Change) []any {
	fields := make([]any, 0, 12)
	if c.Job != "" {
		fields = append(fields, "job", c.Job, "index", c.Index)
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
	return fields
}

// recordAnswer writes an answer into the log and the counters.
func (e *Entry) recordAnswer(answer ccreplay.Answer) {
	e.metrics.answers.Add(string(answer.State), 1)
	if answer.State == ccreplay.StateRefused {
		e.metrics.refused.Add(answer.Reason, 1)
	} else {
		e.metrics.answer.Observe(answer.Took)
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

func (e *Entry) planAge() time.Duration {
	if e.planSince.IsZero() {
		return 0
	}
	return time.Since(e.planSince)
}
