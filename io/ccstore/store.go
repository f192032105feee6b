// Package ccstore is the client of the platform's key-value service.
//
// Packages that use the store declare the small interface that they need and
// accept the Client of this package or a fake. A different key-value service is
// supported by implementing the same methods.
//
// # Lost responses
//
// A write that fails with KindUnknown may have taken effect. Each value
// therefore identifies its writer, and a writer that gets KindUnknown reads the
// key back before it writes again.
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

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. NoLease attaches a value to no lease.
type LeaseID uint64

// NoLease is the LeaseID of values that persist until they are deleted.
const NoLease LeaseID = 0

// Item is a key with its value. Revision comes from a counter that increases
// with every write to the store; zero means that the key does not exist.
type Item struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value,omitempty"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Change is the result of a watch. Items holds all keys with the prefix that
// changed after the given revision, where deleted keys have Revision zero, and
// Revision is the revision to watch from next. If Reset is true, the watch fell
// too far behind and Items holds all existing keys with the prefix.
type Change struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
	Reset    bool   `json:"reset"`
}

// Store is the full interface of the platform's key-value service. Packages that
// use it declare the subset that they need.
type Store interface {
	// Get returns the item. For a missing key it returns Revision zero and no
	// error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items with the prefix and the revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Swap writes the value if the key's revision equals expected, and returns
	// the new revision. If expected is zero, the key must not exist.
	Swap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if its revision equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch blocks until a key with the prefix changes after the revision. If
	// wait elapses first, it returns a Change without items.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Change, error)
	// Grant creates a lease. Its keys are removed if it is not renewed within
	// its time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its time to live.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Kind classifies the errors of this package.
type Kind string

const (
	// KindConflict means that the expected revision of a write did not match the
	// key's revision. The write had no effect.
	KindConflict Kind = "conflict"
	// KindUnavailable means that the store did not process the call, or that a
	// read got no valid response. The call had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that a write got no valid response. It may have taken
	// effect.
	KindUnknown Kind = "unknown"
	// KindLeaseGone means that the lease has ended.
	KindLeaseGone Kind = "leaseGone"
	// KindInvalid means that the call is invalid and would fail again if
	// retried.
	KindInvalid Kind = "invalid"
)

// Error is the error type returned by Client methods.
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
