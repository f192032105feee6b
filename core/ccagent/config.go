// Package ccagent decides what an agent starts.
//
// A Table is a state machine: messages of entries and the ends of tasks go in,
// tasks to start and reports come out. It reads no clock and opens no socket.
// One goroutine owns it.
//
// # At most once
//
// A task starts here only under a dispatch that is meant for this life of the
// agent, belongs to the newest session of its entry, is fresh by the agent's own
// clock and rests on settings no older than the agent's. A task that started is
// remembered until the retention is over and never starts again; a repeat is
// answered from memory. A task that was revoked, bounced or fenced leaves a
// tombstone, so a late copy of the same attempt doesn't start.
//
// # Bounds
//
// Marks of started tasks and tombstones are never dropped before their time.
// When there is no room for a mark, the table starts nothing new and answers
// full; when there is no room for a promise, Revoke and Recover return an error
// and promise nothing. Results are dropped oldest first when their bytes run
// over, and such a task then counts as lost.
//
// # Usage
//
//	table := ccagent.NewTable(ccagent.Config{Self: self, Domain: "a", Service: "proof", Slots: 8, Since: now})
//	reply, err := table.Hello(now, hello)
//	result := table.Dispatch(now, entry, dispatch)
//	table.Finished(now, ccagent.End{...})
//	report, ok := table.TakeReport(now, entry)
package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
)

const (
	// echoLimit is how old an echo of the agent's clock may be.
	echoLimit = time.Second
	// idleEchoLimit is how old an echo may be while the agent's own view of the
	// settings is known to be new, so that the first dispatch after a quiet time is
	// not sent back.
	idleEchoLimit = 30 * time.Second
	// confirmLimit is how long ago the lead must have vouched for the view, which
	// it does on what it knew 1.3 s before at the most. With startLimit that makes
	// three seconds from a change of the settings to the last start before it.
	confirmLimit = 1200 * time.Millisecond
	// startLimit is how long after the decision a task may still be given to the
	// target.
	startLimit = 500 * time.Millisecond
	// offerHold is how long a slot is kept free for the entry that it was offered to.
	offerHold = 50 * time.Millisecond
	// pauseLimit is the gap between two calls that counts as a pause.
	pauseLimit = 500 * time.Millisecond
	// offerLead is how many offers an entry may be ahead of another, so that its
	// offers ride on reports that go out anyway.
	offerLead = 4
	// defaultRetention holds until the settings are known.
	defaultRetention = 10 * time.Minute
	// defaultSlots holds until the settings are known.
	defaultSlots = 8
	// maxSessions bounds the entries that the table knows.
	maxSessions = 256
	// defaultMaxMarks bounds the started tasks and tombstones.
	defaultMaxMarks = 200_000
	// defaultMaxResultBytes bounds the results that are kept.
	defaultMaxResultBytes = 16 << 20
)

// Config says what an agent is and how much it remembers.
type Config struct {
	Self    ccnode.Ref
	Domain  string
	Service string
	// Slots lowers the service's slots. Zero leaves them.
	Slots int
	// StartedAt is when this incarnation started. The agent's clock counts from it.
	StartedAt time.Time
	// MaxRecords bounds the marks of started tasks and, a quarter more, tombstones
	// and fences. Zero gives a default.
	MaxRecords int
	// MaxResultBytes bounds the payloads of results. Zero gives a default.
	MaxResultBytes int
	// Guards switches checks off. Its zero value has them all on.
	Guards Guards
}

// Guards switches off single checks, so that tests can show what each prevents.
// Nothing else sets it.
type Guards struct {
	SkipIncarnation bool // Take dispatches and revokes that were meant for an earlier life.
	SkipSession     bool // Take dispatches of older sessions.
	SkipEcho        bool // Take dispatches however old.
	SkipVersion     bool // Take dispatches that rest on older settings.
	SkipClosed      bool // Start while leaving or with the domain out.
	SkipFence       bool // Take dispatches of earlier claims.
	SkipTombstone   bool // Start attempts that were revoked or bounced.
	SkipDuplicate   bool // Start tasks that have started before.
	SkipSlots       bool // Start without a free slot.
}

func (cfg Config) withDefaults() Config {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxMarks
	}
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = defaultMaxResultBytes
	}
	return cfg
}
