package ccstandin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"camphorcroft/io/ccstore"

	"golang.org/x/time/rate"
)

const (
	defaultStoreKeys   = 100_000
	defaultStoreEvents = 4096
	// maxWatchWait bounds how long one watch may wait.
	maxWatchWait = time.Minute
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Now is the clock for leases. Nil is time.Now.
	Now func() time.Time
	// Seed makes the drawing of faults repeatable for the same order of calls.
	Seed uint64
	// Events bounds the changes that are kept for watches. A watch from before
	// them gets a reset. Zero is 4,096.
	Events int
	// Keys bounds the keys, and the leases. Writes beyond them are refused. Zero
	// is 100,000.
	Keys int
}

// Store stands in for the platform's key-value service. It keeps everything in
// memory, and can be used in process, over HTTP, or both at once.
type Store struct {
	cfg      StoreConfig
	counters ccstore.Counters

	mu      sync.Mutex // Guards what follows.
	data    *storeData
	rng     *rand.Rand
	faults  StoreFaults
	reads   *rate.Limiter
	writes  *rate.Limiter
	changed chan struct{} // Closed and replaced when a watch should look again.

	server *http.Server
	addr   netip.AddrPort
}

var _ ccstore.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Events <= 0 {
		cfg.Events = defaultStoreEvents
	}
	if cfg.Keys <= 0 {
		cfg.Keys = defaultStoreKeys
	}
	return &Store{
		cfg:     cfg,
		data:    newStoreData(cfg.Keys, cfg.Events),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		reads:   newLimiter(0),
		writes:  newLimiter(0),
		changed: make(chan struct{}),
	}
}

// Counts returns how many calls were made, those that failed by a switch
// included.
func (s *Store) Counts() ccstore.Counts { return s.counters.Counts() }

// Faults returns the switches as they are.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults sets all switches at once. Watches that wait take notice.
func (s *Store) SetFaults(faults StoreFaults) error {
	if err := faults.check(); err != nil {
		return &ccstore.Error{Op: "set faults", Kind: ccstore.KindInvalid, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.reads = newLimiter(faults.ReadsPerSecond)
	s.writes = newLimiter(faults.WritesPerSecond)
	s.wake()
	return nil
}

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

var (
	errOutage = errors.New("the store is out")
	errRate   = errors.New("the store's rate cap is reached")
	errDrawn  = errors.New("the call was chosen to fail")
	errLost   = errors.New("the answer was chosen to be lost")
)

// call counts one call, lets the switches act on it, and runs it under the lock.
func (s *Store) call(ctx context.Context, call ccstore.Call, run func(now time.Time) error) error {
	s.counters.Count(call)
	if err := s.admit(ctx, call); err != nil {
		return s.fail(err)
	}
	var err error
	lost := false
	s.locked(func(now time.Time) {
		err = run(now)
		lost = call.Writes() && s.draw(s.faults.LoseShare)
	})
	if lost {
		return s.fail(&ccstore.Error{Op: string(call), Kind: ccstore.KindUnknown, Err: errLost})
	}
	return err
}

// admit holds and refuses calls as the switches say.
func (s *Store) admit(ctx context.Context, call ccstore.Call) error {
	if err := sleep(ctx, s.Faults().Delay.Std()); err != nil {
		return unavailable(call, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if call.Writes() {
		limiter = s.writes
	}
	switch {
	case s.faults.Outage:
		return unavailable(call, errOutage)
	case !limiter.Allow():
		return unavailable(call, errRate)
	case s.draw(s.faults.FailShare):
		return unavailable(call, errDrawn)
	default:
		return nil
	}
}

// locked runs a function on the content as it is now, and wakes the watches if
// the content changed.
func (s *Store) locked(run func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	before := s.data.revision
	s.data.expire(now)
	run(now)
	if s.data.revision != before {
		s.wake()
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) draw(share float64) bool {
	return share > 0 && s.rng.Float64() < share
}

func (s *Store) fail(err error) error {
	s.counters.Fail()
	return err
}

func unavailable(call ccstore.Call, err error) error {
	return &ccstore.Error{Op: string(call), Kind: ccstore.KindUnavailable, Err: err}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
