package cclab

import (
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
)

// lateCredit is the share of its worth that a late answer earns.
const lateCredit = 0.2

// baseValue is the part of a job's value that doesn't grow with its work.
const baseValue = 0.3

// Record is the history of one job. An empty Outcome means that the simulation ended
// before the answer.
type Record struct {
	Domain    string
	Class     string
	Sent      time.Duration // Since the start of the load.
	Tasks     int
	Objective time.Duration
	Crashes   bool // The job crashes workers. It can't be served.
	Outcome   ccreplay.State
	Reason    string
	Took      time.Duration
	// RetryAfter is what a refused caller was told.
	RetryAfter time.Duration
	Priority   int
	Work       time.Duration // Of a task on a worker of speed 1.
	Need       ccresource.Amount
	Rack       string // That of the data. Empty is none.
	// Value is what an answer in time is worth. Its mean is about 1.
	Value float64
	// FirstOffer is how long after Sent the first start order of the job reached a worker.
	// Zero is never.
	FirstOffer time.Duration
	// FreeAtRefusal is for how many of the job's tasks workers had free capacity when it was
	// refused.
	FreeAtRefusal int
	// UseAtRefusal is the use of the workers when the job was refused.
	UseAtRefusal float64
}

// offered records that a start order of the job has reached a worker.
func (r *Record) offered(elapsed time.Duration) {
	if r.FirstOffer == 0 {
		r.FirstOffer = elapsed - r.Sent
	}
}

// credit returns what the job has earned, from 0 to 1.
func (r *Record) credit() float64 {
	switch {
	case r.Outcome != ccreplay.StateComplete || r.Took > lateFactor*r.Objective:
		return 0
	case r.Took > r.Objective:
		return lateCredit
	default:
		return 1
	}
}

// Result is the outcome of a simulation.
type Result struct {
	Records []*Record
	// Busy is the time that all tasks have worked, and Wasted the part of it that was
	// stopped before the end.
	Busy, Wasted time.Duration
	// Messages are those between entries and agents in both directions, and
	// RemoteMessages the part of them between failure domains.
	Messages, RemoteMessages int
	// RemoteBytes is the size of RemoteMessages, if Config.MeasureBytes is set.
	RemoteBytes int
	// Peers is the traffic between entries, which Messages leaves out.
	Peers PeerTraffic
	// Processor is the processor time of all entries at full speed.
	Processor time.Duration
	// Crashes is the number of crashes of workers.
	Crashes int
	// Use has the use of the workers at equal intervals from the start of the load.
	Use []Use
}

// Filter returns the records that keep accepts.
func (r *Result) Filter(keep func(*Record) bool) []*Record {
	var kept []*Record
	for _, record := range r.Records {
		if keep(record) {
			kept = append(kept, record)
		}
	}
	return kept
}

// Served returns the share of the jobs sent in [from, to) that were completed. An empty
// domain stands for all domains.
func (r *Result) Served(domain string, from, to time.Duration) float64 {
	return r.mean(domain, from, to, func(record *Record) float64 {
		if record.Outcome == ccreplay.StateComplete {
			return 1
		}
		return 0
	})
}

// Credit returns the mean credit of the jobs sent in [from, to).
func (r *Result) Credit(domain string, from, to time.Duration) float64 {
	return r.mean(domain, from, to, (*Record).credit)
}

func (r *Result) mean(domain string, from, to time.Duration, value func(*Record) float64) float64 {
	sum, n := 0.0, 0
	for _, record := range r.Records {
		if (domain == "" || record.Domain == domain) && record.Sent >= from && record.Sent < to {
			sum += value(record)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
