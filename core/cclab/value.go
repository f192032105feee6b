package cclab

import (
	"slices"
	"time"

	"camphorcroft/core/ccreplay"
)

// Window is the length of the windows in which the credit of callers is compared.
const Window = 2 * time.Second

// ValueCredit returns the credit of the jobs that keep accepts, weighted by value. A nil keep
// accepts all jobs.
func (r *Result) ValueCredit(keep func(*Record) bool) float64 {
	earned, possible := 0.0, 0.0
	for _, record := range r.Records {
		if keep == nil || keep(record) {
			earned += record.Value * record.credit()
			possible += record.Value
		}
	}
	if possible == 0 {
		return 0
	}
	return earned / possible
}

// ByClass returns the credit by class, weighted by value.
func (r *Result) ByClass() map[string]float64 {
	return r.by(func(record *Record) string { return record.Class })
}

// ByDomain returns the credit by the domain in which the callers were, weighted by value.
func (r *Result) ByDomain() map[string]float64 {
	return r.by(func(record *Record) string { return record.Domain })
}

func (r *Result) by(key func(*Record) string) map[string]float64 {
	credits := map[string]float64{}
	for _, record := range r.Records {
		if k := key(record); credits[k] == 0 {
			credits[k] = r.ValueCredit(func(other *Record) bool { return key(other) == k })
		}
	}
	return credits
}

// ByWindow returns the credit of the jobs sent in each window, weighted by value.
func (r *Result) ByWindow(duration time.Duration) []float64 {
	var credits []float64
	for from := time.Duration(0); from < duration; from += Window {
		credits = append(credits, r.ValueCredit(func(record *Record) bool { return record.Sent >= from && record.Sent < from+Window }))
	}
	return credits
}

// WorstWindow returns the lowest credit of a window and its start.
func (r *Result) WorstWindow(duration time.Duration) (float64, time.Duration) {
	credits := r.ByWindow(duration)
	worst := slices.Min(credits)
	return worst, time.Duration(slices.Index(credits, worst)) * Window
}

// RefusedWhileFree returns the jobs that were refused while workers had free capacity for all
// of their tasks. Between the end of a task and the next start a little is always free.
func (r *Result) RefusedWhileFree() []*Record {
	return r.Filter(func(record *Record) bool {
		return record.Outcome == ccreplay.StateRefused && record.FreeAtRefusal >= record.Tasks
	})
}

// Held returns the jobs that ended without a result, or after the caller had left, and of which
// nothing was offered to a worker within their objective.
func (r *Result) Held() []*Record {
	return r.Filter(func(record *Record) bool {
		return record.unanswered() && (record.FirstOffer == 0 || record.FirstOffer > record.Objective)
	})
}

// unanswered reports whether the caller got a 504 or left without an answer.
func (r *Record) unanswered() bool {
	return r.Outcome == ccreplay.StateExpired || r.Outcome == ccreplay.StateUnknown
}
