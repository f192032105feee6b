package ccqueue_test

import (
	"slices"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccqueue"
)

// popJobs pops up to count tasks and returns their jobs.
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

func TestPopOrder(t *testing.T) {
	t.Run("teamsInProportionToShares", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 2, "a", 6)
		push(queue, "b", 1, "b", 6)
		counts := map[ccjob.ID]int{}
		for _, id := range popJobs(queue, 9) {
			counts[id]++
		}
		if counts["a"] != 6 || counts["b"] != 3 {
			t.Errorf("pops by job: %v, want a: 6, b: 3", counts)
		}
	})
	t.Run("smallestJobOfTeamFirst", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "large", 9)
		push(queue, "a", 1, "small", 1)
		if got := popJobs(queue, 1); got[0] != "small" {
			t.Errorf("first popped job: %s, want small", got[0])
		}
	})
	t.Run("jobWithFewestTasksLeftFirst", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "first", 4)
		popJobs(queue, 2)
		push(queue, "a", 1, "second", 3)
		got := popJobs(queue, 5)
		if want := []ccjob.ID{"first", "first", "second", "second", "second"}; !slices.Equal(got, want) {
			t.Errorf("popped jobs: %v, want %v", got, want)
		}
	})
	t.Run("returnedTaskFirst", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "j", 3)
		item, _ := queue.Pop()
		queue.PushFront("a", 1, "j", item.Index)
		if again, _ := queue.Pop(); again != item {
			t.Errorf("next item: %v, want %v", again, item)
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
			t.Errorf("%d jobs with %d tasks are waiting, want %d with %d", queue.Jobs(), queue.Len(), jobs, tasks)
		}
	}
	assertWaiting(3, 4)
	queue.Drop("a", "first")
	assertWaiting(2, 2)
	queue.Pop()
	queue.Pop()
	assertWaiting(0, 0)
}
