package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]*storeLease
	next     uint64
	changed  chan struct{}
	// watches is when each watch that waits for what operators write has begun.
	watches map[*http.Request]time.Time
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

func newStore() *store {
	return &store{revision: 400, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, next: 77000, changed: make(chan struct{}), watches: map[*http.Request]time.Time{}}
}

// put writes a value, as the operator does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.wake()
}

// watched reports whether a number of watches wait that have begun a while ago.
func (s *store) watched(n int, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.watches {
		if time.Since(at) < since {
			return false
		}
	}
	return len(s.watches) == n
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP serves the calls of the page on the platform's metadata store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
		return
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		s.txn(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case r.URL.Path == "/kv-key":
		item, ok := s.items[query.Get("key")]
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
			return
		}
		reply(w, http.StatusOK, struct {
			storeItem
			AsOf uint64 `json:"as_of"`
		}{item, s.revision})
	case r.URL.Path == "/kv-range":
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.next++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.next] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": body.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		lease := s.leases[id]
		if lease == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		lease.end = time.Now().Add(lease.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		s.end(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
	s.expire()
	current, met := []storeItem{}, true
	for _, e := range body.Expected {
		item := s.items[e.Key]
		met = met && item.Revision == e.Revision
		if item.Key != "" {
			current = append(current, item)
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	if query.Get("prefix") == "op/" {
		s.mu.Lock()
		s.watches[r] = time.Now()
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.watches, r)
		}()
	}
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
