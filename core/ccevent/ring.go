package ccevent

import (
	"sync"
	"time"

	"camphorcroft/core/ccnode"
)

// readChunk is how many events are copied while writers wait.
const readChunk = 512

// RingConfig says whose events a ring holds, and how many.
type RingConfig struct {
	Node ccnode.Ref
	// Domain is the failure domain of the process. Events that name none get it.
	Domain string
	Size   int // Events kept; the oldest go first. Zero keeps none.
}

// Ring keeps the newest events of one process. Its methods may be called from
// any goroutine.
type Ring struct {
	mu     sync.Mutex
	node   ccnode.Ref
	domain string
	events []Event
	seq    uint64
}

// NewRing returns an empty ring.
func NewRing(cfg RingConfig) *Ring {
	return &Ring{node: cfg.Node, domain: cfg.Domain, events: make([]Event, 0, cfg.Size)}
}

// Record gives the event its node, number and time and keeps it. It returns the
// event's number.
func (r *Ring) Record(now time.Time, event Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	size := cap(r.events)
	if size == 0 {
		return r.seq
	}
	event.Node, event.Seq, event.At = r.node, r.seq, now
	if event.Domain == "" {
		event.Domain = r.domain
	}
	if len(r.events) < size {
		r.events = append(r.events, event)
	} else {
		r.events[(r.seq-1)%uint64(size)] = event
	}
	return r.seq
}

// Newest returns the number of the newest event.
func (r *Ring) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq
}

// Node returns whose events these are.
func (r *Ring) Node() ccnode.Ref { return r.node }

// Oldest returns the number of the oldest event that is kept, or zero if none is.
func (r *Ring) Oldest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return 0
	}
	return r.seq - uint64(len(r.events)) + 1
}

// After returns the kept events with greater numbers, oldest first.
func (r *Ring) After(seq uint64) []Event {
	var events []Event
	for {
		chunk := r.Next(seq, readChunk)
		if len(chunk) == 0 {
			return events
		}
		events = append(events, chunk...)
		seq = chunk[len(chunk)-1].Seq
	}
}

// Next returns at most limit of the kept events with greater numbers, oldest
// first. A small limit keeps writers from waiting.
func (r *Ring) Next(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := uint64(len(r.events))
	first := max(seq, r.seq-kept) + 1
	if seq >= r.seq {
		return nil
	}
	events := make([]Event, 0, min(r.seq-first+1, uint64(limit)))
	for n := first; n <= r.seq && len(events) < limit; n++ {
		events = append(events, r.events[(n-1)%uint64(cap(r.events))])
	}
	return events
}
