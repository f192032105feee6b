package ccreplay

import (
	"time"

	"camphorcroft/core/ccadmission"
	"camphorcroft/core/cccrash"
	"camphorcroft/core/ccfit"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccshare"
	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
)

// Config configures a Scheduler.
type Config struct {
	Self ccnode.Ref
	// Domain is the entry's own failure domain.
	Domain string
	// AwayFactor is how many times longer a task takes on a rack other than that of its
	// data. Values up to 1 disable the preference for racks.
	AwayFactor float64
	// Order is the order of waiting jobs.
	Order ccshare.Settings
	// EndTimePlacement leaves a worker to other jobs where a task would end worse than on
	// the fastest one.
	EndTimePlacement bool
	// DemandSummaries announces to agents what waits in the whole queue instead of its first
	// job.
	DemandSummaries bool
	// Admission refuses jobs that can't be served in time when they arrive.
	Admission bool
	// MaxTasks limits the tasks of all jobs, which hold memory until their runs have ended.
	// Zero is no limit.
	MaxTasks int
}

// Change is a state change or decision of the scheduler, for the log and the counters.
type Change struct {
	Message string // The log message.
	// Route is the name of a route: the job's when it is taken, or that of isolated jobs.
	Route  string
	Job    string
	Index  int
	Agent  ccnode.ID
	Reason string
	// Age is the age of the job, of the run, of the agent's last report or of the first
	// report of a newer plan, depending on Message.
	Age   time.Duration
	Count int
	// Reported is the highest revision of a plan that an agent has reported.
	Reported uint64
	// Order is the number of the start order of the run that the change is about. Zero is
	// none.
	Order uint64
	// Worker is the ccwire.WorkerInfo.Number of a worker.
	Worker uint32
	// Incarnation and Clock are those of the agent: Clock is the time from its start to
	// its report.
	Incarnation ccnode.Incarnation
	Clock       time.Duration
	// Session is the number of a session, and LatestSession that of the agent's latest one.
	Session       uint64
	LatestSession uint64
	// Placements are the tasks of the job that were placed at once.
	Placements []Placement
	// Quiet is true for a repeated change that is counted but not logged.
	Quiet bool
}

// Placement is the placement of one task and the data that it is based on.
type Placement struct {
	Index   int
	Agent   ccnode.ID
	Attempt int
	Order   uint64 // The number of the start order.
	Worker  uint32 // The ccwire.WorkerInfo.Number of the worker that the task was placed for.
	// FreeCPU is the agent's free CPU in thousandths of a core, Pace the slowdown of its
	// worker, and ReportAge the age of the report with both.
	FreeCPU   int64
	Pace      float64
	ReportAge time.Duration
}

// Message carries orders to an agent.
type Message struct {
	To     ccnode.ID
	Orders ccwire.Orders
}

// Actions are the effects that the caller of the scheduler must carry out.
type Actions struct {
	Messages []Message
	Answers  []Answer
	Changes  []Change
	// CloseSessions lists agents that timed out and whose sessions must be closed.
	CloseSessions []ccnode.ID
}

