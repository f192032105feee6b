package ccreplay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
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
}

// Change is a state change or decision of the scheduler, for the log and the counters.
type Change struct {
	Message string // The log message.
	Job     string
	Index   int
	Agent   ccnode.ID
	Reason  string
	// Age is the age of the job, of the run or of the agent's last report, depending on
	// Message.
	Age   time.Duration
	Count int
	// FreeCPU, Pace and ReportAge are the inputs of a placement: the agent's free CPU in
	// thousandths of a core, the slowdown of its worker, and the age of the report with
	// both.
	FreeCPU   int64
	Pace      float64
	ReportAge time.Duration
	// Quiet is true for a repeated change that is counted but not logged.
	Quiet bool
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
	agentIDs  []ccnode.ID // Sorted, so that decisions are reproducible.
	jobs      map[string]*job
	jobList   []*job // In order of arrival.
	// lastEvent is the time of the last event. holdUntil is when jobs from before a
	// pause of this process may be placed again.
	lastEvent  time.Time
	firstEvent time.Time
	// stopping is set by Stop: all requests are answered, and new ones are refused.
	stopping  bool
	holdUntil time.Time
	// entries are the addresses on which the known entries listen for agents.
	entries []netip.AddrPort
	queue   []*job  // Jobs with tasks to place, in scheduling order.
	actions Actions // What the next Take returns.
}

// New returns a scheduler without agents and without a plan.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, agents: map[ccnode.ID]*agent{}, jobs: map[string]*job{}}
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

// SetEntries sets the addresses on which the entries listen and sends them to all agents.
func (s *Scheduler) SetEntries(entries []netip.AddrPort) {
	if slices.Equal(entries, s.entries) {
		return
	}
	s.entries = entries
	for _, a := range s.agents {
		a.entriesSent, a.sendNow = false, true
	}
}

func (s *Scheduler) setPlan(now time.Time, plan *ccroute.Plan) {
	s.plan, s.planSetAt = plan, now
	s.recordChange(Change{Message: "Plan in force.", Count: int(plan.Revision)})
}

// planDelay is how long the entry waits before it sends a plan to an agent, which may
// get it from another entry in the meantime. It differs for each pair of entry and
// agent.
func (s *Scheduler) planDelay(id ccnode.ID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.cfg.Self.ID)+string(id))%planDelaySteps) * planDelayStep
}

// planDelaySteps and planDelayStep spread the sending of a plan over 300 ms, well within
// the 2 s in which a plan must take effect.
const (
	planDelaySteps = 16
	planDelayStep  = 20 * time.Millisecond
)

// Jobs returns the number of jobs that are unanswered or still have runs.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// UsableAgents returns the number of agents that may be given tasks.
func (s *Scheduler) UsableAgents(now time.Time) int {
	n := 0
	for _, a := range s.agents {
		if a.usable(now) {
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
	// pauseHold is how long earlier jobs are held after a pause. It gives the entry time
	// to see which callers left during the pause.
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

// Tick handles timeouts and deadlines. It must be called at least every 25 ms while
// there are jobs.
func (s *Scheduler) Tick(now time.Time) {
	for _, id := range slices.Clone(s.agentIDs) {
		a := s.agents[id]
		silence := now.Sub(a.lastReport)
		if !a.attached && a.runCount == 0 && silence > forgetAfter {
			s.forgetAgent(id)
			continue
		}
		if a.attached && (silence > suspectAfter && a.runCount > 0 || silence > idleSessionTimeout) {
			s.actions.CloseSessions = append(s.actions.CloseSessions, id)
			s.Detach(now, id)
		}
	}
	for _, j := range slices.Clone(s.jobList) {
		s.tickJob(now, j)
	}
	s.refreshQueue(now)
	s.schedule(now)
}

// tickJob ends the job's runs that count as lost, and the job at its deadline.
func (s *Scheduler) tickJob(now time.Time, j *job) {
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.state == taskPlaced && !tk.lostAt.IsZero() && !now.Before(tk.lostAt) {
			s.endRun(now, j, i, ccwire.RunResult{Attempt: tk.attempt, Outcome: ccwire.RunLost, Reason: "agent is silent for longer than its runs can live"})
		}
	}
	if !j.answered && !now.Before(j.request.Deadline) {
		s.expire(now, j)
	}
}

func (s *Scheduler) recordChange(c Change) { s.actions.Changes = append(s.actions.Changes, c) }

// capacityReportInterval returns the shortest time between two reports of an agent that
// only carry free capacity. It grows with the number of attached agents.
func (s *Scheduler) capacityReportInterval() time.Duration {
	attached := 0
	for _, a := range s.agents {
		if a.attached {
			attached++
		}
	}
	return time.Duration(attached) * time.Second / capacityReportsPerSecond
}

// flush queues a message with each agent's pending orders, or a heartbeat if one is due.
func (s *Scheduler) flush(now time.Time) {
	interval := s.capacityReportInterval()
	for _, id := range s.agentIDs {
		a := s.agents[id]
		if !a.attached {
			continue
		}
		pending := len(a.orders.Starts) > 0 || len(a.orders.Stops) > 0 || a.sendNow
		if !pending && now.Sub(a.lastSent) < a.heartbeatPeriod() {
			continue
		}
		a.sequence++
		orders := a.orders
		orders.Sequence = a.sequence
		orders.EchoMS = a.clockMS
		orders.CapacityIntervalMS = interval.Milliseconds()
		if s.plan != nil {
			orders.PlanRevision = s.plan.Revision
			if a.planRevision < s.plan.Revision && (a.planRevision == 0 || now.Sub(s.planSetAt) >= s.planDelay(id)) {
				orders.Plan = s.plan
				a.planRevision = s.plan.Revision
			}
		}
		if !a.entriesSent {
			orders.Entries, a.entriesSent = s.entries, true
		}
		a.orders, a.sendNow, a.lastSent = ccwire.Orders{}, false, now
		s.actions.Messages = append(s.actions.Messages, Message{To: id, Orders: orders})
	}
}
