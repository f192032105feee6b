package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// Config configures a Table.
type Config struct {
	// Token fences off calls of earlier incarnations of this agent. It must be
	// higher than theirs; if the worker says that it is not, the table raises it.
	Token uint64
	Now   time.Time
}

// Actions are what the table wants done, in no order.
type Actions struct {
	Starts  []StartCall
	Stops   []StopCall
	Looks   []LookCall
	Reports []Report
	Changes []Change
	// Silent are entries whose sessions are to be closed.
	Silent []ccnode.ID
}

// Report is a report for one entry.
type Report struct {
	To     ccnode.ID
	Report ccwire.RunReport
}

// Change is a change of what the agent believes, for the log.
type Change struct {
	What   string
	Entry  ccnode.ID
	Task   ccwire.TaskRef
	Reason string
	Age    time.Duration
	Count  int
	// End and Run are those of a run that is over.
	End ccwire.RunOutcome
	Run uint64
	// Pace is how many times as long as estimated runs take.
	Pace float64
}

// Table holds an agent's control state. One goroutine owns it.
type Table struct {
	cfg     Config
	token   uint64
	worker  *Worker
	info    *ccwire.WorkerInfo // What entries are told of the worker.
	closed  string             // Why the worker takes no starts, beside draining.
	opensAt time.Time
	beatAt  time.Time

	// clock is the worker's clock at clockAt on the agent's.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when the last lease that the worker can have is over.
	leaseEnd time.Time
	seen     uint64 // The last end that was taken note of.
	acked    uint64 // The last end that a look has acknowledged.
	looking  bool
	lookedAt time.Time // When the last look that waits was sent.
	checking bool
	misses   int
	// guardUntil is until when a start without an answer may still arrive.
	guardUntil time.Time
	// heard is that the worker's present life has sent a heartbeat.
	heard bool
	// surveyed is that the worker has listed its runs in its present life.
	surveyed bool

	owners  map[ccnode.ID]*owner
	entries []*owner // The owners, in the order in which they came.
	runs    map[ccwire.TaskRef]*run
	order   []*run // The runs, in the order in which they came.
	numbers map[ccwire.TaskRef]numberUsed
	used    ccresource.Amount
	plan    *ccroute.Plan
	// planSince is when the plan came.
	planSince time.Time
	leaving   bool
	health    health
	pace      pace
	out       Actions
}

// numberUsed remembers the highest run number of a task at this worker.
type numberUsed struct {
	number uint64
	at     time.Time
}

// NewTable returns a table of an agent that has just started.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		token:   cfg.Token,
		owners:  map[ccnode.ID]*owner{},
		runs:    map[ccwire.TaskRef]*run{},
		numbers: map[ccwire.TaskRef]numberUsed{},
	}
}

// Take returns what is to be done since the last call.
func (t *Table) Take() Actions {
	out := t.out
	t.out = Actions{}
	return out
}

// Alive returns how many orders have not ended.
func (t *Table) Alive() int { return len(t.runs) }

// Plan returns the newest plan that any entry has sent, or nil.
func (t *Table) Plan() *ccroute.Plan { return t.plan }

// Leave stops taking starts, since the agent is about to stop.
func (t *Table) Leave(now time.Time) {
	t.leaving = true
	t.reportAll(now)
}

// Free returns the room that no order holds.
func (t *Table) Free() ccresource.Amount {
	if t.worker == nil {
		return ccresource.Amount{}
	}
	return t.worker.Capacity.Minus(t.used)
}

// Tick does what is due. Call it at least every 25 ms while runs are alive.
func (t *Table) Tick(now time.Time) {
	t.dropSilentOwners(now)
	t.repeatStops(now)
	t.expireLease(now)
	t.forget(now)
	t.look(now)
	t.reportDue(now)
}

// closedReason says why no start is taken now. Empty is that starts are taken.
func (t *Table) closedReason(now time.Time) string {
	switch {
	case t.worker == nil || !t.heard:
		return "no heartbeat from the worker yet"
	case !t.settled():
		return "runs of an earlier incarnation are not over"
	case t.leaving:
		return "agent is stopping"
	case t.worker.Draining:
		return "worker is draining"
	case now.Sub(t.beatAt) > workerSilence:
		return "no heartbeat from the worker for 5 s"
	case t.misses > missesAllowed:
		return "worker does not answer"
	case now.Before(t.opensAt):
		return t.closed
	default:
		return t.health.closed(now, len(t.runs))
	}
}

// settled reports whether no run of an earlier incarnation of this agent is alive.
func (t *Table) settled() bool { return t.surveyed && t.strays() == 0 }

// strays returns how many runs no order of this incarnation has started.
func (t *Table) strays() int {
	n := 0
	for _, r := range t.order {
		if r.owner == "" {
			n++
		}
	}
	return n
}

// forget drops run numbers that no late order can refer to any more.
func (t *Table) forget(now time.Time) {
	for task, used := range t.numbers {
		if _, alive := t.runs[task]; !alive && now.Sub(used.at) > numberMemory {
			delete(t.numbers, task)
		}
	}
	for _, o := range slices.Clone(t.entries) {
		o.forget(now)
		if !o.connected && now.Sub(o.heard) > forgetAfter {
			delete(t.owners, o.ref.ID)
			t.entries = slices.DeleteFunc(t.entries, func(other *owner) bool { return other == o })
		}
	}
}

// numberMemory is how long the run number of an ended task is kept: longer than
// the 12 s after which a worker may still carry out an order.
const numberMemory = 15 * time.Second
