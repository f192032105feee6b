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
	// AwayFactor is how many times as long a task takes on a rack other than that of
	// its data. Up to 1, racks don't matter.
	AwayFactor float64
}

// Change is a change of what the entry believes, for the log.
type Change struct {
	What   string
	Job    string
	Index  int
	Agent  ccnode.ID
	Reason string
	// Age is that of the job, the run or the agent's last word, as What says.
	Age   time.Duration
	Count int
	// FreeCPU, Pace and ReportAge are what a placement was decided by: the agent's free
	// processor room in thousandths of a core, how slow its worker is, and the age
	// of the report that said so.
	FreeCPU   int64
	Pace      float64
	ReportAge time.Duration
	// Quiet is a change that repeats earlier ones: it is counted, and no line tells it.
	Quiet bool
}

// Message is orders for an agent.
type Message struct {
	To     ccnode.ID
	Orders ccwire.Orders
}

// Actions are what the scheduler wants done.
type Actions struct {
	Messages []Message
	Answers  []Answer
	Changes  []Change
	// Silent are agents whose sessions are to be closed.
	Silent []ccnode.ID
}

// Scheduler is an entry's control state. One goroutine owns it.
type Scheduler struct {
	cfg  Config
	plan *ccroute.Plan
	// planSince is when the plan came into force here.
	planSince time.Time
	agents    map[ccnode.ID]*agent
	order     []ccnode.ID // The agents' IDs, sorted, so that runs repeat.
	jobs      map[string]*job
	list      []*job // The jobs, in the order in which they came.
	// active is when the last event came, and quietUntil when jobs from before a
	// pause of this process may be placed again.
	active time.Time
	began  time.Time // When the first event came.
	// ending is that every request was answered, and that no other is taken.
	ending     bool
	quietUntil time.Time
	// entries are where the entries that are known listen for agents.
	entries []netip.AddrPort
	queue   []*job // Jobs with tasks to place, in the order of their turn.
	out     Actions
}

// New returns a scheduler that knows no agents and has no plan.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, agents: map[ccnode.ID]*agent{}, jobs: map[string]*job{}}
}

// Take returns what is to be done since the last call.
func (s *Scheduler) Take(now time.Time) Actions {
	s.flush(now)
	out := s.out
	s.out = Actions{}
	return out
}

// Plan returns the plan in force, or nil.
func (s *Scheduler) Plan() *ccroute.Plan { return s.plan }

// SetPlan puts a plan in force unless a newer one is.
func (s *Scheduler) SetPlan(now time.Time, plan *ccroute.Plan) {
	if plan.Newer(s.plan) {
		s.setPlan(now, plan)
		s.settle(now)
	}
}

// SetEntries tells all agents where the entries listen.
func (s *Scheduler) SetEntries(entries []netip.AddrPort) {
	if slices.Equal(entries, s.entries) {
		return
	}
	s.entries = entries
	for _, a := range s.agents {
		a.told, a.urgent = false, true
	}
}

func (s *Scheduler) setPlan(now time.Time, plan *ccroute.Plan) {
	s.plan, s.planSince = plan, now
	s.change(Change{What: "Plan in force.", Count: int(plan.Revision)})
}

// planDelay is how long the entry waits before it sends a plan to an agent, which
// may have got it from another entry by then. It differs from pair to pair.
func (s *Scheduler) planDelay(id ccnode.ID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(s.cfg.Self.ID)+string(id))%planSteps) * planStep
}

// planSteps and planStep spread the sending of a plan over 300 ms, well under the
// 2 s in which it is to be in force.
const (
	planSteps = 16
	planStep  = 20 * time.Millisecond
)

// Jobs returns how many jobs are neither answered nor over.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// UsableAgents returns how many agents may get starts.
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
	// pauseLimit is how long the scheduler may get no event, of which ticks come
	// each 10 ms, before it takes its process for paused: less than the 1.3 s after
	// which a caller sends a job to another entry.
	pauseLimit = 700 * time.Millisecond
	// pauseQuiet is how long the callers' leaving, which happened meanwhile, may
	// take to be seen.
	pauseQuiet = 200 * time.Millisecond
)

// Resumed tells that the process was paused and that the time passed to the
// scheduler does not show it.
func (s *Scheduler) Resumed(now time.Time) {
	s.quietUntil = now.Add(pauseQuiet)
	s.change(Change{What: "Process was paused.", Age: now.Sub(s.active)})
}

// noticePause finds a pause in the times of the events.
func (s *Scheduler) noticePause(now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	if !s.active.IsZero() && now.Sub(s.active) > pauseLimit {
		s.Resumed(now)
	}
	s.active = now
}

// Tick does what is due. Call it at least every 25 ms while jobs are open.
func (s *Scheduler) Tick(now time.Time) {
	for _, id := range slices.Clone(s.order) {
		a := s.agents[id]
		silence := now.Sub(a.heard)
		if !a.open && a.runs == 0 && silence > forgetAfter {
			s.forget(id)
			continue
		}
		if a.open && (silence > suspectAfter && a.runs > 0 || silence > idleSilence) {
			s.out.Silent = append(s.out.Silent, id)
			s.Detach(now, id)
		}
	}
	for _, j := range slices.Clone(s.list) {
		s.tickJob(now, j)
	}
	s.reorder(now)
	s.settle(now)
}

func (s *Scheduler) tickJob(now time.Time, j *job) {
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.state == taskPlaced && !tk.overAt.IsZero() && !now.Before(tk.overAt) {
			s.runOver(now, j, i, ccwire.RunResult{Attempt: tk.attempt, Outcome: ccwire.RunLost, Reason: "agent is silent for longer than its runs can live"})
		}
	}
	if !j.answered && !now.Before(j.request.Deadline) {
		s.expire(now, j)
	}
}

func (s *Scheduler) change(c Change) { s.out.Changes = append(s.out.Changes, c) }

// roomInterval returns how often each agent may report room alone.
func (s *Scheduler) roomInterval() time.Duration {
	open := 0
	for _, a := range s.agents {
		if a.open {
			open++
		}
	}
	return time.Duration(open) * time.Second / roomReports
}

// flush sends each agent's orders, or a heartbeat when one is due.
func (s *Scheduler) flush(now time.Time) {
	room := s.roomInterval()
	for _, id := range s.order {
		a := s.agents[id]
		if !a.open {
			continue
		}
		pending := len(a.orders.Starts) > 0 || len(a.orders.Stops) > 0 || a.urgent
		if !pending && now.Sub(a.sent) < a.heartbeatDue() {
			continue
		}
		a.sequence++
		orders := a.orders
		orders.Sequence = a.sequence
		orders.EchoMS = a.echo
		orders.CapacityIntervalMS = room.Milliseconds()
		if s.plan != nil {
			orders.PlanRevision = s.plan.Revision
			if a.revision < s.plan.Revision && (a.revision == 0 || now.Sub(s.planSince) >= s.planDelay(id)) {
				orders.Plan = s.plan
				a.revision = s.plan.Revision
			}
		}
		if !a.told {
			orders.Entries, a.told = s.entries, true
		}
		a.orders, a.urgent, a.sent = ccwire.Orders{}, false, now
		s.out.Messages = append(s.out.Messages, Message{To: id, Orders: orders})
	}
}
