package ccqueue_test

import (
	"testing"

	"camphorcroft/core/ccqueue"
)

// TestTrickle guards against a team that gets more than its share because its
// tasks arrive one at a time: it would start at the queue's virtual time again
// after each task. The other team has ten times its share.
func TestTrickle(t *testing.T) {
	queue := ccqueue.New()
	push(queue, "large", 10, "l", 1000)
	push(queue, "small", 1, "s", 1)
	small := 0
	for range 110 {
		item, _ := queue.Pop()
		if item.Job == "s" {
			small++
			push(queue, "small", 1, "s", 1)
		}
	}
	if small < 10 || small > 11 {
		t.Errorf("the small team got %d of 110 pops, want 10 or 11", small)
	}
}
