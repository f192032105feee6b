package ccreplay

import (
	"context"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/io/ccstore"
)

// planStore is a store with one plan and no changes.
type planStore struct{ Store }

func (planStore) List(context.Context, string) ([]ccstore.Item, uint64, error) {
	return []ccstore.Item{{Key: "plan/now", Revision: 7}}, 7, nil
}

func (planStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (ccstore.Change, error) {
	<-ctx.Done()
	return ccstore.Change{}, ctx.Err()
}

// itemPlanSource builds an empty plan.
type itemPlanSource struct{}

func (itemPlanSource) Prefix() string { return "plan/" }

func (itemPlanSource) Plan(_ []ccstore.Item, revision uint64) (*ccroute.Plan, error) {
	return &ccroute.Plan{Revision: revision}, nil
}

// Guards against a plan that takes effect too late because it waits behind the other
// events of an entry that can't keep up.
func TestPlanDoesNotWaitBehindOtherEvents(t *testing.T) {
	const events, eventDuration = 100, 20 * time.Millisecond
	e := New(Config{Node: ccnode.Ref{ID: "entry-1"}, Store: planStore{}, PlanSource: itemPlanSource{}})
	handled := 0
	done := make(chan struct{})
	for range events {
		e.do(func(time.Time) {
			handled++
			time.Sleep(eventDuration)
		})
	}
	go func() {
		defer close(done)
		for e.Plan() == nil {
			time.Sleep(time.Millisecond)
		}
	}()
	e.spawn(e.followPlan)
	e.spawn(e.control)
	<-done
	remaining := make(chan int, 1)
	go func() {
		e.wg.Wait()
		remaining <- events - handled
	}()
	e.cancel()
	if n := <-remaining; n < events/2 {
		t.Errorf("events left when the plan was in force: %d of %d, want half at least", n, events)
	}
}
