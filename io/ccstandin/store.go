package ccstandin

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"camphorcroft/io/ccstore"
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
