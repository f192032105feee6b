package ccqueue_test

import (
	"slices"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccqueue"
)

// popJobs takes so many tasks and returns whose they were.
func popJobs(queue *ccqueue.Queue, count int) []ccjob.ID {
	var jobs []ccjob.ID
	for range count {
		item, ok := queue.Pop()
		if !ok {
			break
		}
		jobs = append(jobs, item.Job)
	}
	return jobs
}

func push(queue *ccqueue.Queue, team string, share float64, id ccjob.ID, tasks int) {
	for index := range tasks {
		queue.Push(team, share, id, index)
	}
}

func TestTurns(t *testing.T) {
	t.Run("teamsByTheirShares", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 2, "a", 6)
		push(queue, "b", 1, "b", 6)
		counts := map[ccjob.ID]int{}
		for _, id := range popJobs(queue, 9) {
			counts[id]++
		}
		if counts["a"] != 6 || counts["b"] != 3 {
			t.Errorf("the shares are %v, want 6 and 3", counts)
		}
	})
	t.Run("jobsOfATeamTaskByTask", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "large", 9)
		push(queue, "a", 1, "small", 1)
		if at := slices.Index(popJobs(queue, 10), "small"); at > 1 {
			t.Errorf("the small job has turn %d, want one of the first two", at)
		}
	})
}

func TestJobs(t *testing.T) {
	queue := ccqueue.New()
	push(queue, "a", 1, "first", 2)
	push(queue, "a", 1, "second", 1)
	push(queue, "b", 1, "third", 1)
	assertWaiting := func(jobs, tasks int) {
		t.Helper()
		if queue.Jobs() != jobs || queue.Len() != tasks {
			t.Errorf("%d jobs with %d tasks wait, want %d with %d", queue.Jobs(), queue.Len(), jobs, tasks)
		}
	}
	assertWaiting(3, 4)
	queue.Drop("a", "first")
	assertWaiting(2, 2)
	queue.Pop()
	queue.Pop()
	assertWaiting(0, 0)
}
