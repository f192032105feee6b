package ccqueue_test

import (
	"testing"

	"camphorcroft/core/ccqueue"
)

// TestTrickle has a team that never has more than one task waiting beside one
// with ten times its share. It must not get more than its share.
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
		t.Errorf("the small team got %d of 110 turns, want 10", small)
	}
}
