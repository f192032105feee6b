package ccproof

import (
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccwire"
)

// putOff has what the model needs to disable guards of the product.
type putOff struct {
	// issued has the numbers that entries see in place of those that they have issued.
	issued map[uint64]uint64
	// orders has the attempt of each order, and newest the order of each attempt. Attempts
	// count from 1 for each request of a job.
	orders   map[orderKey]attemptKey
	newest   map[attemptKey]uint64
	attempts map[placedKey]int
}

type orderKey struct {
	scheduler *ccreplay.Scheduler
	order     uint64
}

type placedKey struct {
	scheduler *ccreplay.Scheduler
	task      ccwire.TaskRef
}

type attemptKey struct {
	placedKey
	agent   ccnode.ID
	attempt int
}

func newPutOff() putOff {
	return putOff{
		issued: map[uint64]uint64{}, orders: map[orderKey]attemptKey{}, newest: map[attemptKey]uint64{}, attempts: map[placedKey]int{},
	}
}

// renumber gives a request for a session the next number, so that the entry takes it for the
// newest one.
func (p *putOff) renumber(n *searchNetwork, attach ccwire.Attach) ccwire.Attach {
	n.lastSession++
	p.issued[attach.Session] = n.lastSession
	attach.Session, attach.PreviousSession = n.lastSession, p.issued[attach.PreviousSession]
	return attach
}

// ordered records the attempts of the starts in a message.
func (p *putOff) ordered(e *replayEntry, m ccreplay.Message) {
	for _, start := range m.Orders.Starts {
		task := placedKey{e.scheduler, start.Task}
		p.attempts[task]++
		attempt := attemptKey{task, m.To, p.attempts[task]}
		p.orders[orderKey{e.scheduler, start.Order}], p.newest[attempt] = attempt, start.Order
	}
}

// answered begins a new request of a job.
func (p *putOff) answered(e *replayEntry, job string) {
	for task := range p.attempts {
		if task.scheduler == e.scheduler && task.task.Job == job {
			delete(p.attempts, task)
		}
	}
}

// mistakeRuns gives each result the newest order with the same attempt, as if attempts
// identified runs.
func (p *putOff) mistakeRuns(e *replayEntry, report ccwire.RunReport) ccwire.RunReport {
	results := append([]ccwire.RunResult(nil), report.Results...)
	for i, r := range results {
		if attempt, found := p.orders[orderKey{e.scheduler, r.Order}]; found {
			results[i].Order = p.newest[attempt]
		}
	}
	report.Results = results
	return report
}

// putOffGuards disables the guards of an agent's calls.
func (a *replayAgent) putOffGuards(out *cclease.Actions) {
	if a.w.firstTokenOnly {
		first := uint64(a.ref.Incarnation)
		for i := range out.Starts {
			out.Starts[i].Token = first
		}
		for i := range out.Stops {
			out.Stops[i].Token = first
		}
		for i := range out.Polls {
			out.Polls[i].Token = first
		}
	}
	if a.w.anyIncarnation {
		for i := range out.Starts {
			out.Starts[i].Incarnation = time.Time{}
		}
		for i := range out.Polls {
			out.Polls[i].Incarnation = time.Time{}
		}
	}
	if a.w.startsRenew {
		for i := range out.Starts {
			out.Starts[i].LeaseEnd = a.worker.clock() + cclease.LeaseDuration
		}
	}
	if a.w.stopsLate {
		a.renewUntilStopped(out)
	}
	if a.w.noProbes {
		kept := out.Polls[:0]
		for _, c := range out.Polls {
			if !c.Probe {
				kept = append(kept, c)
			}
		}
		out.Polls = kept
	}
}

// renewUntilStopped has polls renew the lease until a stop has been unconfirmed for
// cclease.StopGrace since it was sent, as if a stop that is due but not sent didn't count.
func (a *replayAgent) renewUntilStopped(out *cclease.Actions) {
	for _, c := range out.Changes {
		if c.Message == "Run ended." {
			delete(a.stopsSent, c.Task)
		}
	}
	for _, c := range out.Stops {
		if _, sent := a.stopsSent[c.Task]; !sent {
			a.stopsSent[c.Task] = a.w.now
		}
	}
	for _, sent := range a.stopsSent {
		if a.w.now.Sub(sent) > cclease.StopGrace {
			return
		}
	}
	for i, c := range out.Polls {
		// A poll that waits is one of a worker that has answered and has runs.
		if c.LeaseEnd == 0 && c.Wait > 0 {
			out.Polls[i].LeaseEnd = a.worker.clock() + cclease.LeaseDuration
		}
	}
}
