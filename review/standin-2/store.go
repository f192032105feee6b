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

// store is a stand-in for the platform's metadata store. It follows PROTOCOL.md: one
// revision counter, leases, ranges and watches.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem // In order of revision.
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore(addr string) (*store, error) {
	s := &store{items: map[string]storeItem{}, revision: 100, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire()
	return s, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// apply records a change. The lock is held.
func (s *store) apply(puts []storeItem, remove []string) {
	s.revision++
	for _, item := range puts {
		item.Revision, item.Created = s.revision, s.revision
		if old, ok := s.items[item.Key]; ok {
			item.Created = old.Created
		}
		s.items[item.Key] = item
		s.events = append(s.events, item)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeItem{{Key: key, Value: data}}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
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
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts   []storeItem `json:"puts"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.apply(body.Puts, body.Remove)
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	answer(w, http.StatusOK, struct{}{})
}

// drop ends a lease and removes its keys. The lock is held.
func (s *store) drop(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var remove []string
	for key, item := range s.items {
		if item.Lease == id {
			remove = append(remove, key)
		}
	}
	if len(remove) > 0 {
		s.apply(nil, remove)
	}
}

func (s *store) expire() {
	for now := range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.drop(id)
			}
		}
		s.mu.Unlock()
	}
}
