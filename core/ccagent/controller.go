package ccagent

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// Controller decides which tasks an agent starts. It is not safe for concurrent
// use.
type Controller struct {
	cfg            Config
	view           *ccsettings.AgentView
	sessions       map[ccnode.ID]*session
	jobs           *jobTable
	running        int
	leaving        bool
	lastCall       time.Time     // The latest time of a call, from which pauses are measured.
	minEcho        time.Duration // Echoes below this clock value predate the last pause.
	pendingPause   time.Duration // The last pause, until TakePause returns it.
	viewConfirmed  time.Time     // When the view was last known to be current.
	queue          []queuedTask
	queueResult    DispatchResult // What became of queued tasks, until TakeQueueResult returns it.
	meanRunTime    time.Duration  // Zero until a task has finished.
	runTimeSamples int
	newestVersion  uint64 // The newest settings version that any entry has sent.
}

// Start is a task to be sent to the target now.
type Start struct {
	From    ccnode.Ref // The entry that sent the task.
	Cause   uint64     // Sequence number of the entry's newest event when it sent the task.
	Job     ccjob.ID
	Index   int
	Attempt int
	Claim   uint64
	Payload string
	Budget  time.Duration // Time left until the job's deadline.
	// LatestStart is the last time at which the task may be sent to the target.
	// After it, the task must finish with CodeStale without being sent.
	LatestStart time.Time
}

// Bounce is a task that was sent back to its entry without a start.
type Bounce struct {
	From  ccnode.Ref
	Cause uint64
	Job   ccjob.ID
	Index int
	Claim uint64
	Code  ccwire.TaskCode
}

// DispatchResult lists the dispatched tasks that must start and those that were
// bounced.
type DispatchResult struct {
	Ignored bool // The dispatch was for another incarnation or not of the newest session.
	Starts  []Start
	Bounced []Bounce
}

// TaskResult is how one started task finished.
type TaskResult struct {
	Job     ccjob.ID
	Index   int
	Attempt int
	Claim   uint64
	// Code is CodeDone, CodeFailed or CodeLost, or CodeRefused or CodeStale if the
	// task provably did not reach the target.
	Code    ccwire.TaskCode
	Payload string
	Reason  string
	RunTime time.Duration
}

// NewController returns a controller without sessions and job records.
func NewController(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:      cfg,
		sessions: make(map[ccnode.ID]*session),
		jobs:     newJobTable(cfg.MaxRecords, cfg.MaxResultBytes),
		lastCall: cfg.StartedAt,
	}
}

// Tick detects pauses, drops expired offers and job records, and assigns free
// slots. Call it a few times a second.
func (c *Controller) Tick(now time.Time) {
	c.advanceClock(now)
	c.assignFreeSlots(now, nil)
}

// assignFreeSlots gives free slots to queued tasks first and offers the remaining
// ones to entries.
func (c *Controller) assignFreeSlots(now time.Time, preferred *session) {
	c.processQueue(now)
	c.offerSlots(now, preferred)
}

// advanceClock drops expired job records and offers, and detects a pause: a gap of
// more than pauseThreshold since the last call. After a pause only echoes of clock
// values since its end are accepted.
func (c *Controller) advanceClock(now time.Time) {
	if gap := now.Sub(c.lastCall); gap > pauseThreshold {
		c.pendingPause = gap
		c.minEcho = now.Sub(c.cfg.StartedAt)
	}
	if now.After(c.lastCall) {
		c.lastCall = now
	}
	c.jobs.removeExpired(now, c.retention())
	for _, s := range c.sessions {
		s.expireOffers(now)
	}
}

// TakePause returns the length of a pause that was detected since the last call
// of TakePause, and whether there was one.
func (c *Controller) TakePause() (time.Duration, bool) {
	pause := c.pendingPause
	c.pendingPause = 0
	return pause, pause > 0
}

// SetView applies a settings version. It returns false and changes nothing if the
// version is not greater than the applied one.
func (c *Controller) SetView(now time.Time, view *ccsettings.AgentView) bool {
	c.advanceClock(now)
	if view == nil || c.view != nil && view.Version <= c.view.Version {
		return false
	}
	c.view = view
	c.assignFreeSlots(now, nil)
	return true
}

// ConfirmView records that the applied view was current at the given time.
func (c *Controller) ConfirmView(at time.Time) { c.viewConfirmed = at }

// Leave permanently stops starting tasks and makes a report due to every
// connected entry.
func (c *Controller) Leave(now time.Time) {
	c.advanceClock(now)
	c.leaving = true
	for _, s := range c.sessions {
		s.reportDue = s.connected
	}
	c.processQueue(now)
}

// Version returns the applied settings version, or zero if there is none.
func (c *Controller) Version() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Version
}

// SettingsOutdated reports whether an entry has sent a settings version newer
// than the applied one.
func (c *Controller) SettingsOutdated() bool { return c.newestVersion > c.Version() }

// Running returns the number of running tasks.
func (c *Controller) Running() int { return c.running }

// Records returns the number of job and task records.
func (c *Controller) Records() int { return c.jobs.records }

// ResultBytes returns the number of payload bytes of the results that are kept.
func (c *Controller) ResultBytes() int { return c.jobs.resultBytes }

// Leaving reports whether the agent is leaving.
func (c *Controller) Leaving() bool { return c.leaving }

// Slots returns how many tasks may run at once. Each task uses a connection to
// the target, so the service's connection limit applies too.
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

// Closed reports whether no task may start because the agent is leaving or its
// failure domain is out.
func (c *Controller) Closed() bool {
	return c.leaving || c.view != nil && c.view.Domains[c.cfg.Domain].Out
}

func (c *Controller) retention() time.Duration {
	if c.view == nil || c.view.Fleet.Retention <= 0 {
		return defaultRetention
	}
	return c.view.Fleet.Retention.Std()
}

// Clock returns the value of the agent's clock at now: the time since its start.
func (c *Controller) Clock(now time.Time) time.Duration { return now.Sub(c.cfg.StartedAt) }

// freeSlots returns the number of slots that neither run a task nor are reserved
// for a session other than except.
func (c *Controller) freeSlots(except *session) int {
	free := c.Slots() - c.running
	for _, s := range c.sessions {
		if s != except {
			free -= len(s.offers)
		}
	}
	return max(free, 0)
}
