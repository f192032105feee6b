package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

const (
	// suspectAfter is how long an agent may send no report and still be given tasks:
	// two of its report intervals and a small margin. The session of an agent with
	// runs is closed after the same time.
	suspectAfter = 330 * time.Millisecond
	// idleSessionTimeout is how long an agent without runs may send no report before
	// its session is closed: six report intervals.
	idleSessionTimeout = time.Second
	// forgetAfter is how long the state of a detached agent is kept, since its host
	// may come back at the same address.
	forgetAfter = 10 * time.Minute
	// maxAgents is the most agents whose state is kept, twice the workers of the largest planned
	// fleet, and maxAgentID the longest ID of one in bytes.
	maxAgents  = 8400
	maxAgentID = 200
	// heartbeatInterval is the longest time between two messages to an agent with
	// runs. Three fit into the silence after which the agent stops the runs.
	heartbeatInterval = 130 * time.Millisecond
	// idleHeartbeatInterval is the same for an agent without runs. Two fit into the
	// silence after which the agent reopens its session.
	idleHeartbeatInterval = 280 * time.Millisecond
	// capacityReportsPerSecond limits the reports that only carry free capacity, over
	// all agents of an entry. docs/CAPACITY.md lists what they cost an entry.
	capacityReportsPerSecond = 500
)

// agent is the entry's view of one worker's agent.
type agent struct {
	ref      ccnode.Ref
	domain   string
	service  string
	labels   []string
	capacity ccresource.Amount
	number   uint32 // The ccwire.WorkerInfo.Number of the worker.
	// attached is true while the agent has a session with this entry.
	attached   bool
	session    uint64 // The number of the latest session.
	lastReport time.Time
	// stalledAtReport is how long the entry had been stalled in all at the last report, and
	// quietAtReport how long all agents had been silent together.
	stalledAtReport, quietAtReport time.Duration
	clockMS                        int64 // The agent's clock in its latest report, echoed in orders.
	clockOffset                    clockOffset
	closedReason                   string // Why the agent takes no starts. Empty if it does.
	// free is the free capacity in the agent's latest report.
	free         ccresource.Amount
	available    ccresource.Amount // What updateAvailable has computed last.
	sequence     uint64            // Sequence of the last orders sent in this session.
	inFlight     []inFlightStart   // Starts that free does not account for yet.
	planRevision uint64            // Revision of the plan that the agent has or was sent.
	heldPlan     uint64            // Revision of the plan that the agent has.
	// domainOutRevision is the revision of the plan by which the agent counts its failure domain
	// as out, or 0, and toldDomain that of the last plan that it was told of in this session.
	domainOutRevision, toldDomain uint64

	relay      bool // The agent relays plans.
	planPieces bool // It sends and receives plans in pieces.
	// pieceWanted is the piece of the plan that it has asked for. Nil is none.
	pieceWanted        *ccwire.PlanPosition
	relayRank          uint64
	isolatedFor        uint32             // The isolated class that the agent is kept for, or 0.
	settledIncarnation ccnode.Incarnation // The latest one whose predecessors have no runs left.
	entriesSent        bool               // The agent has the current entries.
	orders             ccwire.Orders      // Orders to send with the next message.
	inOutbox           bool               // The agent is in the scheduler's outbox.
	lastSent           time.Time
	runs               []placedTask // The tasks placed on the agent.
	// lostAt is the earliest time at which one of the runs counts as lost. Zero is not
	// known.
	lostAt time.Time
	// toldDemand is whether the last message had a demand.
	toldDemand bool
	offer      *ccwire.Offer // The offer in the agent's latest report. Nil is none.
	pace       float64       // Actual run time as a multiple of the estimate.
	// knownToken is the highest fencing token that it has reported.
	knownToken knownToken
}

// placedTask is a task of a job that is placed on an agent.
type placedTask struct {
	job   *job
	index int
}

// inFlightStart is the capacity that a start uses once the agent has handled the
// orders with this sequence.
type inFlightStart struct {
	sequence uint64
	need     ccresource.Amount
}

// updateAvailable recomputes the available capacity: that of the last report minus that of
// starts in flight.
func (a *agent) updateAvailable() {
	a.available = a.free
	for _, f := range a.inFlight {
		a.available = a.available.Minus(f.need)
	}
}

// addRun records a task that was placed on the agent.
func (a *agent) addRun(j *job, i int) {
	j.tasks[i].position = len(a.runs)
	a.runs = append(a.runs, placedTask{job: j, index: i})
}

// removeRun removes a task that addRun has recorded.
func (a *agent) removeRun(j *job, i int) {
	at, last := j.tasks[i].position, len(a.runs)-1
	a.runs[at] = a.runs[last]
	a.runs[at].job.tasks[a.runs[at].index].position = at
	a.runs[last] = placedTask{}
	a.runs = a.runs[:last]
}

