package ccstandin

import (
	"context"
	"time"

	"camphorcroft/io/ccstore"
)

// Get returns the item.
func (s *Store) Get(ctx context.Context, key string) (ccstore.Item, error) {
	var item ccstore.Item
	err := s.call(ctx, ccstore.CallGet, func(time.Time) error {
		item = s.data.get(key)
		return nil
	})
	return item, err
}

// List returns all items below the prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	var items []ccstore.Item
	var revision uint64
	err := s.call(ctx, ccstore.CallList, func(time.Time) error {
		items, revision = s.data.list(prefix), s.data.revision
		return nil
	})
	return items, revision, err
}

// Swap writes the value if the key's revision is the expected one.
func (s *Store) Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	var revision uint64
	err := s.call(ctx, ccstore.CallSwap, func(time.Time) (err error) {
		revision, err = s.data.swap(key, expected, value, lease)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete removes the key if its revision is the expected one.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	return s.call(ctx, ccstore.CallDelete, func(time.Time) error {
		return s.data.remove(key, expected)
	})
}

// Grant makes a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (ccstore.LeaseID, error) {
	var lease ccstore.LeaseID
	err := s.call(ctx, ccstore.CallGrant, func(now time.Time) (err error) {
		lease, err = s.data.grant(now, ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// Renew extends a lease by its time to live.
func (s *Store) Renew(ctx context.Context, lease ccstore.LeaseID) error {
	return s.call(ctx, ccstore.CallRenew, func(now time.Time) error {
		return s.data.renew(now, lease)
	})
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(ctx context.Context, lease ccstore.LeaseID) error {
	return s.call(ctx, ccstore.CallRevoke, func(time.Time) error {
		return s.data.revoke(lease)
	})
}
