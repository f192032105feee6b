package ccstandin

import (
	"context"
	"time"

	"camphorcroft/io/ccstore"
)

// Watch waits for a change below the prefix. A wait beyond a minute is cut to
// that.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error) {
	end := time.NewTimer(min(max(wait, 0), maxWatchWait))
	defer end.Stop()
	var change ccstore.Change
	var found bool
	look := func(time.Time) { change, found = s.data.watch(prefix, revision) }
	err := s.call(ctx, ccstore.CallWatch, func(now time.Time) error {
		look(now)
		return nil
	})
	if err != nil {
		return ccstore.Change{}, err
	}
	for !found {
		over, err := s.await(ctx, end.C)
		if err != nil {
			return ccstore.Change{}, err
		}
		if over {
			return change, nil
		}
		s.locked(look)
	}
	return change, nil
}

// await waits until a watch should look again, or its wait is over.
func (s *Store) await(ctx context.Context, end <-chan time.Time) (bool, error) {
	changed, expiry, err := s.waitFor()
	if err != nil {
		return false, s.fail(err)
	}
	defer expiry.Stop()
	select {
	case <-changed:
		return false, nil
	case <-expiry.C:
		return false, nil
	case <-end:
		return true, nil
	case <-ctx.Done():
		return false, s.fail(unavailable(ccstore.CallWatch, ctx.Err()))
	}
}

// waitFor returns what a watch waits for: a change, and the end of a lease.
func (s *Store) waitFor() (<-chan struct{}, *time.Timer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, unavailable(ccstore.CallWatch, errOutage)
	}
	wait := maxWatchWait
	if next, ok := s.data.nextExpiry(); ok {
		wait = max(next.Sub(s.cfg.Now()), 0)
	}
	return s.changed, time.NewTimer(wait), nil
}