// usable reports whether the agent may be given tasks now.
func (s *Scheduler) usable(now time.Time, a *agent) bool {
	return a.attached && a.closedReason == "" && s.silence(now, a) <= suspectAfter
}

// silence returns how long an agent has been silent. It leaves out the times for which the
// entry was stalled, and the delay with which it reads reports.
func (s *Scheduler) silence(now time.Time, a *agent) time.Duration {
	return now.Sub(a.lastReport) - (s.lateness.stalled - a.stalledAtReport) - s.lateness.reports
}

// silenceOfAgent returns the silence without what all agents have in common: their reports wait on the
// entry's own link, for example behind a large response of the store.
func (s *Scheduler) silenceOfAgent(now time.Time, a *agent) time.Duration {
	common := time.Duration(0)
	if s.attached >= minQuietAgents {
		common = min(s.quiet.at(now)-a.quietAtReport, maxCommonSilence)
	}
	return s.silence(now, a) - common
}

// heartbeatPeriod returns the longest time between two messages to the agent.
func (a *agent) heartbeatPeriod() time.Duration {
	if len(a.runs) > 0 {
		return heartbeatInterval
	}
	return idleHeartbeatInterval
}

// Report handles a report from an agent's current session.
func (s *Scheduler) Report(now time.Time, id ccnode.ID, report ccwire.RunReport) {
	a := s.agents[id]
	if a == nil || !a.attached {
		return
	}
	s.handleReport(now, a, report)
	s.schedule(now)
	s.answerOffer(a)
}

func (s *Scheduler) handleReport(now time.Time, a *agent, report ccwire.RunReport) {
	s.quiet.heard(now)
	a.lastReport, a.stalledAtReport, a.quietAtReport = now, s.lateness.stalled, s.quiet.total
	a.knownToken.observe(a.ref.Incarnation, report.Token)
	s.lateness.observe(a.clockOffset.delay(now, report.ClockMS))
	a.clockMS = max(a.clockMS, report.ClockMS)
	if report.ClockMS < a.clockMS {
		// The clock of a new incarnation restarts at zero.
		a.clockMS = report.ClockMS
	}
	if a.closedReason != report.ClosedReason {
		s.recordChange(Change{Message: "Agent is " + openOrClosed(report.ClosedReason) + ".", Agent: a.ref.ID, Reason: report.ClosedReason})
	}
	a.closedReason, a.free = report.ClosedReason, report.Free
	s.handleOffer(a, report.Offer)
	if a.pace = report.Pace; a.pace <= 0 {
		a.pace = 1
	}
	a.inFlight = slices.DeleteFunc(a.inFlight, func(f inFlightStart) bool { return f.sequence <= report.HandledSequence })
	a.updateAvailable()
	s.handlePlanRevision(now, a, report.PlanRevision, report.PlanVersion)
	if report.Worker != nil {
		s.setWorker(a, *report.Worker)
	}
	s.adoptNewerPlan(now, a, report)
	s.handlePieces(now, a, report)
	s.handleDomain(a, report.DomainOutRevision)
	if report.PriorRunsEnded && a.settledIncarnation != a.ref.Incarnation && a.knownToken.fencesPrior() {
		a.settledIncarnation = a.ref.Incarnation
		s.settleAll(now, a, statedSettled)
	}
	for _, c := range report.Crashes {
		s.handleCrash(now, a, c)
	}
	for _, p := range report.Progress {
		s.handleProgress(now, a, p)
	}
	s.handleResults(now, a, report.Results)
}

// setWorker records the description of an agent's worker. Nothing is placed on one whose
// description is too long to keep.
func (s *Scheduler) setWorker(a *agent, w ccwire.WorkerInfo) {
	if w.TextBytes() > ccwire.MaxWorkerText {
		w = ccwire.WorkerInfo{}
	}
	a.domain, a.service, a.labels, a.capacity = w.Domain, w.Service, w.Labels, w.Capacity
	if number := w.Number(); number != a.number {
		a.number = number
		s.recordChange(Change{Message: "Worker described.", Agent: a.ref.ID, Worker: number, Reason: w.Service})
	}
}

func openOrClosed(closed string) string {
	if closed == "" {
		return "open"
	}
	return "closed"
}

// adoptNewerPlan adopts the plan in an agent's report if it is newer than the current
// plan.
func (s *Scheduler) adoptNewerPlan(now time.Time, a *agent, report ccwire.RunReport) {
	if report.Plan.Newer(s.plan) {
		s.recordChange(Change{Message: "Plan received from an agent.", Agent: a.ref.ID, Count: int(report.Plan.Revision)})
		s.setPlan(now, report.Plan)
	}
}
