// Package ccagent decides which tasks an agent starts.
//
// A Controller is a state machine: it takes the messages of entries and the
// results of tasks, and returns tasks to start and reports to send. It reads no
// clock and opens no socket. It must be used from one goroutine.
//
// # At most once
//
// A task starts only if its dispatch names this incarnation of the agent, belongs
// to the newest session of its entry, is recent by the agent's own clock and is
// based on settings no older than the agent's. A started task is remembered for
// the retention period and never starts again; a duplicate is answered from its
// record. A task that was revoked, bounced or fenced leaves a tombstone, so that
// a late copy of the same attempt doesn't start.
//
// # Bounds
//
// Records of started tasks and tombstones are never dropped before their
// retention ends. When there is no room for another record, the controller starts
// nothing new and answers CodeFull. When there is no room for a tombstone or a
// fence, Revoke and Recover return an error and guarantee nothing. When the
// payloads of results exceed their bound, the oldest are dropped, and their tasks
// count as lost.
//
// # Usage
//
//	controller := ccagent.NewController(ccagent.Config{Self: self, Domain: "a", Service: "proof", Slots: 8, StartedAt: now})
//	reply, err := controller.Hello(now, hello)
//	result := controller.Dispatch(now, entry, dispatch)
//	controller.TaskFinished(now, ccagent.TaskResult{...})
//	report, ok := controller.TakeReport(now, entry)
package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
)

const (
	// maxEchoAge is the maximum age of the agent's clock value that a dispatch
	// echoes.
	maxEchoAge = time.Second
	// maxIdleEchoAge is the maximum age of an echo while the agent's own view of the
	// settings is known to be current. It is longer than maxEchoAge so that the
	// first dispatch after an idle period is not bounced.
	maxIdleEchoAge = 30 * time.Second
	// maxViewAge is the time for which the leader's confirmation keeps the view
	// current. The leader confirms on knowledge that is at most 1.3 s old. Together
	// with maxStartDelay, the last start under old settings comes at most 3 s after
	// the change.
	maxViewAge = 1200 * time.Millisecond
	// maxStartDelay is how long after the decision to start it a task may still be
	// sent to the target.
	maxStartDelay = 500 * time.Millisecond
	// offerTTL is how long a slot stays reserved for the entry that it was offered
	// to.
	offerTTL = 50 * time.Millisecond
	// pauseThreshold is the gap between two calls above which the process counts as
	// paused.
	pauseThreshold = 500 * time.Millisecond
	// maxOfferSurplus is how many offers an entry may be ahead of another and still
	// get the next one, so that its offers can be carried by reports that are sent
	// anyway.
	maxOfferSurplus = 4
	// defaultRetention applies until the settings are known.
	defaultRetention = 10 * time.Minute
	// defaultSlots applies until the settings are known.
	defaultSlots = 8
	// maxSessions bounds the number of entries with a session.
	maxSessions = 256
	// defaultMaxRecords is the default of Config.MaxRecords.
	defaultMaxRecords = 200_000
	// defaultMaxResultBytes is the default of Config.MaxResultBytes.
	defaultMaxResultBytes = 16 << 20
)

// Config describes an agent and bounds how much it remembers.
type Config struct {
	Self    ccnode.Ref
	Domain  string
	Service string
	// Slots limits the number of slots below that of the service. Zero sets no
	// limit.
	Slots int
	// StartedAt is when this incarnation started. The agent's clock counts from
	// this time.
	StartedAt time.Time
	// MaxRecords is the number of job and task records up to which tasks may start.
	// Tombstones and fences may use a quarter more. Zero selects the default.
	MaxRecords int
	// MaxResultBytes bounds the payloads of the results that are kept. Zero selects
	// the default.
	MaxResultBytes int
	// Guards disables checks. The zero value enables all of them.
	Guards Guards
}

// Guards disables individual checks so that tests can show what each one
// prevents. Only tests set it.
type Guards struct {
	SkipIncarnation bool // Accept dispatches and revokes meant for an earlier incarnation.
	SkipSession     bool // Accept dispatches of older sessions.
	SkipEcho        bool // Accept dispatches of any age.
	SkipVersion     bool // Accept dispatches based on older settings.
	SkipClosed      bool // Start tasks while the agent is leaving or its failure domain is out.
	SkipFence       bool // Accept dispatches of earlier claims.
	SkipTombstone   bool // Start attempts that were revoked or bounced.
	SkipDuplicate   bool // Start tasks that have started before.
	SkipSlots       bool // Start tasks without a free slot.
}

func (cfg Config) withDefaults() Config {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.MaxResultBytes == 0 {
		cfg.MaxResultBytes = defaultMaxResultBytes
	}
	return cfg
}
