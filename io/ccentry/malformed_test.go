package ccentry_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccstore"
)

var deepJSON = strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)

// Guards against an item of another writer, beside the entries' and the cells' keys, that
// keeps an entry from joining the roster or from knowing its agents.
func TestMalformedItemsBesideOurs(t *testing.T) {
	for name, item := range map[string][2]string{
		"a live key that can't be read":   {"entries/live/x", "{"},
		"a live key that's no UTF-8":      {"entries/live/x", "\xff"},
		"a live key nested deeply":        {"entries/live/x", deepJSON},
		"a live key of another type":      {"entries/live/x", `[7]`},
		"a live key with a huge number":   {"entries/live/x", `{"ref":{"id":"x","incarnation":1e400}}`},
		"a live key of another entry":     {"entries/live/x", `{"ref":{"id":"entry-1","incarnation":18446744073709551615}}`},
		"this entry's live key":           {"entries/live/entry-1", "{"},
		"another key beside the roster":   {"entries/x", "{"},
		"a cell that can't be read":       {"cells/1", "{"},
		"a cell nested deeply":            {"cells/1", deepJSON},
		"a cell under a key that's no ID": {"cells/x", `{"cell":0}`},
		"a cell under another's key":      {"cells/1", `{"cell":0}`},
		"a port out of range":             {"cells/1", `{"cell":1,"members":[{"addr":"10.0.0.1:65536"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := cellStore(t, startInstantAgents(t, []ccnode.ID{"agent-1"}, 4))
			if _, err := store.Swap(context.Background(), item[0], 0, []byte(item[1]), ccstore.NoLease); err != nil {
				t.Fatal(err)
			}
			entry := startEntry(t, store)
			for deadline := time.Now().Add(20 * time.Second); !entry.Ready() || entry.Claimable() == 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the entry is not ready after 20 s")
				}
			}
		})
	}
}

// Guards against a record under another cell's key that takes the place of a cell's own,
// so that the entry forgets the agents there.
func TestRecordUnderAnotherCellsKey(t *testing.T) {
	store := cellStore(t, startInstantAgents(t, []ccnode.ID{"agent-1"}, 4))
	entry := startEntry(t, store)
	await(t, entry.Ready)
	if got := entry.KnownAgents(); got != 1 {
		t.Fatalf("agents: got %d, want 1", got)
	}
	other, _ := json.Marshal(map[string]int{"cell": 0}) // Plain values always marshal.
	if _, err := store.Swap(context.Background(), "cells/9", 0, other, ccstore.NoLease); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := entry.KnownAgents(); got != 1 {
		t.Errorf("agents: got %d, want 1", got)
	}
}
