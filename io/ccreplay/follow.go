package ccreplay

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccsubset"
	"camphorcroft/io/ccstore"
	"camphorcroft/io/cctransfer"
)

const (
	// planWatchTimeout bounds one watch call for plans. A watch may miss a change while
	// it waits, and a change must be in force 2 s after it is accepted.
	planWatchTimeout = time.Second
	// entriesWatchTimeout bounds one watch call for the records of entries.
	entriesWatchTimeout = 10 * time.Second
	// retryMin and retryMax bound the exponential backoff after a failed call to the
	// store.
	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// recordTTL is how long an entry's record stays in the store after the last renewal
	// of its lease.
	recordTTL = 20 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 5 * time.Second
	// entryPrefix is the key prefix of all entries' records.
	entryPrefix = "entries/live/"
	// callTimeout bounds one call to the store. Lists and watches are not limited by it.
	callTimeout = time.Second
	// maxTransferBackoff limits the pause after a transfer that was broken off.
	maxTransferBackoff = 5 * time.Second
)

// Store is the part of the platform's store that an entry needs. Lists and watches end by
// themselves if they make no progress.
type Store interface {
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (ccstore.Change, error)
	Put(ctx context.Context, key string, value []byte, lease ccstore.LeaseID) error
	Grant(ctx context.Context, ttl time.Duration) (ccstore.LeaseID, error)
	Renew(ctx context.Context, lease ccstore.LeaseID) error
}

// PlanSource builds the plan from the items that operators have written to the store.
type PlanSource interface {
	// Prefix returns the key prefix of the items that operators write.
	Prefix() string
	// Plan returns the plan that the items define, or nil if they define none.
	Plan(items []ccstore.Item, revision uint64) (*ccroute.Plan, error)
}

// follow calls changed with all items below the prefix that are accepted, once at the
// start and then after each change, until the entry is closed.
func (e *Entry) follow(prefix string, wait time.Duration, accept func(ccstore.Item) bool, changed func(items []ccstore.Item, revision uint64)) {
	f := follower{accept: accept, changed: changed}
	backoff := retryMin
	reachable := true
	for e.ctx.Err() == nil {
		err := f.step(e.ctx, e.cfg.Store, prefix, wait)
		if (err == nil) != reachable {
			reachable = err == nil
			if reachable {
				e.cfg.Log.Info("Store is reached again.", "prefix", prefix, "revision", f.revision)
			} else {
				e.cfg.Log.Info("Store is not reached.", "prefix", prefix, "revision", f.revision, "error", err.Error())
			}
		}
		if err == nil {
			backoff = retryMin
			continue
		}
		// A repetition of a transfer that was broken off takes the link once more, so it waits
		// for as long as the first one took.
		e.sleep(max(backoff, min(cctransfer.Cost(err), maxTransferBackoff)))
		backoff = min(2*backoff, retryMax)
	}
}

// follower holds the items below a prefix.
type follower struct {
	accept   func(ccstore.Item) bool
	changed  func(items []ccstore.Item, revision uint64)
	listed   bool
	byKey    map[string]ccstore.Item
	revision uint64
}

// step lists the items, or watches for a change of them. A watch that fails loses nothing: the
// next one returns the changes since the same revision, or reports that this history is gone.
func (f *follower) step(ctx context.Context, store Store, prefix string, wait time.Duration) error {
	if !f.listed {
		items, revision, err := store.List(ctx, prefix)
		if err == nil {
			f.reset(items, revision)
		}
		return err
	}
	change, err := store.Watch(ctx, prefix, f.revision, wait)
	switch {
	case err != nil:
		return err
	case change.Reset:
		f.reset(change.Items, change.Revision)
	case len(change.Items) > 0:
		f.update(change)
	}
	// Without items, the revision is kept: the next watch returns a change that this one has
	// missed.
	return nil
}

// reset replaces all items.
func (f *follower) reset(items []ccstore.Item, revision uint64) {
	f.listed, f.byKey, f.revision = true, map[string]ccstore.Item{}, revision
	for _, item := range items {
		if f.accept(item) {
			f.byKey[item.Key] = item
		}
	}
	f.changed(sortedItems(f.byKey), f.revision)
}

