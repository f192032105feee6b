package ccagent

import (
	"container/list"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// memory is what the agent knows of jobs, oldest first. Whole jobs are
// forgotten when nothing of them runs and the retention is over.
type memory struct {
	jobs     map[ccjob.ID]*job
	order    *list.List // Of *job, by the time of the last use.
	results  *list.List // Of *task with a payload, by the time of the end.
	bytes    int        // Payload bytes of results.
	marks    int        // Tasks and jobs that are remembered.
	maxMarks int
	maxBytes int
}

// job is the memory of one job.
type job struct {
	id      ccjob.ID
	claim   uint64     // The greatest claim seen. Lower ones are fenced.
	owner   ccnode.Ref // The entry that gets the ends of tasks.
	used    time.Time
	running int
	tasks   map[int]*task
	place   *list.Element
}

// task is the memory of one task: a mark when it started, a tombstone when it
// was not to start.
type task struct {
	started bool
	code    ccwire.TaskCode // Meaningful when started.
	attempt int             // The attempt that the end is reported for.
	payload string
	reason  string
	runMS   float64
	// No attempt up to tombAttempt under a claim up to tombClaim starts.
	tombClaim   uint64
	tombAttempt int
	result      *list.Element
}

func newMemory(maxMarks, maxBytes int) *memory {
	return &memory{
		jobs:     make(map[ccjob.ID]*job),
		order:    list.New(),
		results:  list.New(),
		maxMarks: maxMarks,
		maxBytes: maxBytes,
	}
}

// roomForStart reports whether one more task may be marked as started.
func (m *memory) roomForStart() bool {
	return m.marks+2 <= m.maxMarks
}

// roomForPromise reports whether n more marks fit into the part that is kept
// free for tombstones and fences.
func (m *memory) roomForPromise(n int) bool {
	return m.marks+n <= m.maxMarks+m.maxMarks/4
}

// touch returns the job's memory, made if need be.
func (m *memory) touch(now time.Time, id ccjob.ID) *job {
	known, ok := m.jobs[id]
	if !ok {
		known = &job{id: id, tasks: make(map[int]*task)}
		known.place = m.order.PushBack(known)
		m.jobs[id] = known
		m.marks++
	}
	known.used = now
	m.order.MoveToBack(known.place)
	return known
}

// task returns the memory of a task of the job, made if need be.
func (m *memory) task(j *job, index int) *task {
	known, ok := j.tasks[index]
	if !ok {
		known = &task{}
		j.tasks[index] = known
		m.marks++
	}
	return known
}

// peek returns the memory of a task, or nil.
func (m *memory) peek(id ccjob.ID, index int) *task {
	if j, ok := m.jobs[id]; ok {
		return j.tasks[index]
	}
	return nil
}

// keep stores a result and drops the oldest results beyond the bound.
func (m *memory) keep(t *task, payload string) {
	if payload == "" {
		return
	}
	t.payload = payload
	t.result = m.results.PushBack(t)
	m.bytes += len(payload)
	for m.bytes > m.maxBytes {
		m.dropResult(m.results.Front().Value.(*task))
	}
}

// dropResult forgets a payload. The mark stays, so the task never starts again.
func (m *memory) dropResult(t *task) {
	if t.result == nil {
		return
	}
	m.results.Remove(t.result)
	m.bytes -= len(t.payload)
	t.result, t.payload = nil, ""
	t.code, t.reason = ccwire.CodeLost, "the result is no longer held"
}

// sweep forgets the jobs whose retention is over.
func (m *memory) sweep(now time.Time, retention time.Duration) {
	for front := m.order.Front(); front != nil; front = m.order.Front() {
		oldest := front.Value.(*job)
		if now.Sub(oldest.used) <= retention {
			return
		}
		if oldest.running > 0 {
			oldest.used = now
			m.order.MoveToBack(front)
			continue
		}
		m.forget(oldest)
	}
}

func (m *memory) forget(j *job) {
	for _, t := range j.tasks {
		m.dropResult(t)
	}
	m.order.Remove(j.place)
	m.marks -= 1 + len(j.tasks)
	delete(m.jobs, j.id)
}

// bury leaves a tombstone for the attempt and all before it.
func (t *task) bury(claim uint64, attempt int) {
	switch {
	case claim > t.tombClaim:
		t.tombClaim, t.tombAttempt = claim, attempt
	case claim == t.tombClaim:
		t.tombAttempt = max(t.tombAttempt, attempt)
	}
}

// buried reports whether a tombstone covers the attempt.
func (t *task) buried(claim uint64, attempt int) bool {
	if t.tombClaim == 0 && t.tombAttempt == 0 {
		return false
	}
	return claim < t.tombClaim || claim == t.tombClaim && attempt <= t.tombAttempt
}

// report returns what is known of a started task.
func (t *task) report(index, attempt int) ccwire.TaskReport {
	return ccwire.TaskReport{
		Index: index, Attempt: attempt, Code: t.code,
		Payload: t.payload, Reason: t.reason, RunMS: t.runMS,
	}
}
