package ccevent

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Timeline is the events of many processes in one order. Each process's own
// order is kept, and a cause comes before its effect.
type Timeline struct {
	Lanes []Lane `json:"lanes"`
	Steps []Step `json:"steps"`
	// BrokenCauses counts causes that could not be kept, since they formed a circle.
	BrokenCauses int `json:"broken,omitempty"`
}

// Step is one event at its place in a time line.
type Step struct {
	Event
	// When is the event's time on the common clock. It never decreases from one
	// step to the next.
	When time.Time `json:"when"`
	// Dropped is how many events of the same process are missing before this one.
	Dropped uint64 `json:"dropped,omitempty"`
	// Tasks and LastSeq are set in a step that Fold made of several: their tasks,
	// and the number of the last event.
	Tasks   []int  `json:"tasks,omitempty"`
	LastSeq uint64 `json:"lastSeq,omitempty"`
}

// Lane is one life of one process.
type Lane struct {
	Node   ccnode.Ref `json:"node"`
	Domain string     `json:"domain,omitempty"`
	// Offset is what was added to the process's clock, in nanoseconds.
	Offset time.Duration `json:"offsetNS"`
	Events int           `json:"events"`
	// Dropped is how many of its events are missing.
	Dropped uint64 `json:"dropped,omitempty"`
	// Silent is a process of which no event was read. It is known from the events
	// of others alone, which Named describes.
	Silent   bool            `json:"silent,omitempty"`
	Mentions *MentionSummary `json:"named,omitempty"`
}

// MentionSummary is what others tell of a silent process.
type MentionSummary struct {
	Events int `json:"events"` // Events of others that name it.
	// Newest is the greatest number of its own events that others had heard of.
	Newest uint64    `json:"newest,omitempty"`
	Last   time.Time `json:"last"` // When it was last named.
	By     ccnode.ID `json:"by"`   // Who named it last.
	Kind   Kind      `json:"kind"` // In which kind of event.
}
