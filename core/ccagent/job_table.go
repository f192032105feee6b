package ccagent

import (
	"container/list"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// jobTable holds the records of jobs and their tasks. A job is removed as a whole
// when none of its tasks runs and it has not been used for the retention period.
type jobTable struct {
	byID           map[ccjob.ID]*jobRecord
	lru            *list.List // Of *jobRecord, least recently used first.
	results        *list.List // Of *taskRecord with a payload, in the order in which the tasks finished.
	resultBytes    int        // Total size of the payloads in results.
	records        int        // Number of job and task records.
	maxRecords     int
	maxResultBytes int
}

// jobRecord is what the agent remembers of one job.
type jobRecord struct {
	id       ccjob.ID
	claim    uint64     // The greatest claim seen. Lower claims are fenced.
	driver   ccnode.Ref // The entry that receives the results of tasks.
	lastUsed time.Time
	running  int
	tasks    map[int]*taskRecord
	lruElem  *list.Element
}

// taskRecord is what the agent remembers of one task: that it started, a tombstone
// for attempts that must not start, or both.
type taskRecord struct {
	started bool
	code    ccwire.TaskCode // Valid if started is set.
	attempt int             // The attempt under which the result is reported.
	payload string
	reason  string
	runMS   float64
	// The tombstone: no attempt of an earlier claim than tombClaim starts, nor any up
	// to tombAttempt under tombClaim itself. Both are zero if there is none.
	tombClaim   uint64
	tombAttempt int
	resultElem  *list.Element
}

func newJobTable(maxRecords, maxResultBytes int) *jobTable {
	return &jobTable{
		byID:           make(map[ccjob.ID]*jobRecord),
		lru:            list.New(),
		results:        list.New(),
		maxRecords:     maxRecords,
		maxResultBytes: maxResultBytes,
	}
}

// hasRoomForStart reports whether a job record and a task record can be added for
// one more started task.
func (jt *jobTable) hasRoomForStart() bool {
	return jt.records+2 <= jt.maxRecords
}

// hasReserve reports whether n more records fit if the reserve for tombstones and
// fences is used, which is a quarter of maxRecords.
func (jt *jobTable) hasReserve(n int) bool {
	return jt.records+n <= jt.maxRecords+jt.maxRecords/4
}

// ensureJob returns the record of a job, which it creates if there is none, and
// marks it as used now.
func (jt *jobTable) ensureJob(now time.Time, id ccjob.ID) *jobRecord {
	j, ok := jt.byID[id]
	if !ok {
		j = &jobRecord{id: id, tasks: make(map[int]*taskRecord)}
		j.lruElem = jt.lru.PushBack(j)
		jt.byID[id] = j
		jt.records++
	}
	j.lastUsed = now
	jt.lru.MoveToBack(j.lruElem)
	return j
}

// ensureTask returns the record of a task of the job and creates it if there is
// none.
func (jt *jobTable) ensureTask(j *jobRecord, index int) *taskRecord {
	rec, ok := j.tasks[index]
	if !ok {
		rec = &taskRecord{}
		j.tasks[index] = rec
		jt.records++
	}
	return rec
}

// findTask returns the record of a task, or nil.
func (jt *jobTable) findTask(id ccjob.ID, index int) *taskRecord {
	if j, ok := jt.byID[id]; ok {
		return j.tasks[index]
	}
	return nil
}

// storeResult keeps the payload of a result and evicts the oldest payloads while
// they exceed maxResultBytes.
func (jt *jobTable) storeResult(t *taskRecord, payload string) {
	if payload == "" {
		return
	}
	t.payload = payload
	t.resultElem = jt.results.PushBack(t)
	jt.resultBytes += len(payload)
	for jt.resultBytes > jt.maxResultBytes {
		jt.evictResult(jt.results.Front().Value.(*taskRecord))
	}
}

// evictResult drops a payload. The task stays recorded as started, so it never
// starts again.
func (jt *jobTable) evictResult(t *taskRecord) {
	if t.resultElem == nil {
		return
	}
	jt.results.Remove(t.resultElem)
	jt.resultBytes -= len(t.payload)
	t.resultElem, t.payload = nil, ""
	t.code, t.reason = ccwire.CodeLost, "the result is no longer held"
}

// removeExpired removes the jobs whose retention has ended. A job with running
// tasks is kept, and its retention starts again.
func (jt *jobTable) removeExpired(now time.Time, retention time.Duration) {
	for front := jt.lru.Front(); front != nil; front = jt.lru.Front() {
		oldest := front.Value.(*jobRecord)
		if now.Sub(oldest.lastUsed) <= retention {
			return
		}
		if oldest.running > 0 {
			oldest.lastUsed = now
			jt.lru.MoveToBack(front)
			continue
		}
		jt.remove(oldest)
	}
}

func (jt *jobTable) remove(j *jobRecord) {
	for _, t := range j.tasks {
		jt.evictResult(t)
	}
	jt.lru.Remove(j.lruElem)
	jt.records -= 1 + len(j.tasks)
	delete(jt.byID, j.id)
}

// addTombstone keeps the attempt and all earlier ones from starting.
func (t *taskRecord) addTombstone(claim uint64, attempt int) {
	switch {
	case claim > t.tombClaim:
		t.tombClaim, t.tombAttempt = claim, attempt
	case claim == t.tombClaim:
		t.tombAttempt = max(t.tombAttempt, attempt)
	}
}

// hasTombstone reports whether the tombstone covers the attempt.
func (t *taskRecord) hasTombstone(claim uint64, attempt int) bool {
	if t.tombClaim == 0 && t.tombAttempt == 0 {
		return false
	}
	return claim < t.tombClaim || claim == t.tombClaim && attempt <= t.tombAttempt
}

// report returns the state of a started task.
func (t *taskRecord) report(index, attempt int) ccwire.TaskReport {
	return ccwire.TaskReport{
		Index: index, Attempt: attempt, Code: t.code,
		Payload: t.payload, Reason: t.reason, RunMS: t.runMS,
	}
}
