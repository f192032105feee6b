// Package ccqueue orders the tasks that wait at an entry.
//
// It implements weighted fair queuing over teams: each team is served in
// proportion to its share, and the capacity of a team with no waiting tasks goes
// to the others. Within a team the job with the fewest waiting tasks is served
// first, so that a large job never delays a small one, and large jobs finish one
// after the other instead of all finishing late.
//
// # Usage
//
//	queue := ccqueue.New()
//	queue.Push("team", 1, jobID, 0)
//	item, ok := queue.Pop()
package ccqueue

import (
	"container/heap"
	"maps"

	"camphorcroft/core/ccjob"
)

// Item is one waiting task.
type Item struct {
	Job   ccjob.ID
	Index int
}

// Queue holds waiting tasks. It doesn't limit its length: the caller checks Len
// and refuses jobs before it pushes them.
type Queue struct {
	teams       map[string]*team
	teamHeap    itemHeap[*team]
	length      int
	jobs        int
	lastArrival uint64  // The last arrival number given to a team or job.
	virtualTime float64 // The highest at which a task was popped; never decreases.
	// idleTeams maps teams that have no waiting tasks to their virtual times, where
	// these were ahead of the queue's when the team became idle.
	idleTeams map[string]float64
}

// maxIdleTeams limits idleTeams. When it is reached, the teams that are no longer
// ahead of the queue's virtual time are removed.
const maxIdleTeams = 1024

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), idleTeams: make(map[string]float64)}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.length }

// Jobs returns the number of jobs with waiting tasks.
func (q *Queue) Jobs() int { return q.jobs }

// TeamLen returns the number of the team's waiting tasks.
func (q *Queue) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return t.length
	}
	return 0
}

// Push appends a task to its job.
func (q *Queue) Push(teamName string, share float64, jobID ccjob.ID, index int) {
	j := q.getOrAddJob(teamName, share, jobID)
	j.indexes = append(j.indexes, index)
	heap.Fix(&j.team.jobHeap, j.heapIndex)
	q.adjustLength(j.team, 1)
}

// PushFront returns a task that was popped but not started to the front of its
// job.
func (q *Queue) PushFront(teamName string, share float64, jobID ccjob.ID, index int) {
	j := q.getOrAddJob(teamName, share, jobID)
	j.indexes = append([]int{index}, j.indexes...)
	heap.Fix(&j.team.jobHeap, j.heapIndex)
	q.adjustLength(j.team, 1)
}

// Pop removes and returns the next task. It returns false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.teamHeap) == 0 {
		return Item{}, false
	}
	t := q.teamHeap[0]
	j := t.jobHeap[0]
	item := Item{Job: j.id, Index: j.indexes[0]}
	j.indexes = j.indexes[1:]
	q.adjustLength(t, -1)

	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += 1 / t.share
	if len(j.indexes) == 0 {
		heap.Pop(&t.jobHeap)
		delete(t.jobs, j.id)
		q.jobs--
	} else {
		heap.Fix(&t.jobHeap, 0)
	}
	if t.length == 0 {
		heap.Pop(&q.teamHeap)
		q.removeTeam(t)
	} else {
		heap.Fix(&q.teamHeap, 0)
	}
	return item, true
}

// Drop removes all waiting tasks of a job.
func (q *Queue) Drop(teamName string, jobID ccjob.ID) {
	t, ok := q.teams[teamName]
	if !ok {
		return
	}
	j, ok := t.jobs[jobID]
	if !ok {
		return
	}
	q.adjustLength(t, -len(j.indexes))
	heap.Remove(&t.jobHeap, j.heapIndex)
	delete(t.jobs, jobID)
	q.jobs--
	if t.length == 0 {
		heap.Remove(&q.teamHeap, t.heapIndex)
		q.removeTeam(t)
	}
}

// removeTeam removes a team that has no waiting tasks. A virtual time that is ahead
// of the queue's is kept, so that a team whose tasks arrive one at a time gets no
// more than its share.
func (q *Queue) removeTeam(t *team) {
	delete(q.teams, t.name)
	if t.virtualTime <= q.virtualTime {
		return
	}
	if len(q.idleTeams) >= maxIdleTeams {
		maps.DeleteFunc(q.idleTeams, func(_ string, turn float64) bool { return turn <= q.virtualTime })
	}
	if len(q.idleTeams) < maxIdleTeams {
		q.idleTeams[t.name] = t.virtualTime
	}
}

func (q *Queue) adjustLength(t *team, n int) {
	q.length += n
	t.length += n
}

func (q *Queue) nextArrival() uint64 {
	q.lastArrival++
	return q.lastArrival
}

// getOrAddJob returns the waiting tasks of a job and adds the job and its team
// where they are missing. A team that is new or was idle starts at the queue's
// virtual time, so that it gets no credit for the time when it had no tasks. A
// virtual time that was ahead of the queue's when the team became idle still
// counts.
func (q *Queue) getOrAddJob(teamName string, share float64, jobID ccjob.ID) *job {
	t, ok := q.teams[teamName]
	if !ok {
		t = &team{name: teamName, arrival: q.nextArrival(), jobs: make(map[ccjob.ID]*job)}
		t.virtualTime = max(q.virtualTime, q.idleTeams[teamName])
		delete(q.idleTeams, teamName)
		q.teams[teamName] = t
		heap.Push(&q.teamHeap, t)
	}
	t.share = max(share, minShare)
	j, ok := t.jobs[jobID]
	if !ok {
		j = &job{id: jobID, team: t, arrival: q.nextArrival()}
		t.jobs[jobID] = j
		q.jobs++
		heap.Push(&t.jobHeap, j)
	}
	return j
}
