package ccsettings

import (
	"context"
	"math/rand/v2"
	"time"

	"camphorcroft/io/ccstore"
)

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// headTries is how often the head is read before a load fails.
	headTries = 4
	// sectionTries is how often one section is read before its version fails. A
	// version of hundreds of sections must still load while a third of the calls
	// fail.
	sectionTries = 12
)

// source is what it takes to load a version.
type source interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
}

// backoff spaces the tries of one thing. Its zero value is ready.
type backoff struct{ wait time.Duration }

// pause waits before the next try. Waits double, with jitter, up to a bound.
func (b *backoff) pause(ctx context.Context) error {
	b.wait = min(max(2*b.wait, firstBackoff), maxBackoff)
	timer := time.NewTimer(b.wait/2 + rand.N(b.wait/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *backoff) reset() { b.wait = 0 }

// getRetry reads a key, and tries again a few times when the store doesn't answer.
func getRetry(ctx context.Context, store source, key string) (ccstore.Item, error) {
	var wait backoff
	for try := 1; ; try++ {
		item, err := store.Get(ctx, key)
		if err == nil {
			return item, nil
		}
		if try == sectionTries || wait.pause(ctx) != nil {
			return ccstore.Item{}, &Error{Op: "read " + key, Kind: KindStore, Err: err}
		}
	}
}