// Scheduler is the control state of an entry. It is not safe for concurrent use: one
// goroutine owns it.
type Scheduler struct {
	cfg  Config
	plan *ccroute.Plan
	// planSetAt is when this scheduler adopted the plan.
	planSetAt time.Time
	agents    map[ccnode.ID]*agent
	agentList []*agent // Sorted by ID, so that decisions are reproducible.
	attached  int      // Number of agents with a session.
	// forgottenSession is the highest number of a session of the agents that were forgotten.
	forgottenSession uint64
	outbox           []*agent // Agents with a message to send.
	lastOrder        uint64   // The number of the last start order.
	jobs             map[string]*job
	jobList          []*job // In order of arrival.
	tasks            int    // The tasks of all jobs.
	// lastEvent is the time of the last event. holdUntil is when tasks may be placed again
	// after a pause of this process.
	lastEvent  time.Time
	firstEvent time.Time
	// stopping is set by Stop: all requests are answered, and new ones are refused.
	stopping  bool
	holdUntil time.Time
	// entries are those that have a record in the store.
	entries []ccsubset.Entry
	relay   planRelay
	crashes *cccrash.Ledger
	// isolated has the names of the routes whose jobs are isolated, by their class.
	isolated map[uint32]string
	queue    []*job // Jobs with tasks to place, in scheduling order.
	order    *ccshare.Queue
	// secondPass is true while capacity that no job has taken is placed (placementPasses).
	secondPass bool
	paces      ccfit.Paces // As of pacesAt.
	pacesAt    time.Time
	open       []*agent // The result of the last openAgents, for reuse.
	// leastNeed is at most the CPU that a task of any queued job needs.
	leastNeed int64
	// announced is whether the agents were last told of any demand.
	announced   bool
	announcedAt time.Time
	summary     demandSummary
	lateness    lateness
	quiet       quiet
	overload    overload
	// placements and arrivals are the rates of placed tasks, and of the tasks of new jobs
	// by their priority.
	placements taskRate
	arrivals   map[int]*taskRate
	// admission is nil unless Config.Admission is set.
	admission *ccadmission.Estimator
	// refusedUnlogged is the number of its refusals since the last log line about them.
	refusedUnlogged int
	refusalLoggedAt time.Time
	backlog         bool // Jobs were waiting at the last tick.
	// hopelessCheckedAt is when refuseHopeless was last called.
	hopelessCheckedAt time.Time
	actions           Actions // What the next Take returns.
}

// New returns a scheduler without agents and without a plan.
func New(cfg Config) *Scheduler {
	s := &Scheduler{cfg: cfg, agents: map[ccnode.ID]*agent{}, jobs: map[string]*job{}, arrivals: map[int]*taskRate{}, crashes: cccrash.NewLedger(), isolated: map[uint32]string{}, order: ccshare.NewQueue(cfg.Order)}
	if cfg.Order.Fair {
		s.recordOrder()
	}
	if cfg.EndTimePlacement {
		s.recordPlacement()
	}
	s.SetAdmission(cfg.Admission)
	return s
}

// Take returns the actions that are due since the last call, including heartbeats.
func (s *Scheduler) Take(now time.Time) Actions {
	s.flush(now)
	out := s.actions
	s.actions = Actions{}
	return out
}

// Plan returns the current plan, or nil.
func (s *Scheduler) Plan() *ccroute.Plan { return s.plan }

// SetPlan adopts a plan if it is newer than the current one.
func (s *Scheduler) SetPlan(now time.Time, plan *ccroute.Plan) {
	if plan.Newer(s.plan) {
		s.setPlan(now, plan)
		s.schedule(now)
	}
}

// Jobs returns the number of jobs that are unanswered or still have runs.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// UsableAgents returns the number of agents that may be given tasks.
func (s *Scheduler) UsableAgents(now time.Time) int {
	n := 0
	for _, a := range s.agentList {
		if s.usable(now, a) {
			n++
		}
	}
	return n
}

const (
	// pauseThreshold is the gap between two events from which the scheduler concludes
	// that its process was paused; ticks come every 10 ms. It is shorter than the 1.3 s
	// after which a caller sends a job to another entry.
	pauseThreshold = 700 * time.Millisecond
	// pauseHold is how long no task is placed after a pause. It gives the entry time to see
	// which callers left during the pause, and may have sent their jobs to another entry. A
	// request that it reads only then may be from before the pause.
	pauseHold = 200 * time.Millisecond
)

// Resumed handles a pause of the process. The caller must report a pause that the times
// passed to the scheduler don't show.
func (s *Scheduler) Resumed(now time.Time) {
	s.holdUntil = now.Add(pauseHold)
	s.recordChange(Change{Message: "Process was paused.", Age: now.Sub(s.lastEvent)})
}

// detectPause detects a pause of the process from a gap between events.
func (s *Scheduler) detectPause(now time.Time) {
	if s.firstEvent.IsZero() {
		s.firstEvent = now
	}
	if !s.lastEvent.IsZero() && now.Sub(s.lastEvent) > pauseThreshold {
		s.Resumed(now)
	}
	s.lastEvent = now
}

func (s *Scheduler) recordChange(c Change) { s.actions.Changes = append(s.actions.Changes, c) }
