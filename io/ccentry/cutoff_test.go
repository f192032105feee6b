package ccentry_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/io/ccentry"
	"camphorcroft/io/ccstore"
)

var errCut = &ccstore.Error{Op: "call", Kind: ccstore.KindUnknown, Err: errors.New("cut off")}

// cutStore is the way of one entry to the store, which may be cut.
type cutStore struct {
	ccstore.Store
	cut *atomic.Bool
}

func (s cutStore) List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.Store.List(ctx, prefix)
}

func (s cutStore) Renew(ctx context.Context, lease ccstore.LeaseID) error {
	if s.cut.Load() {
		return errCut
	}
	return s.Store.Renew(ctx, lease)
}

func (s cutStore) Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	if s.cut.Load() {
		return 0, errCut
	}
	return s.Store.Swap(ctx, key, expected, value, lease)
}

// startCuttable starts three entries, and returns the switch that cuts the first
// off from the store.
func startCuttable(t *testing.T) ([]*ccentry.Entry, *atomic.Bool) {
	t.Helper()
	store := cellStore(t, startInstantAgents(t, []ccnode.ID{"a", "b"}, 8))
	cuts := make([]atomic.Bool, 3)
	entries := make([]*ccentry.Entry, len(cuts))
	for i := range entries {
		entries[i] = ccentry.New(ccentry.Config{
			Node: ccnode.Ref{ID: ccnode.ID(fmt.Sprintf("entry-%d", i))}, Domain: "north", Listen: anyPort, HTTP: anyPort,
			Store: cutStore{store, &cuts[i]}, Settings: fixedSettings{oneService()}, Log: logr.Discard(), Seed: 1,
		})
		if err := entries[i].Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(entries[i].Kill)
	}
	await(t, func() bool { return allReady(entries) })
	return entries, &cuts[0]
}

// await polls until something holds, or the test's time is over.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal("the test's time is over")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func assertOutcome(t *testing.T, entry *ccentry.Entry, want ccjob.State) {
	t.Helper()
	spec := newSpec(t, 1, time.Millisecond)
	if outcome := <-entry.Submit(&spec); outcome.State != want {
		t.Errorf("outcome %+v, want %s", outcome, want)
	}
}

// TestCutOff cuts one entry off from a store that the others see. Its peers see
// to it that it stops, take its slots over, and it learns that it was replaced.
func TestCutOff(t *testing.T) {
	entries, cut := startCuttable(t)
	assertOutcome(t, entries[0], ccjob.StateComplete)
	cut.Store(true)
	await(t, func() bool { return !entries[0].Ready() })
	assertOutcome(t, entries[0], ccjob.StateFailed)
	assertOutcome(t, entries[1], ccjob.StateComplete)
	await(t, func() bool { return entries[1].Claimable()+entries[2].Claimable() >= ccroster.SlotCount })
	cut.Store(false)
	<-entries[0].Lost()
}
