package ccevent

import (
	"sync"
	"time"

	"camphorcroft/core/ccnode"
)

// readChunk is the maximum number of events copied per lock acquisition, which
// bounds how long writers wait.
const readChunk = 512

// RingConfig configures a Ring.
type RingConfig struct {
	Node ccnode.Ref
	// Domain is the failure domain of the process, used for events without one.
	Domain string
	Size   int // Maximum number of events, beyond which the oldest are dropped. Zero keeps none.
}

// Ring is a ring buffer of the newest events of one process. It is safe for
// concurrent use.
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

// Record sets the event's node, sequence number and time and stores it. It
// returns the sequence number.
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

// Newest returns the sequence number of the newest event.
func (r *Ring) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq
}

// Node returns the process whose events the ring holds.
func (r *Ring) Node() ccnode.Ref { return r.node }

// Oldest returns the sequence number of the oldest stored event, or zero if the
// ring is empty.
func (r *Ring) Oldest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return 0
	}
	return r.seq - uint64(len(r.events)) + 1
}

// After returns the stored events with sequence numbers above seq, oldest first.
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

// Next returns at most limit stored events with sequence numbers above seq, oldest
// first. It holds the lock while copying, so a small limit keeps writers from
// waiting.
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
