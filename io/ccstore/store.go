// Package ccstore reaches the platform's key-value service.
//
// Users of the store declare the small interface that they need and take the
// Client of this package, or a fake, for it. Another service is another
// implementation of the same methods.
//
// # Lost answers
//
// An error of KindUnknown on a write says that the write may have taken effect.
// Each value therefore carries a mark of its writer, and a writer that sees
// KindUnknown reads the key back before it writes again.
//
// # Usage
//
//	client := ccstore.NewClient(ccstore.ClientConfig{Addr: addr, Timeout: time.Second})
//	entry, err := client.Get(ctx, "settings/head")
//	revision, err := client.Swap(ctx, "settings/head", entry.Revision, value, ccstore.NoLease)
package ccstore

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the greatest size of one value.
const MaxValueBytes = 1 << 20

// LeaseID names a lease. NoLease ties a value to none.
type LeaseID uint64

// NoLease is the lease of values that stay until they are removed.
const NoLease LeaseID = 0

// Item is one key with its value. Revision grows with each write to the whole
// store; zero is a key that doesn't exist.
type Item struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value,omitempty"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Change is what a watch returns: all keys below the prefix that changed after
// the revision, with removed keys having Revision zero, and the revision to
// watch from next. When Reset is true the watch fell too far behind, and Items
// are all keys that exist below the prefix.
type Change struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
	Reset    bool   `json:"reset"`
}

// Store is the whole of what the platform's service offers. Users declare the
// part that they need.
type Store interface {
	// Get returns the item. A missing key has Revision zero and no error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items below the prefix, and the revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Swap writes the value if the key's revision is the expected one, and
	// returns the new revision. Zero expects no such key.
	Swap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if its revision is the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until something below the prefix changes after the revision,
	// or until the wait is over, which gives a Change with no items.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Change, error)
	// Grant makes a lease. Its keys vanish when it isn't renewed in time.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Kind sorts the errors of this package.
type Kind string

const (
	// KindConflict is a write whose expected revision was not the key's. It did
	// not take effect.
	KindConflict Kind = "conflict"
	// KindUnavailable is a call that the store did not take. It had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown is a call with no answer. A write may have taken effect.
	KindUnknown Kind = "unknown"
	// KindLeaseGone is a lease that has ended.
	KindLeaseGone Kind = "leaseGone"
	// KindInvalid is a call that the store will never take.
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
