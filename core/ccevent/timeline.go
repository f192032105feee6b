package ccevent

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Timeline is a total order of the events of many processes. It preserves the
// order within each process and places causes before their effects, except for
// BrokenCauses.
type Timeline struct {
	Lanes []Lane `json:"lanes"`
	Steps []Step `json:"steps"`
	// BrokenCauses is the number of causes that were ignored because they formed a
	// cycle.
	BrokenCauses int `json:"broken,omitempty"`
}

// Step is one event at its position in a timeline.
type Step struct {
	Event
	// When is the event's time on the common clock. It never decreases from one
	// step to the next.
	When time.Time `json:"when"`
	// Dropped is the number of events of the same process missing immediately before
	// this one.
	Dropped uint64 `json:"dropped,omitempty"`
	// Tasks and LastSeq are set in a step that Fold combined from several: their
	// tasks, and the sequence number of the last event.
	Tasks   []int  `json:"tasks,omitempty"`
	LastSeq uint64 `json:"lastSeq,omitempty"`
}

// Lane describes one incarnation of a process.
type Lane struct {
	Node   ccnode.Ref `json:"node"`
	Domain string     `json:"domain,omitempty"`
	// Offset is the correction added to the process's clock, in nanoseconds.
	Offset time.Duration `json:"offsetNS"`
	Events int           `json:"events"`
	// Dropped is the number of missing events.
	Dropped uint64 `json:"dropped,omitempty"`
	// Silent is set if no event of the process was read. It is then known only from
	// the events of others, which Mentions summarizes.
	Silent   bool            `json:"silent,omitempty"`
	Mentions *MentionSummary `json:"named,omitempty"`
}

// MentionSummary summarizes what other processes recorded about a silent one.
type MentionSummary struct {
	Events int `json:"events"` // Number of events of others that mention it.
	// Newest is the highest sequence number of its own events that others refer to.
	Newest uint64    `json:"newest,omitempty"`
	Last   time.Time `json:"last"` // Time of the last mention.
	By     ccnode.ID `json:"by"`   // Process that recorded the last mention.
	Kind   Kind      `json:"kind"` // Kind of the event with the last mention.
}
