package ccsettings_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	core "camphorcroft/core/ccsettings"
	"camphorcroft/io/ccsettings"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

func newWriter(store ccsettings.WriterStore) *ccsettings.Writer {
	return ccsettings.NewWriter(ccsettings.WriterConfig{Store: store, Log: logr.Discard(), Keep: 1 << 20})
}

func wantKind(t *testing.T, err error, want ccsettings.Kind) {
	t.Helper()
	if got := ccsettings.KindOf(err); got != want || (err == nil) != (want == "") {
		t.Fatalf("kind %q, want %q: %v", got, want, err)
	}
}

func propose(t *testing.T, w *ccsettings.Writer, section, text string) *ccsettings.Result {
	t.Helper()
	result, err := w.Propose(t.Context(), ccsettings.Request{Section: section, File: section + ".yaml", Text: text, By: "test"})
	wantKind(t, err, "")
	return result
}

// wantHistory checks that each accepted mark is in the history once, that nothing
// else is, and that versions have no gap.
func wantHistory(t *testing.T, w *ccsettings.Writer, accepted map[string]bool) {
	t.Helper()
	changes, err := w.History(t.Context())
	wantKind(t, err, "")
	seen := map[string]bool{}
	for i, change := range changes {
		if change.Version != uint64(i+1) {
			t.Fatalf("entry %d of the history has version %d", i, change.Version)
		}
		if seen[change.Writer] || !accepted[change.Writer] {
			t.Fatalf("version %d by %s: twice %v, accepted %v", change.Version, change.Writer, seen[change.Writer], accepted[change.Writer])
		}
		seen[change.Writer] = true
	}
	if len(seen) != len(accepted) {
		t.Fatalf("%d changes in the history, %d accepted", len(seen), len(accepted))
	}
}

func TestConcurrentProposers(t *testing.T) {
	const proposers, duration = 50, 20 * time.Second
	for _, seed := range []uint64{1} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: seed})
				setFaults(t, store, ccstandin.StoreFaults{Delay: core.Duration(3 * time.Millisecond), LoseShare: 0.3, FailShare: 0.1})
				var mu sync.Mutex
				accepted, raced := map[string]bool{}, 0
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				var wg sync.WaitGroup
				for n := range proposers {
					wg.Go(func() {
						w := newWriter(store)
						rng := rand.New(rand.NewPCG(seed, uint64(n)))
						for try := 0; ctx.Err() == nil; try++ {
							time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
							text := fmt.Sprintf("teams: {team-%d: {maxTasks: %d}}", n, try+1)
							// The time of one proposal is its own, so that none is cut short.
							result, err := w.Propose(t.Context(), ccsettings.Request{Section: fmt.Sprintf("team-%d", n%10), Text: text})
							mu.Lock()
							switch {
							case err == nil:
								accepted[result.Change.Writer] = true
							case ccsettings.KindOf(err) == ccsettings.KindRaced:
								raced++
							default:
								t.Errorf("proposer %d: %v", n, err)
							}
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				setFaults(t, store, ccstandin.StoreFaults{})
				wantHistory(t, newWriter(store), accepted)
				if len(accepted) < proposers || raced == 0 {
					t.Fatalf("%d accepted and %d raced, too few to show anything", len(accepted), raced)
				}
				t.Logf("%d accepted, %d raced", len(accepted), raced)
			})
		})
	}
}

// hookStore runs a function before chosen swaps, and may lose their answers.
type hookStore struct {
	ccstore.Store
	before func(key string)
	lose   func(key string) bool
}

func (s *hookStore) Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	if s.before != nil {
		s.before(key)
	}
	revision, err := s.Store.Swap(ctx, key, expected, value, lease)
	if err == nil && s.lose != nil && s.lose(key) {
		return 0, &ccstore.Error{Op: "swap", Kind: ccstore.KindUnknown, Err: errors.New("lost")}
	}
	return revision, err
}

