package ccagent

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"camphorcroft/io/ccstore"
)

// fakeStore is a store in memory whose leases don't end by themselves.
type fakeStore struct {
	ccstore.Store
	mu    sync.Mutex
	items map[string]ccstore.Item
	next  uint64
}

func newFakeStore(*testing.T) *fakeStore { return &fakeStore{items: make(map[string]ccstore.Item)} }

func (s *fakeStore) Get(_ context.Context, key string) (ccstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []ccstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, s.next, nil
}

func (s *fakeStore) Swap(_ context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Revision != expected {
		return 0, &ccstore.Error{Op: "swap", Kind: ccstore.KindConflict}
	}
	s.next++
	s.items[key] = ccstore.Item{Key: key, Value: value, Revision: s.next, Lease: lease}
	return s.next, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (ccstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return ccstore.LeaseID(s.next), nil
}

func (s *fakeStore) Renew(context.Context, ccstore.LeaseID) error { return nil }

func (s *fakeStore) Revoke(_ context.Context, lease ccstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if item.Lease == lease {
			delete(s.items, key)
		}
	}
	return nil
}
