package ccreplay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode/utf8"

	"camphorcroft/core/ccsubset"
	"camphorcroft/io/cclog"
	"camphorcroft/io/ccstore"
)

// entryRecord is the value that an entry stores under its lease.
type entryRecord struct {
	Addr   netip.AddrPort `json:"addr"`
	Domain string         `json:"domain"`
}

// maxRecordBytes limits a record's value and maxIDBytes the entry's ID in its key.
const (
	maxRecordBytes = 1 << 10
	maxIDBytes     = 128
)

// malformedRecords is the reader that counts malformed records.
const malformedRecords = "entryRecords"

// readRecord decodes an entry's record. Another writer may have left any item among them.
func readRecord(item ccstore.Item) (ccsubset.Entry, error) {
	malformed := func(err error) (ccsubset.Entry, error) {
		return ccsubset.Entry{}, &Error{Op: "read record", Kind: KindMessage, Err: err}
	}
	switch id, ok := strings.CutPrefix(item.Key, entryPrefix); {
	case !ok || !isID(id):
		return malformed(errors.New("key is not an entry's ID"))
	case len(item.Value) > maxRecordBytes:
		return malformed(fmt.Errorf("value has %d bytes, maximum is %d", len(item.Value), maxRecordBytes))
	case !utf8.Valid(item.Value):
		return malformed(errors.New("value is not UTF-8"))
	}
	var r entryRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return malformed(err)
	}
	entry := ccsubset.Entry{Addr: r.Addr, Domain: r.Domain}
	if !entry.Valid() {
		return malformed(fmt.Errorf("no session can be opened at address %q", r.Addr))
	}
	return entry, nil
}

// isID reports whether a part of a key can be a node's ID: printable characters without a
// space or a slash.
func isID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(c rune) bool { return c == '/' || c <= ' ' || c > '~' })
}

// readRecords returns the entries that have a record. Malformed records are skipped and
// counted.
func readRecords(items []ccstore.Item, malformed *cclog.Malformed) []ccsubset.Entry {
	entries := make([]ccsubset.Entry, 0, min(len(items), usualEntries))
	for _, item := range items {
		entry, err := readRecord(item)
		if err != nil {
			malformed.Skip(malformedRecords, item.Key, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

// usualEntries is how many entries a large deployment has.
const usualEntries = 1024

// Lister lists the store's items below a prefix, with the store's revision.
type Lister interface {
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
}

// Directory looks up entries in the store, for agents that have no open session.
type Directory struct {
	// Malformed counts the records that can't be read. It may be nil.
	Malformed *cclog.Malformed

	store Lister
}

// NewDirectory returns a directory of the entries that have a record in the store.
func NewDirectory(store Lister) *Directory { return &Directory{store: store} }

// Entries returns the entries that accept sessions from agents.
func (d *Directory) Entries(ctx context.Context) ([]ccsubset.Entry, error) {
	items, _, err := d.store.List(ctx, entryPrefix)
	if err != nil {
		return nil, &Error{Op: "list entries", Kind: KindStore, Err: err}
	}
	return readRecords(items, d.Malformed), nil
}
