package ccreplay

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccstore"
	"camphorcroft/io/cctransfer"
)

// interruptedStore returns the results of its watches in order, and then closes the entry.
type interruptedStore struct {
	Store
	entry   *Entry
	lists   int
	after   []uint64    // The revisions that were watched from.
	at      []time.Time // When.
	results []func() (ccstore.Change, error)
}

func (s *interruptedStore) List(context.Context, string) ([]ccstore.Item, uint64, error) {
	s.lists++
	return []ccstore.Item{{Key: "plan/now", Revision: 7}}, 7, nil
}

func (s *interruptedStore) Watch(_ context.Context, _ string, revision uint64, _ time.Duration) (ccstore.Change, error) {
	s.after, s.at = append(s.after, revision), append(s.at, time.Now())
	if len(s.results) == 0 {
		s.entry.cancel()
		return ccstore.Change{}, context.Canceled
	}
	result := s.results[0]
	s.results = s.results[1:]
	return result()
}

// playFollow follows a store with these results of its watches, and returns it with the revisions of all plans.
func playFollow(t *testing.T, results ...func() (ccstore.Change, error)) (*interruptedStore, []uint64) {
	t.Helper()
	store := &interruptedStore{results: results}
	store.entry = New(Config{Node: ccnode.Ref{ID: "entry-1"}, Store: store})
	var revisions []uint64
	store.entry.follow("plan/", time.Second, func(ccstore.Item) bool { return true }, func(_ []ccstore.Item, revision uint64) {
		revisions = append(revisions, revision)
	})
	return store, revisions
}

func changeAt(revision uint64, reset bool) func() (ccstore.Change, error) {
	return func() (ccstore.Change, error) {
		return ccstore.Change{Items: []ccstore.Item{{Key: "plan/now", Revision: revision}}, Revision: revision, Reset: reset}, nil
	}
}

func failWith(err error) func() (ccstore.Change, error) {
	return func() (ccstore.Change, error) { return ccstore.Change{}, err }
}

// Guards against a list, which takes the link for all items, after each watch that fails.
func TestInterruptedWatchGoesOnFromItsRevision(t *testing.T) {
	t.Run("a failed watch", func(t *testing.T) {
		store, revisions := playFollow(t, failWith(errors.New("cut")), failWith(errors.New("cut")), changeAt(9, false))
		if store.lists != 1 || !slices.Equal(store.after, []uint64{7, 7, 7, 9}) || !slices.Equal(revisions, []uint64{7, 9}) {
			t.Errorf("got %d lists, watches from %v, plans %v", store.lists, store.after, revisions)
		}
	})
	t.Run("a watch whose history is gone", func(t *testing.T) {
		store, revisions := playFollow(t, changeAt(12, true))
		if store.lists != 1 || !slices.Equal(store.after, []uint64{7, 12}) || !slices.Equal(revisions, []uint64{7, 12}) {
			t.Errorf("got %d lists, watches from %v, plans %v", store.lists, store.after, revisions)
		}
	})
	t.Run("the pause after a transfer is as long as the transfer", func(t *testing.T) {
		took := 300 * time.Millisecond
		store, _ := playFollow(t, failWith(&cctransfer.Error{Op: "read body", Kind: cctransfer.KindBroken, Received: 1000, Took: took, Err: errors.New("cut")}))
		if pause := store.at[1].Sub(store.at[0]); pause < took {
			t.Errorf("pause: got %v, want %v at least", pause, took)
		}
	})
}