// update applies a change to the items.
func (f *follower) update(change ccstore.Change) {
	f.revision = max(f.revision, change.Revision)
	for _, item := range change.Items {
		if item.Revision == 0 || !f.accept(item) {
			delete(f.byKey, item.Key)
		} else {
			f.byKey[item.Key] = item
		}
	}
	f.changed(sortedItems(f.byKey), f.revision)
}

// sortedItems returns the items in the order of their keys.
func sortedItems(byKey map[string]ccstore.Item) []ccstore.Item {
	items := make([]ccstore.Item, 0, len(byKey))
	for _, item := range byKey {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b ccstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// sleepBackoff waits for the backoff or until the entry is closed, and returns the next
// backoff.
func (e *Entry) sleepBackoff(backoff time.Duration) time.Duration {
	e.sleep(backoff)
	return min(2*backoff, retryMax)
}

// sleep waits for d or until the entry is closed.
func (e *Entry) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}

// followPlan passes each new plan from the store to the scheduler.
func (e *Entry) followPlan() {
	all := func(ccstore.Item) bool { return true }
	e.follow(e.cfg.PlanSource.Prefix(), planWatchTimeout, all, func(items []ccstore.Item, revision uint64) {
		plan, err := e.cfg.PlanSource.Plan(items, revision)
		if err != nil {
			e.cfg.Log.Error(err, "Cannot read the plan.", "revision", revision)
			return
		}
		if plan != nil {
			e.cfg.Log.Info("Plan read from the store.", "revision", plan.Revision, "version", plan.Version)
			e.offerPlan(plan)
		}
	})
}

// followEntries maintains this entry's record in the store and passes the addresses of
// all entries to the scheduler.
func (e *Entry) followEntries() {
	missing := make(chan struct{}, 1)
	e.spawn(func() { e.maintainRecord(missing) })
	own := entryPrefix + string(e.cfg.Node.ID)
	self := ccsubset.Entry{Addr: e.cfg.Listen, Domain: e.cfg.Domain}
	accept := func(item ccstore.Item) bool {
		_, err := readRecord(item)
		if err != nil {
			e.cfg.Malformed.Skip(malformedRecords, item.Key, err)
		}
		return err == nil
	}
	e.follow(entryPrefix, entriesWatchTimeout, accept, func(items []ccstore.Item, _ uint64) {
		entries := readRecords(items, e.cfg.Malformed)
		found := slices.ContainsFunc(items, func(item ccstore.Item) bool { return item.Key == own }) && slices.Contains(entries, self)
		e.do(func(time.Time) { e.scheduler.SetEntries(entries) })
		if !found {
			select {
			case missing <- struct{}{}:
			default:
			}
		}
	})
}

// maintainRecord writes this entry's record under a lease and renews the lease. It
// writes the record again under a new lease when the lease has ended or the record is
// missing.
func (e *Entry) maintainRecord(missing <-chan struct{}) {
	lease := ccstore.NoLease
	backoff := retryMin
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
			e.cfg.Log.V(1).Info("Cannot write or renew the entry's record.", "error", err.Error())
			if ccstore.KindOf(err) == ccstore.KindLeaseGone {
				lease = ccstore.NoLease
			}
			backoff = e.sleepBackoff(backoff)
			continue
		}
		backoff = retryMin
		select {
		case <-missing:
			lease = ccstore.NoLease
		case <-time.After(renewInterval):
		case <-e.ctx.Done():
		}
	}
}

// writeRecord writes this entry's record under a new lease.
func (e *Entry) writeRecord(ctx context.Context) (ccstore.LeaseID, error) {
	lease, err := e.cfg.Store.Grant(ctx, recordTTL)
	if err != nil {
		return ccstore.NoLease, err
	}
	value, err := json.Marshal(entryRecord{Addr: e.cfg.Listen, Domain: e.cfg.Domain})
	if err != nil {
		return ccstore.NoLease, &Error{Op: "write record", Kind: KindMessage, Err: err}
	}
	if err := e.cfg.Store.Put(ctx, entryPrefix+string(e.cfg.Node.ID), value, lease); err != nil {
		return ccstore.NoLease, err
	}
	return lease, nil
}
