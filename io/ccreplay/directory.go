package ccreplay

import (
	"context"
	"encoding/json"
	"net/netip"

	"camphorcroft/core/ccsubset"
	"camphorcroft/io/ccstore"
)

// entryRecord is the value that an entry stores under its lease.
type entryRecord struct {
	Addr   netip.AddrPort `json:"addr"`
	Domain string         `json:"domain"`
}

// readRecords returns the entries that have a record. Invalid records are skipped; the
// error describes the last one.
func readRecords(items []ccstore.Item) ([]ccsubset.Entry, error) {
	var lastErr error
	entries := make([]ccsubset.Entry, 0, len(items))
	for _, item := range items {
		var r entryRecord
		if err := json.Unmarshal(item.Value, &r); err != nil {
			lastErr = &Error{Op: "read " + item.Key, Kind: KindMessage, Err: err}
			continue
		}
		entries = append(entries, ccsubset.Entry{Addr: r.Addr, Domain: r.Domain})
	}
	return entries, lastErr
}

// Lister lists the store's items below a prefix, with the store's revision.
type Lister interface {
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
}

// Directory looks up entries in the store, for agents that have no open session.
type Directory struct{ store Lister }

// NewDirectory returns a directory of the entries that have a record in the store.
func NewDirectory(store Lister) *Directory { return &Directory{store: store} }

// Entries returns the entries that accept sessions from agents. If some records are
// invalid, it returns an error together with the valid ones.
func (d *Directory) Entries(ctx context.Context) ([]ccsubset.Entry, error) {
	items, _, err := d.store.List(ctx, entryPrefix)
	if err != nil {
		return nil, &Error{Op: "list entries", Kind: KindStore, Err: err}
	}
	return readRecords(items)
}
