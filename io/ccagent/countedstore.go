package ccagent

import (
	"context"
	"expvar"
	"time"

	"camphorcroft/io/ccstore"
)

// countedStore counts the calls of the settings' reader.
type countedStore struct {
	store ccstore.Store
	calls *expvar.Int
}

// Get reads a key.
func (s countedStore) Get(ctx context.Context, key string) (ccstore.Item, error) {
	s.calls.Add(1)
	return s.store.Get(ctx, key)
}

// List reads the keys below a prefix.
func (s countedStore) List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	s.calls.Add(1)
	return s.store.List(ctx, prefix)
}

// Watch waits for a change below a prefix.
func (s countedStore) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error) {
	s.calls.Add(1)
	return s.store.Watch(ctx, prefix, revision, wait)
}
