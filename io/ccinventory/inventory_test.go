package ccinventory

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"camphorcroft/io/ccstore"
)

var errDown = errors.New("down")

// fakeStore holds values by key.
type fakeStore struct {
	values map[string]string
	down   bool
}

func (s *fakeStore) Get(_ context.Context, key string) (ccstore.Item, error) {
	if s.down {
		return ccstore.Item{}, errDown
	}
	value, known := s.values[key]
	if !known {
		return ccstore.Item{Key: key}, nil
	}
	return ccstore.Item{Key: key, Value: []byte(value), Revision: 1}, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	var items []ccstore.Item
	for key := range s.values {
		if strings.HasPrefix(key, prefix) {
			item, err := s.Get(ctx, key)
			if err != nil {
				return nil, 0, err
			}
			items = append(items, item)
		}
	}
	return items, 1, nil
}

func assertKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	var own *Error
	if !errors.As(err, &own) || own.Kind != kind {
		t.Errorf("got error %v, want kind %s", err, kind)
	}
}

func TestRead(t *testing.T) {
	store := &fakeStore{values: map[string]string{
		"settings/head":  `{"version":12}`,
		"entries/roster": `{"epoch":3,"entries":[{"ref":{"id":"entry-1","incarnation":5},"addr":"127.0.0.1:1","http":"127.0.0.1:2","domain":"north"}]}`,
		"cells/0":        `{"cell":0,"members":[{"node":{"id":"agent-2","incarnation":6},"addr":"127.0.0.1:3","http":"127.0.0.1:4","domain":"south","service":"s","slots":8}]}`,
		"cells/1":        `{"cell":1,"members":[{"node":{"id":"agent-1","incarnation":7},"addr":"127.0.0.1:5","domain":"north","service":"s","slots":4,"leaving":true}]}`,
	}}
	inventory, err := Read(context.Background(), store)
	if err != nil || inventory.Version != 12 || len(inventory.Nodes) != 3 {
		t.Fatalf("got %+v, %v", inventory, err)
	}
	entry, first, second := inventory.Nodes[0], inventory.Nodes[1], inventory.Nodes[2]
	if entry.Role != RoleEntry || entry.HTTP != netip.MustParseAddrPort("127.0.0.1:2") || entry.Domain != "north" {
		t.Errorf("got entry %+v", entry)
	}
	if first.Ref.ID != "agent-1" || !first.Leaving || first.HTTP.IsValid() || second.Ref.Incarnation != 6 || second.Slots != 8 {
		t.Errorf("got agents %+v %+v", first, second)
	}
	t.Run("empty store", func(t *testing.T) {
		inventory, err := Read(context.Background(), &fakeStore{})
		if err != nil || len(inventory.Nodes) != 0 {
			t.Errorf("got %+v, %v", inventory, err)
		}
	})
	t.Run("store down", func(t *testing.T) {
		_, err := Read(context.Background(), &fakeStore{down: true})
		assertKind(t, err, KindStore)
	})
	// Guards against one item of another writer that hides the whole fleet from operators.
	t.Run("malformed cells", func(t *testing.T) {
		deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
		for key, value := range map[string]string{
			"cells/2": "{", "cells/3": deep, "cells/4": "\xff", "cells/5": `{"cell":5,"members":[{"addr":"10.0.0.1:65536"}]}`,
			"cells/6": `{"cell":1e400}`, "cells/x": `{"cell":0}`, "cells/7": `{"cell":0,"members":[{"node":{"id":"x"}}]}`, "cells/": `{}`,
		} {
			store.values[key] = value
		}
		for i := range 100_000 {
			store.values[fmt.Sprintf("cells/y%d", i)] = "null"
		}
		inventory, err := Read(context.Background(), store)
		if err != nil || len(inventory.Nodes) != 3 {
			t.Fatalf("got %d nodes, %v; want the 3 of the other cells", len(inventory.Nodes), err)
		}
		if inventory.Malformed != 100_008 || len(inventory.MalformedKeys) != maxMalformedKeys {
			t.Errorf("malformed: got %d with %d names, want 100,008 with %d", inventory.Malformed, len(inventory.MalformedKeys), maxMalformedKeys)
		}
	})
	t.Run("broken value", func(t *testing.T) {
		for _, key := range []string{"entries/roster", "settings/head"} {
			broken := &fakeStore{values: map[string]string{key: "{"}}
			_, err := Read(context.Background(), broken)
			assertKind(t, err, KindValue)
		}
	})
}

func TestAsk(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"process":"agent-1","settingsVersion":4,"settingsAgeSeconds":1.5,"tasksRunning":2,"slots":8}`))
	}))
	t.Cleanup(server.Close)
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	addr := func(s *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	statuses := Ask(context.Background(), AskConfig{Timeout: 10 * time.Second, Parallel: 2}, []Node{
		{HTTP: addr(server)}, {HTTP: addr(broken)}, {}, {HTTP: netip.MustParseAddrPort("127.0.0.1:1")},
	})
	if s := statuses[0]; s.Silent != "" || s.Ref.ID != "agent-1" || s.Version != 4 || s.VersionSeconds != 1.5 || s.Running != 2 || s.Slots != 8 {
		t.Errorf("got %+v", s)
	}
	for _, s := range statuses[1:] {
		if s.Silent == "" {
			t.Errorf("%s is not silent", s.HTTP)
		}
	}
}
