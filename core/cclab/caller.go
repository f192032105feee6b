package cclab

import (
	"fmt"
	"math"
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
)

// serviceName is the service of all jobs and workers.
const serviceName = "service"

// needSpread is by how much the need of a job differs from that of its class.
const needSpread = 0.2

// job is what the workers know of a job.
type job struct {
	work    time.Duration
	need    ccresource.Amount
	record  *Record
	crashes bool // Its first task crashes its worker.
}

// caller waits for the answer to one job.
type caller struct {
	lab    *Lab
	record *Record
	sent   time.Time
	done   bool
}

// arrive submits jobs of a class from one domain at random intervals.
func (l *Lab) arrive(domain int, class Class) {
	rate := l.cfg.rate(l.clock.now.Sub(l.start), domain, class)
	l.clock.after(time.Duration(l.rng.ExpFloat64()*float64(time.Second)/rate), func() {
		if l.clock.now.Sub(l.start) < l.cfg.Duration {
			l.submit(domain, class)
			l.arrive(domain, class)
		}
	})
}

// submit sends one job to an entry that the balancer chooses.
func (l *Lab) submit(domain int, class Class) {
	e, domain := l.choose(domain)
	l.lastToken++
	token := l.lastToken
	id := fmt.Sprintf("%016x", token)
	tasks := min(max(1, int(math.Round(l.lognormal(float64(class.Tasks), 0.4)))), class.MaxTasks)
	work := time.Duration(min(l.lognormal(float64(class.Work), 0.4), 4*float64(class.Work)))
	if class.TailShare > 0 && l.rng.Float64() < class.TailShare {
		work = time.Duration(class.TailFactor * float64(class.Work))
	}
	need := ccresource.Amount{CPU: int64(float64(class.CPU) * (1 - needSpread + 2*needSpread*l.rng.Float64()))}
	l.jobs[id] = &job{work: work, need: need, crashes: l.crashes(class)}
	c := &caller{lab: l, sent: l.clock.now, record: &Record{
		Crashes: l.jobs[id].crashes, Domain: DomainName(domain), Class: class.Name, Sent: l.clock.now.Sub(l.start), Tasks: tasks,
		Objective: time.Duration(stretch*float64(work)) + allowance, Priority: class.Priority, Work: work, Need: need, Rack: l.rack(class),
		Value: baseValue + (1-baseValue)*float64(tasks)*work.Seconds()/(float64(class.Tasks)*class.Work.Seconds()),
	}}
	l.jobs[id].record = c.record
	l.result.Records = append(l.result.Records, c.record)
	l.clock.after(callerTimeout, func() { c.leave(e, id, token) })
	e.receive(costRequest, func() {
		if c.done {
			return
		}
		e.callers[token] = c
		e.scheduler.Submit(l.clock.now, ccreplay.Request{
			Token: token, ID: id, Tasks: tasks, Need: need, Payload: "payload",
			Rack:     c.record.Rack,
			Route:    ccroute.Route{Name: class.Name, Service: serviceName, Priority: class.Priority, MaxAttempts: 3, Stretch: stretch, Allowance: allowance},
			Estimate: time.Duration(float64(work) * (0.6 + 0.8*l.rng.Float64())), Deadline: c.sent.Add(callerTimeout),
		})
	})
}

// rack draws the rack that holds the data of a job. Empty is none.
func (l *Lab) rack(class Class) string {
	elapsed := l.clock.now.Sub(l.start)
	for _, h := range l.cfg.HotRacks {
		if h.Class == class.Name && elapsed >= h.At && elapsed < h.At+h.For && l.rng.Float64() < h.Share {
			return rackLabel(0)
		}
	}
	return ""
}

// crashes draws whether a job of the class crashes workers.
func (l *Lab) crashes(class Class) bool {
	elapsed := l.clock.now.Sub(l.start)
	return class.Crashing > 0 && elapsed >= l.cfg.CrashFrom && elapsed < l.cfg.CrashUntil && l.rng.Float64() < class.Crashing
}

// leave ends the wait of a caller without an answer.
func (c *caller) leave(e *entry, id string, token uint64) {
	if c.done {
		return
	}
	c.done = true
	c.record.Outcome = ccreplay.StateUnknown
	e.receive(costMessage, func() {
		delete(e.callers, token)
		e.scheduler.Cancel(c.lab.clock.now, id, token)
	})
}

func (c *caller) answered(answer ccreplay.Answer) {
	if c.done {
		return
	}
	c.done = true
	c.record.Outcome, c.record.Reason = answer.State, answer.Reason
	c.record.Took, c.record.RetryAfter = c.lab.clock.now.Sub(c.sent), answer.RetryAfter
}

// balance returns a random entry of the domain that is in the balancer's pool, or one of
// another domain if there is none.
func (l *Lab) balance(domain int) *entry {
	var local, others []*entry
	for _, e := range l.entries {
		switch {
		case !e.inPool:
		case e.cfg.Domain == domain:
			local = append(local, e)
		default:
			others = append(others, e)
		}
	}
	switch {
	case len(local) > 0:
		return local[l.rng.IntN(len(local))]
	case len(others) > 0:
		return others[l.rng.IntN(len(others))]
	default:
		return l.entries[l.rng.IntN(len(l.entries))]
	}
}

// lognormal returns a random value with the given mean and a spread of the logarithm.
func (l *Lab) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*l.rng.NormFloat64()-spread*spread/2)
}
