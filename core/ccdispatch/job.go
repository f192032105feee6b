package ccdispatch

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// taskState is the state of a task. A task in state taskSent may have started;
// taskLost includes failed tasks.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
	taskLost
)

// task is one task of a job.
type task struct {
	state   taskState
	attempt int // Number of the last send, starting at 1.
	agent   ccnode.Ref
	answer  string
}

// job is a job that this entry runs.
type job struct {
	spec           ccjob.Spec
	claim          uint64
	arrived        time.Time
	due            time.Time
	tasks          []task
	waiting        int
	sent           int
	done           int
	mayHaveStarted bool // At least one task started or may have started.
	ended          bool // The outcome was delivered; reports may still arrive.
	// failedAgents lists the agents at which tasks of the job failed.
	failedAgents []ccnode.ID
	heapIndex    int // Index in deadlineHeap.
}

func (j *job) complete() bool { return j.done == len(j.tasks) }

// progress returns the job's state and task counts.
func (j *job) progress() Progress {
	state := ccjob.StateWaiting
	if j.mayHaveStarted || j.sent > 0 || j.done > 0 {
		state = ccjob.StateRunning
	}
	return Progress{State: state, Tasks: len(j.tasks), Waiting: j.waiting, Sent: j.sent, Done: j.done}
}

func (j *job) answers() []ccjob.Answer {
	answers := make([]ccjob.Answer, len(j.tasks))
	for i := range j.tasks {
		answers[i] = ccjob.Answer{Index: i, Payload: j.tasks[i].answer}
	}
	return answers
}

// Progress is the state of a job that has not ended, with its number of tasks
// by state.
type Progress struct {
	State   ccjob.State `json:"state"`
	Tasks   int         `json:"tasks"`
	Waiting int         `json:"waiting"`
	Sent    int         `json:"sent"`
	Done    int         `json:"done"`
}

// Progress returns the progress of a job. It returns false if the job is
// unknown or has ended.
func (d *Dispatcher) Progress(id ccjob.ID) (Progress, bool) {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return Progress{}, false
	}
	return j.progress(), true
}

// deadlineHeap is a min-heap of jobs by due time.
type deadlineHeap []*job

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface. It orders jobs by due time.
func (h deadlineHeap) Less(i, k int) bool { return h[i].due.Before(h[k].due) }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface. It appends a job.
func (h *deadlineHeap) Push(x any) {
	if j, ok := x.(*job); ok {
		j.heapIndex = len(*h)
		*h = append(*h, j)
	}
}

// Pop implements heap.Interface. It removes the last job.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expire fails the jobs whose deadline has passed.
func (d *Dispatcher) expire(now time.Time) {
	for len(d.deadlines) > 0 && !now.Before(d.deadlines[0].due) {
		j := d.deadlines[0]
		d.counts.DeadlineMisses++
		d.fail(now, j, ccjob.KindDeadline, "the deadline passed")
	}
}

// end delivers the outcome of a job and drops its waiting tasks. The job is
// kept until all its sent tasks have been reported or lost.
func (d *Dispatcher) end(now time.Time, j *job, outcome ccjob.Outcome) {
	j.ended = true
	heap.Remove(&d.deadlines, j.heapIndex)
	d.service(j.spec.Service).queue.Drop(j.spec.Team, j.spec.ID)
	j.waiting = 0
	d.addAction(&EndJob{Outcome: outcome, Claim: j.claim, Release: outcome.NotRun})
	d.recordEnd(now, j, outcome)
	d.removeIfDrained(j)
}

// fail ends a job without an answer. The job is reported as not run only if no
// task is or ever was in a state in which it may have started.
func (d *Dispatcher) fail(now time.Time, j *job, kind ccjob.Kind, reason string) {
	notRun := !j.mayHaveStarted && j.sent == 0
	d.counts.JobsFailed++
	d.end(now, j, ccjob.Fail(j.spec.ID, kind, notRun, reason))
}

// removeIfDrained forgets a job that has ended and has no sent tasks left.
func (d *Dispatcher) removeIfDrained(j *job) {
	if j.ended && j.sent == 0 && d.jobs[j.spec.ID] == j {
		delete(d.jobs, j.spec.ID)
		d.service(j.spec.Service).removeJob(j)
	}
}
