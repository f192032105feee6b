package ccagent

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// Controller is the control state of an agent. It is not safe for use by several
// goroutines.
type Controller struct {
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
	late      DispatchResult // What became of held tasks, until it is taken.
	meanRun   time.Duration  // Zero when no task has ended.
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
	// LatestStart is until when the task may be given to the target. After that it must be
	// ended with CodeStale, not started.
	LatestStart time.Time
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

// DispatchResult is what became of a dispatch.
type DispatchResult struct {
	Ignored bool // The dispatch was for another life or an older session.
	Starts  []Start
	Bounced []Bounce
}

// TaskResult is the end of one started task.
type TaskResult struct {
	Job     ccjob.ID
	Index   int
	Attempt int
	Claim   uint64
	// Code is CodeDone, CodeFailed or CodeLost, or CodeRefused or CodeStale when
	// the task provably did not reach the target.
	Code    ccwire.TaskCode
	Payload string
	Reason  string
	RunTime time.Duration
}

// NewController returns an empty table.
func NewController(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:      cfg,
		sessions: make(map[ccnode.ID]*session),
		memory:   newMemory(cfg.MaxRecords, cfg.MaxResultBytes),
		seen:     cfg.StartedAt,
	}
}

// Tick notices pauses, ends offers that were not used, and forgets old jobs.
// Call it a few times a second.
func (c *Controller) Tick(now time.Time) {
	c.observe(now)
	c.fill(now, nil)
}

// fill gives free slots to held tasks first, and offers the rest.
func (c *Controller) fill(now time.Time, preferred *session) {
	c.startHeld(now)
	c.offer(now, preferred)
}

// observe notices a pause: a gap since the last call that is too long. From then
// on only echoes of a clock after the pause count.
func (c *Controller) observe(now time.Time) {
	if gap := now.Sub(c.seen); gap > pauseLimit {
		c.pause = gap
		c.fresh = now.Sub(c.cfg.StartedAt)
	}
	if now.After(c.seen) {
		c.seen = now
	}
	c.memory.sweep(now, c.retention())
	for _, s := range c.sessions {
		s.expire(now)
	}
}

// TakePause returns the length of a pause that was noticed since the last call.
func (c *Controller) TakePause() (time.Duration, bool) {
	pause := c.pause
	c.pause = 0
	return pause, pause > 0
}

// SetView puts a settings version into force. It returns false and changes
// nothing when the version is not greater than the one in force.
func (c *Controller) SetView(now time.Time, view *ccsettings.AgentView) bool {
	c.observe(now)
	if view == nil || c.view != nil && view.Version <= c.view.Version {
		return false
	}
	c.view = view
	c.fill(now, nil)
	return true
}

// ConfirmView notes that the view in force was the newest at that time.
func (c *Controller) ConfirmView(at time.Time) { c.confirmed = at }

// Leave stops all starts for good and tells every entry.
func (c *Controller) Leave(now time.Time) {
	c.observe(now)
	c.leaving = true
	for _, s := range c.sessions {
		s.dirty = s.connected
	}
	c.startHeld(now)
}

// Version returns the settings version in force here.
func (c *Controller) Version() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Version
}

// SettingsOutdated reports whether an entry has named a newer settings version.
func (c *Controller) SettingsOutdated() bool { return c.newest > c.Version() }

// Running returns how many tasks run.
func (c *Controller) Running() int { return c.running }

// Records returns how many tasks and jobs are remembered.
func (c *Controller) Records() int { return c.memory.marks }

// ResultBytes returns how many payload bytes are remembered.
func (c *Controller) ResultBytes() int { return c.memory.bytes }

// Leaving reports whether the agent is leaving.
func (c *Controller) Leaving() bool { return c.leaving }

// Slots returns how many tasks may run at once. Each takes a connection to the
// target, so the service's connections bound them too.
func (c *Controller) Slots() int {
	slots := 0
	if c.view != nil {
		service := c.view.Services[c.cfg.Service]
		slots = service.Slots
		if service.Connections > 0 {
			slots = min(slots, service.Connections)
		}
	}
	switch {
	case slots == 0 && c.cfg.Slots == 0:
		return defaultSlots
	case slots == 0 || c.cfg.Slots > 0 && c.cfg.Slots < slots:
		return c.cfg.Slots
	default:
		return slots
	}
}

// Closed reports whether nothing may start here.
func (c *Controller) Closed() bool {
	return c.leaving || c.view != nil && c.view.Domains[c.cfg.Domain].Out
}

func (c *Controller) retention() time.Duration {
	if c.view == nil || c.view.Fleet.Retention <= 0 {
		return defaultRetention
	}
	return c.view.Fleet.Retention.Std()
}

// Clock returns the agent's clock at now.
func (c *Controller) Clock(now time.Time) time.Duration { return now.Sub(c.cfg.StartedAt) }

// free returns the slots that are neither in use nor held for another entry.
func (c *Controller) free(except *session) int {
	free := c.Slots() - c.running
	for _, s := range c.sessions {
		if s != except {
			free -= len(s.offers)
		}
	}
	return max(free, 0)
}
