package ccreplay

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsubset"
	"camphorcroft/io/ccstore"
)

// recordStore lists records of entries. Its first watch of them returns one change.
type recordStore struct {
	Store
	items  []ccstore.Item
	change ccstore.Change

	mu      sync.Mutex
	watches int
}

func (s *recordStore) List(_ context.Context, prefix string) ([]ccstore.Item, uint64, error) {
	if prefix != entryPrefix {
		return nil, 1, nil
	}
	return s.items, 1, nil
}

func (s *recordStore) Watch(ctx context.Context, prefix string, _ uint64, _ time.Duration) (ccstore.Change, error) {
	if prefix == entryPrefix {
		s.mu.Lock()
		s.watches++
		first := s.watches == 1
		s.mu.Unlock()
		if first {
			return s.change, nil
		}
	}
	<-ctx.Done()
	return ccstore.Change{}, ctx.Err()
}

func (s *recordStore) watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (*recordStore) Grant(context.Context, time.Duration) (ccstore.LeaseID, error) { return 1, nil }
func (*recordStore) Renew(context.Context, ccstore.LeaseID) error                  { return nil }
func (*recordStore) Put(context.Context, string, []byte, ccstore.LeaseID) error    { return nil }

func record(id, addr string) ccstore.Item {
	return ccstore.Item{Key: entryPrefix + id, Value: fmt.Appendf(nil, `{"addr":%q,"domain":"north"}`, addr), Revision: 1}
}

// Guards against a record of another writer that agents dial, or that hides the records
// beside it.
func TestMalformedRecords(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	malformed := map[string]ccstore.Item{
		"a key without an ID":          record("", "10.0.0.9:7720"),
		"a key that's no ID":           record("a/b", "10.0.0.9:7720"),
		"a key that's no UTF-8":        record("\xff", "10.0.0.9:7720"),
		"a key with a control byte":    record("a\n", "10.0.0.9:7720"),
		"a long key":                   record(strings.Repeat("a", 190), "10.0.0.9:7720"),
		"port 0":                       record("x", "10.0.0.9:0"),
		"port 65,536":                  record("x", "10.0.0.9:65536"),
		"a negative port":              record("x", "10.0.0.9:-1"),
		"no port":                      record("x", "10.0.0.9"),
		"no address":                   record("x", ""),
		"an unspecified address":       record("x", "0.0.0.0:7720"),
		"a multicast address":          record("x", "224.0.0.1:7720"),
		"no fields":                    {Value: []byte(`{}`)},
		"nothing":                      {},
		"null":                         {Value: []byte(`null`)},
		"a list":                       {Value: []byte(`[]`)},
		"an address of another type":   {Value: []byte(`{"addr":7720,"domain":"north"}`)},
		"a domain of another type":     {Value: []byte(`{"addr":"10.0.0.9:7720","domain":1e400}`)},
		"deep nesting":                 {Value: []byte(deep)},
		"deep nesting within":          {Value: []byte(`{"addr":"10.0.0.9:7720","domain":"north","more":` + deep + `}`)},
		"no JSON":                      {Value: []byte("\x00\xff{")},
		"a domain that's no UTF-8":     {Value: []byte("{\"addr\":\"10.0.0.9:7720\",\"domain\":\"\xff\"}")},
		"a domain without an end":      {Value: []byte(`{"addr":"10.0.0.9:7720","domain":"` + strings.Repeat("n", 1<<20) + `"}`)},
		"a truncated record":           {Value: []byte(`{"addr":"10.0.0.9:7720","dom`)},
		"an address with a zone, long": record("x", "[fe80::1%"+strings.Repeat("z", 5000)+"]:7720"),
	}
	want := []ccsubset.Entry{
		{Addr: netip.MustParseAddrPort("10.0.0.1:7720"), Domain: "north"},
		{Addr: netip.MustParseAddrPort("10.0.0.2:7720"), Domain: "north"},
	}
	for name, item := range malformed {
		t.Run(name, func(t *testing.T) {
			if item.Key == "" {
				item.Key = entryPrefix + "x"
			}
			store := &recordStore{items: []ccstore.Item{record("entry-1", "10.0.0.1:7720"), item, record("entry-2", "10.0.0.2:7720")}}
			entries, err := NewDirectory(store).Entries(context.Background())
			if !slices.Equal(entries, want) {
				t.Errorf("entries: got %d %.200v, want %v", len(entries), entries, want)
			}
			if err != nil {
				t.Errorf("error: got %.200v, want none", err)
			}
		})
	}
}

// Guards against records of another writer that make an entry stop to follow the others:
// comparing all of them with each other took minutes.
func TestManyMalformedRecords(t *testing.T) {
	const records = 100_000
	store := &recordStore{items: []ccstore.Item{record("entry-2", "10.255.0.1:7720")}}
	for i := range records {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		store.items = append(store.items, record(fmt.Sprintf("x%d", i), netip.AddrPortFrom(addr, 0).String()))
	}
	store.change = ccstore.Change{Items: []ccstore.Item{record("entry-3", "10.255.0.2:7720")}, Revision: 2}
	e := New(Config{Node: ccnode.Ref{ID: "entry-1"}, Store: store, PlanSource: itemPlanSource{}, Log: logr.Discard()})
	e.spawn(e.control)
	e.spawn(e.followEntries)
	deadline := time.Now().Add(10 * time.Second)
	for store.watched() < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	handled := make(chan struct{})
	go e.do(func(time.Time) { close(handled) })
	select {
	case <-handled:
	case <-time.After(time.Until(deadline)):
		t.Errorf("the entry handles no event 10 s after it has read the records; watches: %d", store.watched())
	}
	e.cancel()
	e.wg.Wait()
}
