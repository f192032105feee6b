// Package ccqueue orders the tasks that wait at an entry.
//
// Teams take turns in proportion to their shares; a team with nothing waiting
// lends its turns to the others. Within a team the job with the fewest tasks
// waiting goes first, so that a large job never keeps a small one waiting, and
// large jobs end one after the other instead of all late.
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

// Queue holds waiting tasks. It has no bound of its own: its user refuses jobs
// by Len before it pushes.
type Queue struct {
	teams       map[string]*team
	teamHeap    itemHeap[*team]
	length      int
	jobs        int
	lastArrival uint64  // Numbers teams and jobs as they come.
	virtualTime float64 // Of the last task taken; it never goes back.
	// idleTeams has the turns of teams with nothing waiting that took tasks idleTeams of
	// the others.
	idleTeams map[string]float64
}

// maxIdleTeams is how many such teams are kept before those whose turn has passed
// are dropped.
const maxIdleTeams = 1024

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), idleTeams: make(map[string]float64)}
}

// Len returns how many tasks wait.
func (q *Queue) Len() int { return q.length }

// Jobs returns how many jobs have tasks waiting.
func (q *Queue) Jobs() int { return q.jobs }

// TeamLen returns how many tasks of the team wait.
func (q *Queue) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return t.length
	}
	return 0
}

// Push adds a task at the end of its job.
func (q *Queue) Push(teamName string, share float64, jobID ccjob.ID, index int) {
	j := q.getOrAddJob(teamName, share, jobID)
	j.indexes = append(j.indexes, index)
	heap.Fix(&j.team.jobHeap, j.heapIndex)
	q.adjustLength(j.team, 1)
}

// PushFront puts a task back that was taken and not started.
func (q *Queue) PushFront(teamName string, share float64, jobID ccjob.ID, index int) {
	j := q.getOrAddJob(teamName, share, jobID)
	j.indexes = append([]int{index}, j.indexes...)
	heap.Fix(&j.team.jobHeap, j.heapIndex)
	q.adjustLength(j.team, 1)
}

// Pop takes the next task.
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

// Drop removes all tasks of a job.
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

// removeTeam drops a team with nothing waiting. Its turn is kept while it is ahead,
// so that a team whose tasks come one by one takes no more than its share.
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

// getOrAddJob finds or makes the getOrAddJob's line. A team that is new or comes back starts at
// the turn that the queue has come to: it doesn't catch up on turns that it did
// not need. What it took ahead of the others before still counts.
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
