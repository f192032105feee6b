package ccsettings_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	core "camphorcroft/core/ccsettings"
	"camphorcroft/io/ccsettings"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

const (
	manyTeams = 460
	// inForce is within what time a change must be in force at each reader.
	inForce = 5 * time.Second
)

// putTeams writes a version with many sections straight into the store.
func putTeams(tb testing.TB, store ccstore.Store, teams int) {
	tb.Helper()
	head := core.Head{Version: 1, Sections: map[string]string{}}
	put := func(key string, value any) {
		data, _ := json.Marshal(value)
		if _, err := store.Swap(tb.Context(), key, 0, data, ccstore.NoLease); err != nil {
			tb.Fatal(err)
		}
	}
	for n := range teams {
		name := fmt.Sprintf("team-%d", n)
		head.Sections[name] = core.NewRevision(1, "first")
		text := fmt.Sprintf("teams: {%s: {share: 2, maxTasks: 500}}\nservices: {quotes: {slots: 8, queueTasks: 5000}}", name)
		put(core.SectionKey(name, head.Sections[name]), core.SectionRecord{Name: name, Revision: head.Sections[name], Text: text})
	}
	put(core.HeadKey, head)
}

// A change is in force at every reader in time while a third of the store's calls
// fail. Time is the test's own, so that the machine has no part in it.
func TestSpreadWhileAThirdOfCallsFail(t *testing.T) {
	const readers, changes = 12, 10
	synctest.Test(t, func(t *testing.T) {
		store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 5})
		putTeams(t, store, manyTeams)
		setFaults(t, store, ccstandin.StoreFaults{FailShare: 1.0 / 3, LoseShare: 1.0 / 3, Delay: core.Duration(3 * time.Millisecond)})
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		accepted := map[uint64]time.Time{}
		seen := map[uint64]int{}
		var delays []time.Duration
		var wg sync.WaitGroup
		for range readers {
			wg.Go(func() {
				_ = newReader(store).Watch(ctx, func(e *core.Effective) {
					mu.Lock()
					defer mu.Unlock()
					seen[e.Version]++
					if at, ok := accepted[e.Version]; ok {
						delays = append(delays, time.Since(at))
					} else if e.Version > 1 {
						delays = append(delays, 0) // Seen before the writer had its answer.
					}
				})
			})
		}
		time.Sleep(30 * time.Second)
		for n := range changes {
			result, err := newWriter(store).Propose(t.Context(), ccsettings.Request{Section: "team-7", Text: fmt.Sprintf("teams: {team-7: {maxTasks: %d}}", n+1)})
			wantKind(t, err, "")
			mu.Lock()
			accepted[result.Change.Version] = time.Now()
			mu.Unlock()
			time.Sleep(inForce)
		}
		cancel()
		wg.Wait()
		for version := uint64(1); version <= changes+1; version++ {
			if seen[version] != readers {
				t.Errorf("version %d came into force at %d of %d readers", version, seen[version], readers)
			}
		}
		slices.Sort(delays)
		if worst := delays[len(delays)-1]; worst > inForce {
			t.Errorf("in force after %s, want %s at most", worst, inForce)
		}
		t.Logf("in force after %s at most, %s at half", delays[len(delays)-1], delays[len(delays)/2])
	})
}

func TestFirstLoadTakesFewCalls(t *testing.T) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	putTeams(t, store, manyTeams)
	before := store.Counts().Reads()
	if _, err := newReader(store).Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if calls := store.Counts().Reads() - before; calls > 2 {
		t.Fatalf("%d calls to load %d sections, want 2", calls, manyTeams)
	}
}

func BenchmarkLoad(b *testing.B) {
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	putTeams(b, store, manyTeams)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := newReader(store).Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
