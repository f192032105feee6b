package ccevent

import (
	"sync"
	"time"

	"camphorcroft/core/ccnode"
)

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

// After returns the kept events with greater numbers, oldest first.
func (r *Ring) After(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := uint64(len(r.events))
	first := max(seq, r.seq-kept) + 1
	var events []Event
	for n := first; n <= r.seq; n++ {
		events = append(events, r.events[(n-1)%kept])
	}
	return events
}
