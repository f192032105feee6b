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
	teams  map[string]*team
	order  turnHeap[*team]
	length int
	jobs   int
	came   uint64 // Numbers teams and jobs as they come.
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*team)}
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
	j := q.job(teamName, share, jobID)
	j.indexes = append(j.indexes, index)
	heap.Fix(&j.team.order, j.place)
	q.count(j.team, 1)
}

// PushFront puts a task back that was taken and not started.
func (q *Queue) PushFront(teamName string, share float64, jobID ccjob.ID, index int) {
	j := q.job(teamName, share, jobID)
	j.indexes = append([]int{index}, j.indexes...)
	heap.Fix(&j.team.order, j.place)
	q.count(j.team, 1)
}

// Pop takes the next task.
func (q *Queue) Pop() (Item, bool) {
	if len(q.order) == 0 {
		return Item{}, false
	}
	t := q.order[0]
	j := t.order[0]
	item := Item{Job: j.id, Index: j.indexes[0]}
	j.indexes = j.indexes[1:]
	q.count(t, -1)

	t.turn += 1 / t.share
	if len(j.indexes) == 0 {
		heap.Pop(&t.order)
		delete(t.jobs, j.id)
		q.jobs--
	} else {
		heap.Fix(&t.order, 0)
	}
	if t.length == 0 {
		heap.Pop(&q.order)
		delete(q.teams, t.name)
	} else {
		heap.Fix(&q.order, 0)
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
	q.count(t, -len(j.indexes))
	heap.Remove(&t.order, j.place)
	delete(t.jobs, jobID)
	q.jobs--
	if t.length == 0 {
		heap.Remove(&q.order, t.place)
		delete(q.teams, teamName)
	}
}

func (q *Queue) count(t *team, n int) {
	q.length += n
	t.length += n
}

func (q *Queue) next() uint64 {
	q.came++
	return q.came
}

// job finds or makes the job's line. What is new starts at the turn of the
// first in its line: it neither catches up on turns it did not need nor waits
// for others to do so.
func (q *Queue) job(teamName string, share float64, jobID ccjob.ID) *job {
	t, ok := q.teams[teamName]
	if !ok {
		t = &team{name: teamName, came: q.next(), jobs: make(map[ccjob.ID]*job)}
		if len(q.order) > 0 {
			t.turn = q.order[0].turn
		}
		q.teams[teamName] = t
		heap.Push(&q.order, t)
	}
	t.share = max(share, minShare)
	j, ok := t.jobs[jobID]
	if !ok {
		j = &job{id: jobID, team: t, came: q.next()}
		t.jobs[jobID] = j
		q.jobs++
		heap.Push(&t.order, j)
	}
	return j
}
