package ccagent

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// Table is the control state of an agent. It is not safe for use by several
// goroutines.
type Table struct {
	cfg       Config
	view      *ccsettings.AgentView
	sessions  map[ccnode.ID]*session
	memory    *memory
	running   int
	leaving   bool
	seen      time.Time     // The time of the last call.
	fresh     time.Duration // Echoes below this clock are from before a pause.
	pause     time.Duration // The last pause, until it is taken.
	confirmed time.Time     // When the view was last known to be the newest.
	held      []held
	late      Result        // What became of held tasks, until it is taken.
	meanRun   time.Duration // Zero when no task has ended.
	runs      int
	newest    uint64 // The greatest settings version that any entry named.
}

// Start is a task that must be given to the target now.
type Start struct {
	From    ccnode.Ref // The entry that sent it.
	Cause   uint64     // The entry's newest event when it did.
	Job     ccjob.ID
	Index   int
	Attempt int
	Claim   uint64
	Payload string
	Budget  time.Duration // Until the job's deadline.
	// By is until when the task may be given to the target. After that it must be
	// ended with CodeStale, not started.
	By time.Time
}

// Bounce is a task that did not start.
type Bounce struct {
	From  ccnode.Ref
	Cause uint64
	Job   ccjob.ID
	Index int
	Claim uint64
	Code  ccwire.TaskCode
}

// Result is what became of a dispatch.
type Result struct {
	Ignored bool // The dispatch was for another life or an older session.
	Starts  []Start
	Bounced []Bounce
}

// End is the end of one started task.
type End struct {
	Job     ccjob.ID
	Index   int
	Attempt int
	Claim   uint64
	// Code is CodeDone, CodeFailed or CodeLost, or CodeRefused or CodeStale when
	// the task provably did not reach the target.
	Code    ccwire.TaskCode
	Payload string
	Reason  string
	Run     time.Duration
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:      cfg,
		sessions: make(map[ccnode.ID]*session),
		memory:   newMemory(cfg.MaxMarks, cfg.MaxResultBytes),
		seen:     cfg.Since,
	}
}

// Tick notices pauses, ends offers that were not used, and forgets old jobs.
// Call it a few times a second.
func (t *Table) Tick(now time.Time) {
	t.observe(now)
	t.fill(now, nil)
}

// fill gives free slots to held tasks first, and offers the rest.
func (t *Table) fill(now time.Time, preferred *session) {
	t.startHeld(now)
	t.offer(now, preferred)
}

// observe notices a pause: a gap since the last call that is too long. From then
// on only echoes of a clock after the pause count.
func (t *Table) observe(now time.Time) {
	if gap := now.Sub(t.seen); gap > pauseLimit {
		t.pause = gap
		t.fresh = now.Sub(t.cfg.Since)
	}
	if now.After(t.seen) {
		t.seen = now
	}
	t.memory.sweep(now, t.retention())
	for _, s := range t.sessions {
		s.expire(now)
	}
}

// TakePause returns the length of a pause that was noticed since the last call.
func (t *Table) TakePause() (time.Duration, bool) {
	pause := t.pause
	t.pause = 0
	return pause, pause > 0
}

// SetView puts a settings version into force. It returns false and changes
// nothing when the version is not greater than the one in force.
func (t *Table) SetView(now time.Time, view *ccsettings.AgentView) bool {
	t.observe(now)
	if view == nil || t.view != nil && view.Version <= t.view.Version {
		return false
	}
	t.view = view
	t.fill(now, nil)
	return true
}

// Confirm notes that the view in force was the newest at that time.
func (t *Table) Confirm(at time.Time) { t.confirmed = at }

// Leave stops all starts for good and tells every entry.
func (t *Table) Leave(now time.Time) {
	t.observe(now)
	t.leaving = true
	for _, s := range t.sessions {
		s.dirty = s.connected
	}
	t.startHeld(now)
}

// Version returns the settings version in force here.
func (t *Table) Version() uint64 {
	if t.view == nil {
		return 0
	}
	return t.view.Version
}

// Behind reports whether an entry has named a newer settings version.
func (t *Table) Behind() bool { return t.newest > t.Version() }

// Running returns how many tasks run.
func (t *Table) Running() int { return t.running }

// Marks returns how many tasks and jobs are remembered.
func (t *Table) Marks() int { return t.memory.marks }

// ResultBytes returns how many payload bytes are remembered.
func (t *Table) ResultBytes() int { return t.memory.bytes }

// Leaving reports whether the agent is leaving.
func (t *Table) Leaving() bool { return t.leaving }

// Slots returns how many tasks may run at once. Each takes a connection to the
// target, so the service's connections bound them too.
func (t *Table) Slots() int {
	slots := 0
	if t.view != nil {
		service := t.view.Services[t.cfg.Service]
		slots = service.Slots
		if service.Connections > 0 {
			slots = min(slots, service.Connections)
		}
	}
	switch {
	case slots == 0 && t.cfg.Slots == 0:
		return defaultSlots
	case slots == 0 || t.cfg.Slots > 0 && t.cfg.Slots < slots:
		return t.cfg.Slots
	default:
		return slots
	}
}

// Closed reports whether nothing may start here.
func (t *Table) Closed() bool {
	return t.leaving || t.view != nil && t.view.Domains[t.cfg.Domain].Out
}

func (t *Table) retention() time.Duration {
	if t.view == nil || t.view.Fleet.Retention <= 0 {
		return defaultRetention
	}
	return t.view.Fleet.Retention.Std()
}

// Clock returns the agent's clock at now.
func (t *Table) Clock(now time.Time) time.Duration { return now.Sub(t.cfg.Since) }

// free returns the slots that are neither in use nor held for another entry.
func (t *Table) free(except *session) int {
	free := t.Slots() - t.running
	for _, s := range t.sessions {
		if s != except {
			free -= len(s.offers)
		}
	}
	return max(free, 0)
}
