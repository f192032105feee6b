package ccreplay

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
)

// Request is a job as its caller sent it.
type Request struct {
	// Token tells requests of the same job apart.
	Token uint64
	ID    string
	Route ccroute.Route
	Tasks int
	Need  ccresource.Amount
	// Estimate is the caller's guess of how long a task takes.
	Estimate time.Duration
	Payload  string
	// Label is one that the worker must have. Empty is any worker.
	Label string
	// MaxPerWorker is how many tasks of the job may run on one worker. Zero is no bound.
	MaxPerWorker int
	// Rack is where the task is near its data. Empty is nowhere.
	Rack string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// State is how a job ended.
type State string

const (
	// StateComplete is a job whose tasks have all ended well.
	StateComplete State = "complete"
	// StateFailed is a job with a task that has failed too often.
	StateFailed State = "failed"
	// StateExpired is a job whose time was over before its tasks had ended.
	StateExpired State = "expired"
	// StateRefused is a job of which no task was ever sent to a worker.
	StateRefused State = "refused"
	// StateUnknown is a job that this entry can't finish: another may.
	StateUnknown State = "unknown"
)

// Answer ends a request.
type Answer struct {
	Token  uint64
	ID     string
	State  State
	Reason string
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
	Took       time.Duration
}

// taskState is where a task stands.
type taskState int

const (
	taskQueued taskState = iota
	taskPlaced
	taskDone
)

// task is one task of a job.
type task struct {
	state   taskState
	attempt int // Counts the orders for this task.
	failed  int // Counts the runs that ended as failed.
	agent   ccnode.ID
	life    ccnode.Incarnation // The agent's, when the task was placed.
	sent    time.Time
	// overAt is when the run is over although nobody said so. Zero is not known.
	overAt time.Time
	// notBefore is when the task may be placed again after a refusal.
	notBefore time.Time
	stopping  bool
	refused   int // Counts the orders that found no room.
	moves     int // Counts the runs that were stopped to run elsewhere.
	// avoid is where the last run went wrong.
	avoid ccnode.ID
}

// quiet reports whether the task's next order for want of room goes without a line of
// its own: in an overload a task finds no room dozens of times. Lines are written for
// the first three times and then each time that their number has doubled.
func (tk *task) quiet() bool { return tk.refused > 2 && tk.refused&(tk.refused-1) != 0 }

// job is a request that has not been answered, or whose runs are not over.
type job struct {
	request  Request
	arrived  time.Time
	due      time.Time // When it misses its objective.
	late     time.Time // When its answer is of no more use.
	hope     hope
	expected time.Duration
	tasks    []task
	queued   int
	placed   int
	done     int
	begun    bool // A run has ended that had begun, or may have.
	answered bool
	waiters  []uint64 // Further requests for the same job.
	next     *Request // A request that came while the last runs were stopping.
}

// lateFactor is how many times its objective a job may take and still be of use:
// the users' bound.
const lateFactor = 3

// shortest is the least share of its expected time that a task is thought to
// take: estimates are off by 40 %.
const shortest = 0.6

// longest is the most: the users' callers are off by 40 % either way.
const longest = 1.4

// hope is what a job can still earn. Less is better.
type hope int

const (
	// hopeFull is a job that can meet its objective.
	hopeFull hope = iota
	// hopeLate is a job that can end in time to be of use.
	hopeLate
	// hopeNone is a job that can't.
	hopeNone
)

// hopeAt returns what the job can earn if its next task starts now.
func (j *job) hopeAt(now time.Time) hope {
	switch end := now.Add(j.expected); {
	case !end.After(j.due):
		return hopeFull
	case !now.Add(time.Duration(shortest * float64(j.expected))).After(j.late):
		return hopeLate
	default:
		return hopeNone
	}
}

// hopeOf returns what the job earns if its last task ends at end.
func (j *job) hopeOf(end time.Time) hope {
	switch {
	case !end.After(j.due):
		return hopeFull
	case !end.After(j.late):
		return hopeLate
	default:
		return hopeNone
	}
}

// mayHaveRun reports whether any task of the job has started or may have. Orders
// that an agent gave back never did.
func (j *job) mayHaveRun() bool { return j.begun || j.placed > 0 }

// open reports whether the job still has tasks to place.
func (j *job) open() bool { return !j.answered && j.queued > 0 }
