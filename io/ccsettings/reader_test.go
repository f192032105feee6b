package ccsettings_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	core "camphorcroft/core/ccsettings"
	"camphorcroft/io/ccsettings"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

// putVersion writes a version straight into the store.
func putVersion(t *testing.T, store ccstore.Store, version uint64, text string) {
	t.Helper()
	record, _ := json.Marshal(core.SectionRecord{Name: "fleet", Revision: "r" + text, Text: text})
	_, err := store.Swap(t.Context(), core.SectionKey("fleet", "r"+text), 0, record, ccstore.NoLease)
	if err != nil && ccstore.KindOf(err) != ccstore.KindConflict {
		t.Fatal(err)
	}
	item, _ := store.Get(t.Context(), core.HeadKey)
	head, _ := json.Marshal(core.Head{Version: version, Sections: map[string]string{"fleet": "r" + text}})
	if _, err := store.Swap(t.Context(), core.HeadKey, item.Revision, head, ccstore.NoLease); err != nil {
		t.Fatal(err)
	}
}

func newReader(store ccsettings.ReaderStore) *ccsettings.Reader {
	return ccsettings.NewReader(ccsettings.ReaderConfig{Store: store, Log: logr.Discard()})
}

func setFaults(t *testing.T, store *ccstandin.Store, faults ccstandin.StoreFaults) {
	t.Helper()
	if err := store.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
}

func wantCells(t *testing.T, e *core.Effective, version uint64, cells int) {
	t.Helper()
	if e.Version != version || e.Fleet.Cells != cells {
		t.Fatalf("version %d with %d cells, want version %d with %d", e.Version, e.Fleet.Cells, version, cells)
	}
}

func TestReaderLoad(t *testing.T) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	reader := newReader(store)
	empty, err := reader.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	wantCells(t, empty, 0, core.DefaultFleet().Cells)

	putVersion(t, store, 3, "fleet: {cells: 7}")
	loaded, err := reader.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	wantCells(t, loaded, 3, 7)

	putVersion(t, store, 2, "fleet: {cells: 5}")
	again, err := reader.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	wantCells(t, again, 3, 7)
}

func TestReaderWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 7})
		reader := newReader(store)
		ctx, cancel := context.WithCancel(t.Context())
		var taken []*core.Effective
		done := make(chan error, 1)
		go func() {
			done <- reader.Watch(ctx, func(e *core.Effective) { taken = append(taken, e) })
		}()
		settle := func(d time.Duration) { time.Sleep(d); synctest.Wait() }

		settle(10 * time.Second)
		if len(taken) != 0 {
			t.Fatalf("an empty store gave %d versions", len(taken))
		}
		if calls := store.Counts().Reads(); calls > 30 {
			t.Fatalf("%d reads in 10 s of an empty store", calls)
		}

		putVersion(t, store, 1, "fleet: {cells: 2}")
		settle(time.Second)
		wantCells(t, taken[len(taken)-1], 1, 2)

		setFaults(t, store, ccstandin.StoreFaults{Outage: true})
		lost := time.Now()
		settle(30 * time.Second)
		wantCells(t, reader.Current(), 1, 2)
		if seen := reader.LastSeen(); seen.After(lost) {
			t.Fatalf("the store was seen %s into its outage", seen.Sub(lost))
		}

		setFaults(t, store, ccstandin.StoreFaults{})
		putVersion(t, store, 2, "fleet: {cells: 3}")
		setFaults(t, store, ccstandin.StoreFaults{FailShare: 0.34})
		settle(5 * time.Second)
		wantCells(t, taken[len(taken)-1], 2, 3)

		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if len(taken) != 2 {
			t.Fatalf("%d versions were taken, want 2", len(taken))
		}
	})
}