func TestRacedProposerIsToldWhatChanged(t *testing.T) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	other := newWriter(store)
	propose(t, other, "a", "fleet: {cells: 2}")
	once := sync.OnceFunc(func() { propose(t, other, "b", "teams: {sales: {share: 4}}") })
	slow := newWriter(&hookStore{Store: store, before: func(key string) {
		if key == core.HeadKey {
			once()
		}
	}})
	_, err := slow.Propose(t.Context(), ccsettings.Request{Section: "c", Text: "fleet: {maxClaims: 5000}"})
	wantKind(t, err, ccsettings.KindRaced)
	race := ccsettings.RaceOf(err)
	if race == nil || race.Base != 1 || len(race.Changes) != 1 || race.Changes[0].Section != "b" {
		t.Fatalf("the error doesn't tell of section b: %v", err)
	}
	items, _, _ := store.List(t.Context(), core.SectionPrefix+"c/")
	if len(items) != 0 {
		t.Fatalf("%d records of the losing proposal are left", len(items))
	}
}

func TestLostAnswerOfReplacedHead(t *testing.T) {
	// The head's answer is lost, and another change is accepted before the writer
	// reads back. The history proves that the first one was accepted.
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	other := newWriter(store)
	once := sync.OnceFunc(func() { propose(t, other, "b", "teams: {sales: {share: 4}}") })
	writer := newWriter(&hookStore{Store: store, lose: func(key string) bool {
		if key == core.HeadKey {
			once()
			return true
		}
		return false
	}})
	result := propose(t, writer, "a", "fleet: {cells: 2}")
	if result.Change.Version != 1 {
		t.Fatalf("version %d, want 1", result.Change.Version)
	}
	changes, err := other.History(t.Context())
	wantKind(t, err, "")
	if len(changes) != 2 || changes[0].Section != "a" || changes[1].Section != "b" {
		t.Fatalf("history %+v, want a and b", changes)
	}
}

func TestUnknownWhenTheStoreStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := ccstandin.NewStore(ccstandin.StoreConfig{})
		writer := newWriter(&hookStore{Store: store, lose: func(key string) bool {
			if key == core.HeadKey {
				_ = store.SetFaults(ccstandin.StoreFaults{Outage: true})
				return true
			}
			return false
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := writer.Propose(ctx, ccsettings.Request{Section: "a", Text: "fleet: {cells: 2}"})
		wantKind(t, err, ccsettings.KindUnknown)

		_, err = newWriter(store).Propose(ctx, ccsettings.Request{Section: "a", Text: "fleet: {cells: 3}"})
		wantKind(t, err, ccsettings.KindStore)
	})
}

func TestBaseOfAProposal(t *testing.T) {
	w := newWriter(ccstandin.NewStore(ccstandin.StoreConfig{}))
	propose(t, w, "a", "fleet: {cells: 2}")
	propose(t, w, "a", "fleet: {cells: 3}")
	_, err := w.Propose(t.Context(), ccsettings.Request{Section: "a", Text: "fleet: {cells: 4}", Base: 1})
	wantKind(t, err, ccsettings.KindRaced)
	_, err = w.Propose(t.Context(), ccsettings.Request{Section: "a", Text: "fleet: {cells: 4}", Base: 2})
	wantKind(t, err, "")
	if !propose(t, w, "a", "fleet: {cells: 4}").Unchanged {
		t.Fatal("the same text again made a version")
	}
}

func TestRefusedProposalWritesNothing(t *testing.T) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	_, err := newWriter(store).Propose(t.Context(), ccsettings.Request{Section: "a", File: "a.yaml", Text: "fleet: {cells: 0}"})
	wantKind(t, err, ccsettings.KindInvalid)
	if writes := store.Counts().Writes(); writes != 0 {
		t.Fatalf("%d writes", writes)
	}
}

func TestOldRecordsAreRemoved(t *testing.T) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	w := ccsettings.NewWriter(ccsettings.WriterConfig{Store: store, Log: logr.Discard(), Keep: 10})
	propose(t, w, "still", "fleet: {maxClaims: 5000}")
	for n := range 127 {
		propose(t, w, "a", fmt.Sprintf("fleet: {cells: %d}", n+2))
	}
	changes, err := w.History(t.Context())
	wantKind(t, err, "")
	if len(changes) != 11 || changes[0].Version != 118 {
		t.Fatalf("%d changes from version %d on, want 11 from 118", len(changes), changes[0].Version)
	}
	e, err := newReader(store).Load(t.Context())
	wantKind(t, err, "")
	wantCells(t, e, 128, 128)
	if items, _, _ := store.List(t.Context(), core.SectionPrefix); len(items) > 70 {
		t.Fatalf("%d sections are kept", len(items))
	}
	if e.Fleet.MaxClaims != 5000 {
		t.Fatal("a section in force was removed")
	}
}
