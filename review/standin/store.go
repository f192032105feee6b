package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keys with revisions, watches,
// transactions and leases.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeEvent
	changed  chan struct{} // Closed at each change.
	leases   map[uint64]*storeLease
	nextID   uint64
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	revision uint64
	key      string
	item     *storeItem // Nil if the key was removed.
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}}
}

func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expireLeases()
		}
	}()
}

// put writes a key for the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, exists := s.items[key]; exists {
		created = old.Created
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.events = append(s.events, storeEvent{revision: s.revision, key: key, item: &item})
}

func (s *store) remove(key string) {
	if _, exists := s.items[key]; exists {
		delete(s.items, key)
		s.events = append(s.events, storeEvent{revision: s.revision, key: key})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if time.Now().After(lease.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"as_of"`
	}{item, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.events {
			if e.revision <= after || !strings.HasPrefix(e.key, query.Get("prefix")) {
				continue
			}
			if e.item != nil {
				events = append(events, *e.item)
			} else {
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "tombstone": true})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextID] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": body.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
