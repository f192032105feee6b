package ccentry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/io/ccstore"
)

const (
	entriesPrefix = "entries/"
	rosterKey     = entriesPrefix + "roster"
	livePrefix    = entriesPrefix + "live/"
	leaseTTL      = 3 * time.Second
	roundEvery    = 750 * time.Millisecond
	roundTimeout  = 800 * time.Millisecond
	// storeOrders bounds what waits for the store. At the bound orders are dropped;
	// the next look finds anew what there is to do.
	storeOrders = 8
	// rosterReader and liveReader are the readers that count malformed items.
	rosterReader = "roster"
	liveReader   = "entryRecords"
	// watchGap keeps a busy roster from being read more than a few times a second.
	watchGap = 50 * time.Millisecond
)

// errOtherKey means that a record stands under a key that is not its own.
var errOtherKey = errors.New("the record is not that of its key")

// storeOrder is something to do at the store before looking at it.
type storeOrder struct {
	makeKey bool
	swap    *ccroster.Roster
}

// liveRecord is the value of an entry's key.
type liveRecord struct {
	Ref ccnode.Ref `json:"ref"`
}

// storeLoop calls the store for the entry's membership, on its own goroutine.
type storeLoop struct {
	presence *presence
	store    ccstore.Store
	self     ccnode.Ref
	lease    ccstore.LeaseID
}

// order hands work to the store's goroutine.
func (p *presence) order(order storeOrder) {
	select {
	case p.orders <- order:
	default:
	}
}

// followRoster keeps the entry's lease and looks at the roster until the context
// ends, and then gives the lease up.
func (p *presence) followRoster(ctx context.Context) {
	loop := &storeLoop{presence: p, store: p.entry.cfg.Store, self: p.entry.self, lease: ccstore.NoLease}
	for ctx.Err() == nil {
		loop.look(ctx)
		select {
		case <-p.left:
			loop.giveUp(ctx)
			return
		default:
		}
		pause := time.NewTimer(roundEvery - time.Duration(rand.Int64N(int64(roundEvery/8))))
		select {
		case order := <-p.orders:
			loop.carryOut(ctx, order)
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// watchEntries makes the entry look as soon as something changes.
func (p *presence) watchEntries(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		change, err := p.entry.cfg.Store.Watch(ctx, entriesPrefix, revision, watchWait)
		if err != nil {
			sleep(ctx, storeRetry)
			continue
		}
		revision = change.Revision
		if len(change.Items) > 0 {
			p.order(storeOrder{})
			sleep(ctx, watchGap)
		}
	}
}

func (l *storeLoop) carryOut(ctx context.Context, order storeOrder) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if order.makeKey {
		l.makeKey(ctx)
	}
	if order.swap != nil {
		l.swap(ctx, order.swap)
	}
}

// makeKey makes the entry's key under a new lease. The key of an earlier life is
// replaced: this life's start proves that that one has ended. Should an answer be
// lost, the next look tells.
func (l *storeLoop) makeKey(ctx context.Context) {
	item, err := l.store.Get(ctx, l.key())
	if err != nil {
		return
	}
	if item.Revision != 0 {
		// A record that can't be read is not that of a later life.
		if holder, err := readLive(item); err == nil && holder.Ref.Incarnation > l.self.Incarnation {
			return
		}
	}
	lease, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	l.lease = lease
	value, _ := json.Marshal(liveRecord{Ref: l.self}) // Plain values always marshal.
	_, _ = l.store.Swap(ctx, l.key(), item.Revision, value, lease)
}

// swap writes the roster over the one that it follows.
func (l *storeLoop) swap(ctx context.Context, next *ccroster.Roster) {
	item, err := l.store.Get(ctx, rosterKey)
	if err != nil {
		return
	}
	var current ccroster.Roster
	if item.Revision != 0 && json.Unmarshal(item.Value, &current) != nil || current.Epoch+1 != next.Epoch {
		return
	}
	value, _ := json.Marshal(next) // Plain values always marshal.
	_, _ = l.store.Swap(ctx, rosterKey, item.Revision, value, ccstore.NoLease)
}

func (l *storeLoop) key() string { return livePrefix + string(l.self.ID) }

// look renews the lease and reads the roster with all entries' keys, in one
// snapshot. Without an answer the control goroutine hears nothing.
func (l *storeLoop) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	sent := time.Now()
	until := sent.Add(leaseTTL)
	if l.lease != ccstore.NoLease {
		err := l.store.Renew(ctx, l.lease)
		if isKind(err, ccstore.KindLeaseGone) {
			l.lease = ccstore.NoLease
		} else if err != nil {
			return
		}
	}
	items, _, err := l.store.List(ctx, entriesPrefix)
	if err != nil {
		return
	}
	view, err := l.read(items)
	if err != nil {
		l.presence.entry.malformed.Skip(rosterReader, rosterKey, err)
		return
	}
	view.LeaseUntil = until
	l.presence.entry.do(func(now time.Time) { l.presence.looked(now, sent, view) })
}

func (l *storeLoop) read(items []ccstore.Item) (ccoutage.View, error) {
	view := ccoutage.View{Live: make(map[ccnode.ID]ccnode.Ref)}
	for _, item := range items {
		switch {
		case item.Key == rosterKey:
			view.Roster = &ccroster.Roster{}
			if err := json.Unmarshal(item.Value, view.Roster); err != nil {
				return view, err
			}
		case strings.HasPrefix(item.Key, livePrefix):
			live, err := readLive(item)
			if err != nil {
				// Of another writer. It counts as a key that does not exist.
				l.presence.entry.malformed.Skip(liveReader, item.Key, err)
				continue
			}
			view.Live[live.Ref.ID] = live.Ref
			if live.Ref == l.self && l.lease != ccstore.NoLease && item.Lease == l.lease {
				view.HoldsKey = true
			}
		}
	}
	return view, nil
}

// readLive decodes the record under an entry's key.
func readLive(item ccstore.Item) (liveRecord, error) {
	var live liveRecord
	if err := json.Unmarshal(item.Value, &live); err != nil {
		return live, err
	}
	if live.Ref.ID == "" || item.Key != livePrefix+string(live.Ref.ID) {
		return live, errOtherKey
	}
	return live, nil
}

// giveUp ends the lease, so that the entry's key vanishes at once.
func (l *storeLoop) giveUp(ctx context.Context) {
	if l.lease == ccstore.NoLease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, l.lease)
}

func isKind(err error, kind ccstore.Kind) bool {
	var storeError *ccstore.Error
	return errors.As(err, &storeError) && storeError.Kind == kind
}
