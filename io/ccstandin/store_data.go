package ccstandin

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"camphorcroft/io/ccstore"
)

// storeData is the store's content. Its owner holds a lock around each call.
type storeData struct {
	maxKeys   int
	maxEvents int

	revision  uint64
	items     map[string]ccstore.Item
	leases    map[ccstore.LeaseID]*storeLease
	nextLease ccstore.LeaseID
	// events are the newest changes, oldest first. forgotten is the revision of
	// the newest change that is no longer among them.
	events    []storeEvent
	forgotten uint64
}

type storeEvent struct {
	revision uint64
	key      string
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

func newStoreData(maxKeys, maxEvents int) *storeData {
	return &storeData{
		maxKeys:   maxKeys,
		maxEvents: maxEvents,
		items:     map[string]ccstore.Item{},
		leases:    map[ccstore.LeaseID]*storeLease{},
	}
}

// expire ends the leases whose time is over, and tells whether keys vanished.
func (d *storeData) expire(now time.Time) bool {
	before := d.revision
	for id, lease := range d.leases {
		if !now.Before(lease.expires) {
			d.endLease(id)
		}
	}
	return d.revision != before
}

// nextExpiry returns the time of the next lease to end, if there is one.
func (d *storeData) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, lease := range d.leases {
		if next.IsZero() || lease.expires.Before(next) {
			next = lease.expires
		}
	}
	return next, !next.IsZero()
}

func (d *storeData) get(key string) ccstore.Item {
	item, ok := d.items[key]
	if !ok {
		return ccstore.Item{Key: key}
	}
	item.Value = bytes.Clone(item.Value)
	return item
}

func (d *storeData) list(prefix string) []ccstore.Item {
	items := []ccstore.Item{}
	for key := range d.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, d.get(key))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

func (d *storeData) swap(key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error) {
	item, exists := d.items[key]
	switch {
	case key == "":
		return 0, invalid("the key is empty")
	case len(value) > ccstore.MaxValueBytes:
		return 0, invalid("the value has %d bytes, more than %d", len(value), ccstore.MaxValueBytes)
	case lease != ccstore.NoLease && d.leases[lease] == nil:
		return 0, leaseGone(lease)
	case item.Revision != expected:
		return 0, conflict(key, item.Revision, expected)
	case !exists && len(d.items) >= d.maxKeys:
		return 0, invalid("the store holds %d keys and takes no more", d.maxKeys)
	}
	d.untie(item)
	if lease != ccstore.NoLease {
		d.leases[lease].keys[key] = true
	}
	d.changed(key)
	d.items[key] = ccstore.Item{Key: key, Value: bytes.Clone(value), Revision: d.revision, Lease: lease}
	return d.revision, nil
}

func (d *storeData) remove(key string, expected uint64) error {
	item, exists := d.items[key]
	if !exists || item.Revision != expected {
		return conflict(key, item.Revision, expected)
	}
	d.untie(item)
	delete(d.items, key)
	d.changed(key)
	return nil
}

// watch returns what changed below the prefix after the revision, and whether
// there is anything to tell.
func (d *storeData) watch(prefix string, after uint64) (ccstore.Change, bool) {
	// A revision ahead of the store's comes from before it lost its memory.
	if after < d.forgotten || after > d.revision {
		return ccstore.Change{Items: d.list(prefix), Revision: d.revision, Reset: true}, true
	}
	change := ccstore.Change{Items: []ccstore.Item{}, Revision: d.revision}
	first := sort.Search(len(d.events), func(i int) bool { return d.events[i].revision > after })
	seen := map[string]bool{}
	for _, event := range d.events[first:] {
		if strings.HasPrefix(event.key, prefix) && !seen[event.key] {
			seen[event.key] = true
			change.Items = append(change.Items, d.get(event.key))
		}
	}
	return change, len(change.Items) > 0
}

func (d *storeData) grant(now time.Time, ttl time.Duration) (ccstore.LeaseID, error) {
	switch {
	case ttl <= 0:
		return 0, invalid("the lease's time to live is %s, not above zero", ttl)
	case len(d.leases) >= d.maxKeys:
		return 0, invalid("the store holds %d leases and takes no more", d.maxKeys)
	}
	d.nextLease++
	d.leases[d.nextLease] = &storeLease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	return d.nextLease, nil
}

func (d *storeData) renew(now time.Time, id ccstore.LeaseID) error {
	lease := d.leases[id]
	if lease == nil {
		return leaseGone(id)
	}
	lease.expires = now.Add(lease.ttl)
	return nil
}

func (d *storeData) revoke(id ccstore.LeaseID) error {
	if d.leases[id] == nil {
		return leaseGone(id)
	}
	d.endLease(id)
	return nil
}

func (d *storeData) endLease(id ccstore.LeaseID) {
	for key := range d.leases[id].keys {
		delete(d.items, key)
		d.changed(key)
	}
	delete(d.leases, id)
}

func (d *storeData) untie(item ccstore.Item) {
	if lease := d.leases[item.Lease]; lease != nil {
		delete(lease.keys, item.Key)
	}
}

// changed gives the key's change a revision. The oldest change is forgotten when
// there are too many.
func (d *storeData) changed(key string) {
	d.revision++
	d.events = append(d.events, storeEvent{revision: d.revision, key: key})
	if len(d.events) > d.maxEvents {
		d.forgotten = d.events[0].revision
		d.events = d.events[1:]
	}
}

func conflict(key string, revision, expected uint64) error {
	err := fmt.Errorf("%s has revision %d, not %d", key, revision, expected)
	return &ccstore.Error{Op: "write", Kind: ccstore.KindConflict, Err: err}
}

func leaseGone(id ccstore.LeaseID) error {
	return &ccstore.Error{Op: "lease", Kind: ccstore.KindLeaseGone, Err: fmt.Errorf("lease %d has ended", id)}
}

func invalid(format string, args ...any) error {
	return &ccstore.Error{Op: "call", Kind: ccstore.KindInvalid, Err: fmt.Errorf(format, args...)}
}
