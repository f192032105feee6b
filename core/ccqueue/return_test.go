package ccqueue_test

import (
	"slices"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccqueue"
)

func assertJobs(t *testing.T, got []ccjob.ID, want ...ccjob.ID) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("popped jobs: %v, want %v", got, want)
	}
}

func assertItem(t *testing.T, queue *ccqueue.Queue, want ccqueue.Item) {
	t.Helper()
	if got, ok := queue.Pop(); !ok || got != want {
		t.Errorf("next item: %v (%t), want %v", got, ok, want)
	}
}

func assertEmpty(t *testing.T, queue *ccqueue.Queue) {
	t.Helper()
	if got, ok := queue.Pop(); ok || queue.Len() != 0 || queue.Jobs() != 0 {
		t.Errorf("popped %v with %d tasks left, want an empty queue", got, queue.Len())
	}
}

// countJob returns how often a job occurs in a list.
func countJob(jobs []ccjob.ID, want ccjob.ID) int {
	count := 0
	for _, id := range jobs {
		if id == want {
			count++
		}
	}
	return count
}

func TestReturningTeam(t *testing.T) {
	queue := ccqueue.New()
	push(queue, "a", 1, "a", 100)
	push(queue, "b", 1, "b", 1)
	popJobs(queue, 60)
	if queue.TeamLen("b") != 0 {
		t.Fatal("team b still has waiting tasks")
	}
	push(queue, "b", 1, "b", 20)
	got := popJobs(queue, 20)
	t.Run("getsNoCreditForIdleTime", func(t *testing.T) {
		if count := countJob(got, "b"); count > 10 {
			t.Errorf("team b got %d of 20 pops, want at most 10", count)
		}
	})
	t.Run("isServedAtOnce", func(t *testing.T) {
		if count := countJob(got, "b"); count < 10 || !slices.Contains(got[:2], "b") {
			t.Errorf("team b got %d of 20 pops, want at least 10 with one in the first two: %v", count, got)
		}
	})
}

func TestPushFront(t *testing.T) {
	t.Run("goesBeforeOtherTasksOfJob", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "a", 3)
		assertItem(t, queue, ccqueue.Item{Job: "a", Index: 0})
		queue.PushFront("a", 1, "a", 0)
		for index := range 3 {
			assertItem(t, queue, ccqueue.Item{Job: "a", Index: index})
		}
		assertEmpty(t, queue)
	})
	t.Run("ofJobWithNoTasksLeft", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "a", 1)
		popJobs(queue, 1)
		queue.PushFront("a", 1, "a", 0)
		assertItem(t, queue, ccqueue.Item{Job: "a", Index: 0})
		assertEmpty(t, queue)
	})
}

func TestDrop(t *testing.T) {
	t.Run("keepsOrderOfOtherJobs", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "first", 2)
		push(queue, "a", 1, "second", 2)
		push(queue, "a", 1, "third", 2)
		queue.Drop("a", "second")
		assertJobs(t, popJobs(queue, 4), "first", "first", "third", "third")
		assertEmpty(t, queue)
	})
	t.Run("ofUnknownJobOrTeam", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "first", 1)
		queue.Drop("a", "second")
		queue.Drop("b", "first")
		assertJobs(t, popJobs(queue, 2), "first")
	})
	t.Run("ofLastJobEmptiesQueue", func(t *testing.T) {
		queue := ccqueue.New()
		push(queue, "a", 1, "first", 3)
		queue.Drop("a", "first")
		assertEmpty(t, queue)
	})
}
