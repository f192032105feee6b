package ccreplay

import (
	"time"

	"camphorcroft/core/ccforward"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccshare"
	"camphorcroft/core/ccwire"
)

// Request is a job as submitted by a caller.
type Request struct {
	// Token distinguishes requests for the same job.
	Token uint64
	ID    string
	Route ccroute.Route
	Tasks int
	Need  ccresource.Amount
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration
	Payload  string
	// Label is a label that the worker must have. Empty allows any worker.
	Label string
	// MaxPerWorker limits how many tasks of the job run on one worker. Zero is no
	// limit.
	MaxPerWorker int
	// Rack is the rack that holds the tasks' data. Empty is no preference.
	Rack string
	// Waited is how long the job has waited at another entry.
	Waited time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// State is the outcome of a job.
type State string

const (
	// StateComplete is a job whose tasks have all succeeded.
	StateComplete State = "complete"
	// StateFailed is a job with a task that failed MaxAttempts times.
	StateFailed State = "failed"
	// StateExpired is a job that may have run in part, but did not end in time.
	StateExpired State = "expired"
	// StateRefused is a job of which no task has run.
	StateRefused State = "refused"
	// StateUnknown is a job that may have run and that this entry can't finish. Another
	// entry may.
	StateUnknown State = "unknown"
)

// Answer is the final response to a request.
type Answer struct {
	Token  uint64
	ID     string
	State  State
	Reason string
	// RetryAfter is how long to wait before sending a refused request again.
	RetryAfter time.Duration
	Took       time.Duration
}

// taskState is the scheduling state of a task.
type taskState int

const (
	taskQueued taskState = iota
	taskPlaced
	taskDone
)

// task is the scheduling state and the run history of one task of a job.
type task struct {
	state       taskState
	attempt     int                // Number of start orders for this task.
	order       uint64             // The number of the last start order. It identifies the run.
	failures    int                // Number of runs that ended as failed.
	agent       ccnode.ID          // Where the task was last placed.
	incarnation ccnode.Incarnation // The agent's incarnation when the task was placed.
	placedAt    time.Time
	// session and sequence are those of the orders with the task's start. Zero is a run that
	// the agent has listed since.
	session  uint64
	sequence uint64
	position int // Where the task is in its agent's runs.
	// lostAt is when the run counts as lost if no end is reported before. Zero is
	// not known.
	lostAt time.Time
	// notBefore is when the task may be placed again after a refusal.
	notBefore time.Time
	stopping  bool
	crashes   int // Number of crashes of workers in which the task was running.
	refusals  int // Number of start orders that were refused.
	moves     int // Number of runs that were stopped in order to run elsewhere.
	// avoidAgent is the agent of the last run that failed, was stopped or was lost.
	avoidAgent ccnode.ID
}

// suppressLog reports whether the task's next placement and refusal are left out of the
// log. Under overload, a task is refused for lack of capacity dozens of times. The
// first three are logged, and then each time the number has doubled.
func (tk *task) suppressLog() bool { return tk.refusals > 2 && tk.refusals&(tk.refusals-1) != 0 }

// runRef identifies the last run of a task.
func (j *job) runRef(i int) ccwire.RunRef {
	return ccwire.RunRef{Task: ccwire.TaskRef{Job: j.request.ID, Index: i}, Order: j.tasks[i].order}
}

// job is a request that is not answered yet or whose runs have not all ended.
type job struct {
	request     Request
	class       uint32 // See classOf.
	arrived     time.Time
	objectiveAt time.Time // The latest end that meets the latency objective.
	cutoff      time.Time // The latest end at which the answer is still useful.
	feasibility feasibility
	rank        ccshare.Rank // Orders jobs of the same priority and feasibility, in the fair order.
	expected    time.Duration
	tasks       []task
	queued      int
	placed      int
	done        int
	started     bool // A run that had started, or may have, has ended.
	answered    bool
	// retryAfter is set if admission control has refused the job.
	retryAfter time.Duration
	// trial has the agents on which tasks that were in a crash run again.
	trial       map[ccnode.ID]bool
	waiters     []uint64 // Tokens of further requests for the same job.
	nextRequest *Request // A request that arrived after the answer, while runs were stopping.
	// forwarded is true once the job was handed over to another entry. handover is set while
	// that one may run it, and remoteUntil until when it may after it was lost. Zero is not.
	forwarded   bool
	handover    *ccforward.Handover
	remoteUntil time.Time
	// held is set while the job's runs are to be reported to the entry that has forwarded it.
	held *ccforward.Held
}

// cutoffFactor is the multiple of its latency objective that a job may take and still be
// useful, as the users have specified.
const cutoffFactor = 3

// minEstimateFactor is the shortest run time to expect, as a multiple of the estimate:
// callers' estimates are off by 40 %.
const minEstimateFactor = 0.6

// maxEstimateFactor is the longest run time to expect, as a multiple of the estimate:
// callers' estimates are off by 40 % in either direction.
const maxEstimateFactor = 1.4

// feasibility says whether a job can still meet its time limits. Lower values are
// better.
type feasibility int

const (
	// feasibleOnTime is a job that can meet its latency objective.
	feasibleOnTime feasibility = iota
	// feasibleLate is a job that can't meet the objective but can end by its cutoff.
	feasibleLate
	// infeasible is a job that can't end by its cutoff.
	infeasible
)

// feasibilityIfStarted returns the job's feasibility if its next task starts now. The
// objective is checked with the expected run time, the cutoff with the shortest.
func (j *job) feasibilityIfStarted(now time.Time) feasibility {
	switch end := now.Add(j.expected); {
	case !end.After(j.objectiveAt):
		return feasibleOnTime
	case !now.Add(time.Duration(minEstimateFactor * float64(j.expected))).After(j.cutoff):
		return feasibleLate
	default:
		return infeasible
	}
}

// feasibilityIfEnded returns the job's feasibility if its last task ends at end.
func (j *job) feasibilityIfEnded(end time.Time) feasibility {
	switch {
	case !end.After(j.objectiveAt):
		return feasibleOnTime
	case !end.After(j.cutoff):
		return feasibleLate
	default:
		return infeasible
	}
}

// mayHaveRun reports whether any task of the job has started or may have. A start order
// that an agent refused never ran.
func (j *job) mayHaveRun() bool { return j.started || j.placed > 0 || j.runsElsewhere() }

// runsElsewhere reports whether another entry may run the job.
func (j *job) runsElsewhere() bool { return j.handover != nil || !j.remoteUntil.IsZero() }

// hasTask reports whether the job has a task with this index, which another process named.
func (j *job) hasTask(i int) bool { return i >= 0 && i < len(j.tasks) }

// hasQueuedTasks reports whether the job is unanswered and has tasks to place here.
func (j *job) hasQueuedTasks() bool { return !j.answered && j.queued > 0 && !j.runsElsewhere() }
