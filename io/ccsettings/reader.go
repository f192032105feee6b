package ccsettings

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

// defaultWait keeps a watch short, so that its end proves often that the store
// can still be reached.
const defaultWait = 400 * time.Millisecond

// ReaderStore is what a Reader needs of the store.
type ReaderStore interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error)
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Store ReaderStore
	Log   logr.Logger
	// Wait is how long one watch waits. Each is one call to the store. Zero is
	// 400 ms.
	Wait time.Duration
	// Now is the clock. Nil is time.Now.
	Now func() time.Time
}

// Reader reads the settings in force. It is safe for concurrent use. What it
// returns never goes back to an earlier version, whatever the store says.
type Reader struct {
	cfg ReaderConfig

	mu       sync.Mutex // Guards what follows.
	known    *Snapshot
	lastSeen time.Time
	current  time.Time
}

// NewReader returns a reader that has the defaults, with version 0, in force.
func NewReader(cfg ReaderConfig) *Reader {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Reader{cfg: cfg, known: emptySnapshot()}
}

// Current returns the settings that the reader knows, with no call to the store.
func (r *Reader) Current() *ccsettings.Effective {
	return r.snapshot().Merged.Effective
}

// LastSeen returns when the newest call that the store answered was sent. It is
// the zero time before the first.
func (r *Reader) LastSeen() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastSeen
}

// Load returns the settings in force, or the ones known already when they are
// newer. With an empty store these are the defaults with version 0.
func (r *Reader) Load(ctx context.Context) (*ccsettings.Effective, error) {
	var wait backoff
	for try := 1; ; try++ {
		_, err := r.load(ctx)
		if err == nil {
			return r.Current(), nil
		}
		if try == headTries || wait.pause(ctx) != nil {
			return nil, err
		}
	}
}

// Watch calls take with the settings in force, and then with each newer version,
// until the context ends. It goes on through outages of the store.
func (r *Reader) Watch(ctx context.Context, take func(*ccsettings.Effective)) error {
	var wait backoff
	taken := uint64(0)
	failing := false
	var at position
	for ctx.Err() == nil {
		sent := r.cfg.Now()
		next, err := r.step(ctx, at)
		if err != nil {
			if !failing && ctx.Err() == nil {
				r.cfg.Log.Info("Settings can't be read. The known ones stay in force.", "reason", err.Error())
			}
			failing, at = true, position{}
			_ = wait.pause(ctx)
			continue
		}
		if failing {
			r.cfg.Log.Info("Settings can be read again.")
		}
		failing, at = false, next
		wait.reset()
		if current := r.Current(); current.Version > taken {
			taken = current.Version
			take(current)
		}
		r.wasCurrent(sent)
	}
	return ctx.Err()
}

// LastCurrent returns a time at which what Watch had given to take by now was the
// newest version that the store held. It is the zero time before the first.
func (r *Reader) LastCurrent() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *Reader) wasCurrent(sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = sent
}

// position is where a watch goes on. Unless it is read, the head must be read
// first.
type position struct {
	read  bool
	after uint64
}

// step reads the head, or watches it from a position on. It returns the position
// to watch from next.
func (r *Reader) step(ctx context.Context, at position) (position, error) {
	if !at.read {
		return r.load(ctx)
	}
	sent := r.cfg.Now()
	change, err := r.cfg.Store.Watch(ctx, ccsettings.HeadKey, at.after, r.cfg.Wait)
	if err != nil {
		return position{}, &Error{Op: "watch", Kind: KindStore, Err: err}
	}
	r.seen(sent)
	return position{read: true, after: change.Revision}, r.takeHead(ctx, change.Items)
}

// load reads the head and what changed.
func (r *Reader) load(ctx context.Context) (position, error) {
	sent := r.cfg.Now()
	items, revision, err := r.cfg.Store.List(ctx, ccsettings.HeadKey)
	if err != nil {
		return position{}, &Error{Op: "read head", Kind: KindStore, Err: err}
	}
	r.seen(sent)
	return position{read: true, after: revision}, r.takeHead(ctx, items)
}

// takeHead makes the head among the items the known one, unless a version as new
// is known.
func (r *Reader) takeHead(ctx context.Context, items []ccstore.Item) error {
	for _, item := range items {
		if item.Key == ccsettings.HeadKey && item.Revision != 0 {
			return r.take(ctx, item)
		}
	}
	return nil
}

func (r *Reader) take(ctx context.Context, item ccstore.Item) error {
	known := r.snapshot()
	head, err := ccsettings.ParseHead(item.Value)
	if err != nil {
		return &Error{Op: "read head", Kind: KindRecord, Err: err}
	}
	if head.Version <= known.Head.Version {
		if head.Version < known.Head.Version {
			r.cfg.Log.Info("The store holds an older version. The known one stays.",
				"store", head.Version, "known", known.Head.Version)
		}
		return nil
	}
	next, err := known.next(ctx, r.cfg.Store, head)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Head.Version > r.known.Head.Version {
		r.known = next
	}
	return nil
}

func (r *Reader) snapshot() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

func (r *Reader) seen(sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent.After(r.lastSeen) {
		r.lastSeen = sent
	}
}
