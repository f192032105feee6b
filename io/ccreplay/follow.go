package ccreplay

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/ccroute"
	"camphorcroft/io/ccstore"
)

const (
	// planWait is how long one watch for plans waits. A watch may miss a change
	// while it waits, and a change is to be in force 2 s after its acceptance.
	planWait = time.Second
	// entriesWait is how long one watch for other entries waits.
	entriesWait = 10 * time.Second
	// retryMin and retryMax bound the pause after a call to the store that failed.
	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// entryLease is the life of an entry's record after its last renewal.
	entryLease = 20 * time.Second
	// renewInterval is the pause between two renewals.
	renewInterval = 5 * time.Second
	// entryPrefix is above the records of all entries.
	entryPrefix = "entries/live/"
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
)

// Store is the part of the platform's store that an entry needs.
type Store interface {
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error)
	Put(ctx context.Context, key string, value []byte, lease ccstore.LeaseID) error
	Grant(ctx context.Context, ttl time.Duration) (ccstore.LeaseID, error)
	Renew(ctx context.Context, lease ccstore.LeaseID) error
}

// PlanSource reads the plan out of what operators have written to the store.
type PlanSource interface {
	// Prefix is above all that operators write.
	Prefix() string
	// Plan returns the plan that the items make, or nil while there is none.
	Plan(items []ccstore.Item, revision uint64) (*ccroute.Plan, error)
}

// follow calls changed with all items below the prefix, now and after each change.
func (e *Entry) follow(prefix string, wait time.Duration, changed func(items []ccstore.Item, revision uint64)) {
	pause := retryMin
	known := map[string]ccstore.Item{}
	revision := uint64(0)
	listed := false
	reachable := true
	note := func(err error) {
		if (err == nil) != reachable {
			reachable = err == nil
			if reachable {
				e.cfg.Log.Info("Store is reached again.", "prefix", prefix, "revision", revision)
			} else {
				e.cfg.Log.Info("Store is not reached.", "prefix", prefix, "error", err.Error())
			}
		}
	}
	for e.ctx.Err() == nil {
		if !listed {
			ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
			items, at, err := e.cfg.Store.List(ctx, prefix)
			cancel()
			note(err)
			if err != nil {
				pause = e.rest(pause)
				continue
			}
			pause, listed, revision = retryMin, true, at
			known = map[string]ccstore.Item{}
			for _, item := range items {
				known[item.Key] = item
			}
			changed(values(known), revision)
		}
		change, err := e.cfg.Store.Watch(e.ctx, prefix, revision, wait)
		note(err)
		if err != nil {
			pause = e.rest(pause)
			// A watch that was cut may have missed what the list shows.
			listed = false
			continue
		}
		if change.Reset {
			listed = false
			continue
		}
		pause = retryMin
		if len(change.Items) == 0 {
			// The revision stays: a change that this watch has missed is still to come,
			// or its history is gone, which the next watch tells.
			continue
		}
		revision = max(revision, change.Revision)
		for _, item := range change.Items {
			if item.Revision == 0 {
				delete(known, item.Key)
			} else {
				known[item.Key] = item
			}
		}
		changed(values(known), revision)
	}
}

func values(known map[string]ccstore.Item) []ccstore.Item {
	items := make([]ccstore.Item, 0, len(known))
	for _, item := range known {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b ccstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

func (e *Entry) rest(pause time.Duration) time.Duration {
	select {
	case <-time.After(pause):
	case <-e.ctx.Done():
	}
	return min(2*pause, retryMax)
}

// followPlan puts each plan in force that operators make.
func (e *Entry) followPlan() {
	e.follow(e.cfg.PlanSource.Prefix(), planWait, func(items []ccstore.Item, revision uint64) {
		plan, err := e.cfg.PlanSource.Plan(items, revision)
		if err != nil {
			e.cfg.Log.Error(err, "Plan can't be read.", "revision", revision)
			return
		}
		if plan != nil {
			e.do(func(now time.Time) { e.scheduler.SetPlan(now, plan) })
		}
	})
}

// followEntries keeps this entry's record in the store, and learns of the others.
func (e *Entry) followEntries() {
	missing := make(chan struct{}, 1)
	e.spawn(func() { e.keepRecord(missing) })
	own := entryPrefix + string(e.cfg.Node.ID)
	e.follow(entryPrefix, entriesWait, func(items []ccstore.Item, _ uint64) {
		addrs, err := readRecords(items)
		if err != nil {
			e.cfg.Log.Error(err, "Entry's record can't be read.")
		}
		found := slices.ContainsFunc(items, func(item ccstore.Item) bool { return item.Key == own }) && slices.Contains(addrs, e.cfg.Listen)
		e.do(func(time.Time) { e.scheduler.SetEntries(addrs) })
		if !found {
			select {
			case missing <- struct{}{}:
			default:
			}
		}
	})
}

// keepRecord writes this entry's record under a lease and renews it. It writes
// it anew when the lease has ended or the record is missing.
func (e *Entry) keepRecord(missing <-chan struct{}) {
	lease := ccstore.NoLease
	pause := retryMin
	for e.ctx.Err() == nil {
		var err error
		ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
		if lease == ccstore.NoLease {
			lease, err = e.writeRecord(ctx)
		} else {
			err = e.cfg.Store.Renew(ctx, lease)
		}
		cancel()
		if err != nil {
			e.cfg.Log.V(1).Info("Entry's record is not renewed.", "error", err.Error())
			lease = ccstore.NoLease
			pause = e.rest(pause)
			continue
		}
		pause = retryMin
		select {
		case <-missing:
			lease = ccstore.NoLease
		case <-time.After(renewInterval):
		case <-e.ctx.Done():
		}
	}
}

func (e *Entry) writeRecord(ctx context.Context) (ccstore.LeaseID, error) {
	lease, err := e.cfg.Store.Grant(ctx, entryLease)
	if err != nil {
		return ccstore.NoLease, err
	}
	value, err := json.Marshal(record{Addr: e.cfg.Listen})
	if err != nil {
		return ccstore.NoLease, &Error{Op: "write record", Kind: KindMessage, Err: err}
	}
	return lease, e.cfg.Store.Put(ctx, entryPrefix+string(e.cfg.Node.ID), value, lease)
}
