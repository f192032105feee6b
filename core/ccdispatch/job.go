package ccdispatch

import (
	"container/heap"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// taskState is where a task stands.
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
	attempt int // Of the newest send, from 1.
	agent   ccnode.Ref
	answer  string
}

// job is one job that this entry drives.
type job struct {
	spec    ccjob.Spec
	claim   uint64
	arrived time.Time
	due     time.Time
	tasks   []task
	waiting int
	sent    int
	done    int
	started bool // Some task started, or may have.
	ended   bool // The outcome was given; late reports still come.
	// failedAt are the agents where tasks of the job failed.
	failedAt []ccnode.ID
	place    int // In the deadline heap.
}

func (j *job) complete() bool { return j.done == len(j.tasks) }

// progress is what a client may ask for.
func (j *job) progress() Progress {
	state := ccjob.StateWaiting
	if j.started || j.sent > 0 || j.done > 0 {
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

// Progress counts the tasks of a job that has not ended.
type Progress struct {
	State   ccjob.State `json:"state"`
	Tasks   int         `json:"tasks"`
	Waiting int         `json:"waiting"`
	Sent    int         `json:"sent"`
	Done    int         `json:"done"`
}

// Progress returns how far a job is, and whether it is known and not ended.
func (d *Dispatcher) Progress(id ccjob.ID) (Progress, bool) {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return Progress{}, false
	}
	return j.progress(), true
}

// deadlineHeap keeps the job that is due first at the front.
type deadlineHeap []*job

// Len returns the number of jobs.
func (h deadlineHeap) Len() int { return len(h) }

// Less orders by due time.
func (h deadlineHeap) Less(i, k int) bool { return h[i].due.Before(h[k].due) }

// Swap exchanges two jobs.
func (h deadlineHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].place, h[k].place = i, k
}

// Push adds a job, as container/heap asks.
func (h *deadlineHeap) Push(x any) {
	if j, ok := x.(*job); ok {
		j.place = len(*h)
		*h = append(*h, j)
	}
}

// Pop takes the last job, as container/heap asks.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expire ends jobs whose deadline has passed.
func (d *Dispatcher) expire(now time.Time) {
	for len(d.deadline) > 0 && !now.Before(d.deadline[0].due) {
		j := d.deadline[0]
		d.counts.DeadlineMisses++
		d.fail(now, j, ccjob.KindDeadline, "the deadline passed")
	}
}

// end gives the outcome and stops what has not started. The job stays known
// until all its sent tasks have been heard of.
func (d *Dispatcher) end(now time.Time, j *job, outcome ccjob.Outcome) {
	j.ended = true
	heap.Remove(&d.deadline, j.place)
	d.service(j.spec.Service).queue.Drop(j.spec.Team, j.spec.ID)
	j.waiting = 0
	d.act(&EndJob{Outcome: outcome, Claim: j.claim, Release: outcome.NotRun})
	d.recordEnd(now, j, outcome)
	d.forgetIfQuiet(j)
}

// fail ends a job without its answer. It is said not to have run only if no
// task is or ever was in a state in which it may have started.
func (d *Dispatcher) fail(now time.Time, j *job, kind ccjob.Kind, reason string) {
	notRun := !j.started && j.sent == 0
	d.counts.JobsFailed++
	d.end(now, j, ccjob.Fail(j.spec.ID, kind, notRun, reason))
}

func (d *Dispatcher) forgetIfQuiet(j *job) {
	if j.ended && j.sent == 0 && d.jobs[j.spec.ID] == j {
		delete(d.jobs, j.spec.ID)
		d.service(j.spec.Service).release(j)
	}
}
