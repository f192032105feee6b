package cclease

import (
	"net/netip"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// Config configures a Manager.
type Config struct {
	// Token fences off calls of earlier incarnations of this agent. It must be higher
	// than theirs; if the worker rejects it as too low, the manager raises it.
	Token uint64
	// StartTime is when the agent started. ClockMS in reports counts from it.
	StartTime time.Time
}

// Actions lists the side effects that the caller must carry out, in any order.
type Actions struct {
	Starts  []StartCall
	Stops   []StopCall
	Polls   []PollCall
	Reports []Report
	Changes []Change
	// CloseSessions lists silent entries whose sessions must be closed.
	CloseSessions []ccnode.ID
}

// Report is a report together with the entry that it is sent to.
type Report struct {
	To     ccnode.ID
	Report ccwire.RunReport
}

// Change is a change of the agent's state, for the log and the metrics.
type Change struct {
	Message string
	Entry   ccnode.ID
	Task    ccwire.TaskRef
	Reason  string
	Age     time.Duration
	Count   int
	// End and Run describe a run that has ended.
	End ccwire.RunOutcome
	Run uint64
	// Worker and Token are those of a call to a worker.
	Worker string
	Token  uint64
	// Order is the number of the start order that the change is about.
	Order uint64
	// Clock is the agent's clock, from its start, in the request for the session.
	Clock time.Duration
	// Session is the number of a session.
	Session uint64
	// Pace is the ratio of actual to estimated run time.
	Pace float64
	// StartTime is that of a heartbeat, or of the worker's incarnation that a call was for.
	StartTime time.Time
	// Sequence and Address are those of a heartbeat.
	Sequence uint64
	Address  netip.AddrPort
	// LeaseEnd is the end of the lease that a call has granted, on the worker's clock.
	LeaseEnd time.Duration
	// Quiet is true for a repeated change that is counted but not logged.
	Quiet bool
}

// Manager holds the agent's runs, its sessions with entries and the worker's lease. It
// is not safe for concurrent use: one goroutine owns it.
type Manager struct {
	cfg          Config
	token        uint64
	worker       *Worker
	workerSince  time.Time // When the worker's current incarnation became known.
	lost         lostWorker
	leaving      bool               // The worker has said that it is leaving, and may still be there.
	workerInfo   *ccwire.WorkerInfo // The description of the worker that is sent to entries.
	workerNumber uint32             // That of workerInfo.
	pausedReason string             // Why the worker gets no starts until pausedUntil.
	pausedUntil  time.Time
	heartbeatAt  time.Time
	claim        claim
	// claimProbedAt is when a claim was last followed by a probe at once.
	claimProbedAt time.Time
	// heartbeatsUnrecorded counts heartbeats that were not accepted since the last record of
	// one, at heartbeatRecordedAt.
	heartbeatsUnrecorded int
	heartbeatRecordedAt  time.Time
	// summariesUnlogged counts the summaries that were ignored since the last log line of one,
	// at summaryLoggedAt.
	summariesUnlogged int
	summaryLoggedAt   time.Time

	// workerClock is the worker's clock at workerClockAt on the agent's clock.
	workerClock   time.Duration
	workerClockAt time.Time
	// leaseEnd is when the last lease that the worker may have received expires.
	leaseEnd time.Time
	// leaseGranted is when the last lease that the worker may have received ends, on its clock.
	leaseGranted time.Duration
	lastEnd      uint64        // The number of the last end that was processed.
	ackedEnd     uint64        // The number of the last end that a poll has acknowledged.
	listClock    time.Duration // The worker's clock at its last list.
	polling      bool
	pollingNow   bool
	polledAt     time.Time // When the last poll that may wait was sent.
	missedPolls  int
	probes       int       // Probes without an answer so far.
	probedAt     time.Time // When the last probe was sent.
	starts       pendingStarts
	// heartbeatSeen is set once the worker's current incarnation has sent a heartbeat.
	heartbeatSeen bool
	// answered is set once an answer has named the worker's current incarnation.
	answered bool
	// runsListed is set once the worker's current incarnation has listed its runs.
	runsListed bool
	// listedToken is the highest token of a call to which the worker's current incarnation
	// has listed its runs. Under minListToken, a list shows nothing of earlier incarnations of
	// the agent: one of their starts with a higher token may still arrive.
	listedToken, minListToken uint64
	// unreadSince is when the worker's current incarnation first listed a run that could
	// not be read. Zero is never.
	unreadSince time.Time
	// pollPaced is set if the last response would repeat itself at once.
	pollPaced bool

	owners     map[ccnode.ID]*owner
	ownerList  []*owner // In the order in which they were added.
	requests   map[ccnode.ID]sessionRequest
	runs       map[ccwire.TaskRef]*run
	runList    []*run // In the order in which they were added.
	runNumbers map[ccwire.TaskRef]lastRunNumber
	reserved   ccresource.Amount
	plan       *ccroute.Plan
	relay      planRelay
	domain     ccwire.DomainState // The newest state of the worker's failure domain.
	prunedAt   time.Time          // When prune was last called.
	draining   bool
	crashes    []crash // The crashes of the worker within crashRetention.
	crashCount uint64
	health     health
	pace       pace
	actions    Actions
}

// lastRunNumber is the highest run number that a task had on this worker, and when it
// was last used.
type lastRunNumber struct {
	number uint64
	at     time.Time
}

// NewManager returns the manager of an agent that has just started.
func NewManager(cfg Config) *Manager {
	return &Manager{
		cfg:        cfg,
		token:      cfg.Token,
		owners:     map[ccnode.ID]*owner{},
		requests:   map[ccnode.ID]sessionRequest{},
		runs:       map[ccwire.TaskRef]*run{},
		runNumbers: map[ccwire.TaskRef]lastRunNumber{},
	}
}

// Take returns the actions that have accumulated since the last call.
func (m *Manager) Take() Actions {
	out := m.actions
	m.actions = Actions{}
	return out
}

// ActiveRuns returns the number of runs that have not ended.
func (m *Manager) ActiveRuns() int { return len(m.runs) }

// Plan returns the newest plan that any entry has sent, or nil if there is none.
func (m *Manager) Plan() *ccroute.Plan { return m.plan }

// Drain stops accepting starts, because the agent is about to stop.
func (m *Manager) Drain(now time.Time) {
	m.draining = true
	m.reportAll(now)
}

// Free returns the worker's capacity that is not reserved by runs.
func (m *Manager) Free() ccresource.Amount {
	if m.worker == nil {
		return ccresource.Amount{}
	}
	return m.worker.Capacity.Minus(m.reserved)
}

// Tick does the work that is due. It must be called at least every 25 ms while runs are
// active.
func (m *Manager) Tick(now time.Time) {
	m.expireSilentOwners(now)
	m.retryStops(now)
	m.expireLease(now)
	m.resumePlan(now)
	if now.Sub(m.prunedAt) >= pruneInterval {
		m.prune(now)
	}
	m.poll(now)
	m.probe(now)
	m.sendDueReports(now)
}

// closedReason returns why no start is accepted now. Empty means that starts are
// accepted.
func (m *Manager) closedReason(now time.Time) string {
	switch {
	case m.worker == nil || !m.heartbeatSeen:
		return "no heartbeat from the worker yet"
	case !m.priorRunsEnded():
		return "runs of an earlier incarnation are not over"
	case m.draining:
		return "agent is stopping"
	case m.leaving:
		return "worker is leaving"
	case m.worker.Draining:
		return "worker is draining"
	case m.worker.StartTime.IsZero():
		return "worker has not named its incarnation"
	case m.domainOutRevision() != 0:
		return "domain is out"
	case now.Sub(m.heartbeatAt) > heartbeatTimeout:
		return "no heartbeat from the worker for 5 s"
	case m.missedPolls > maxMissedPolls:
		return "worker does not answer"
	case now.Before(m.pausedUntil):
		return m.pausedReason
	default:
		return m.health.closedReason(now, len(m.runs))
	}
}

// closedReasonFor returns why no start of an entry is accepted now. The entry may be nil.
func (m *Manager) closedReasonFor(now time.Time, o *owner) string {
	if o != nil && o.retiring {
		return "session is about to close"
	}
	return m.closedReason(now)
}

// priorRunsEnded reports whether no run of an earlier incarnation of this agent is
// listed as active.
func (m *Manager) priorRunsEnded() bool { return m.runsListed && m.orphans() == 0 }

// orphans returns the number of active runs that no order of this incarnation started.
func (m *Manager) orphans() int {
	n := 0
	for _, r := range m.runList {
		if r.owner.ID == "" {
			n++
		}
	}
	return n
}

// prune discards run numbers that no late call can refer to any more, old ends, and
// entries that have been disconnected for longer than ownerRetention, with their requests
// for sessions.
func (m *Manager) prune(now time.Time) {
	m.prunedAt = now
	m.pruneCrashes(now)
	m.starts.prune(now)
	for task, used := range m.runNumbers {
		if _, active := m.runs[task]; !active && now.Sub(used.at) > runNumberRetention {
			delete(m.runNumbers, task)
		}
	}
	for _, o := range slices.Clone(m.ownerList) {
		o.pruneEnds(now)
		if !o.connected && now.Sub(o.lastHeard) > ownerRetention {
			delete(m.owners, o.ref.ID)
			m.ownerList = slices.DeleteFunc(m.ownerList, func(other *owner) bool { return other == o })
		}
	}
	for id, request := range m.requests {
		if m.owners[id] == nil && now.Sub(request.at) > ownerRetention {
			delete(m.requests, id)
		}
	}
}

// runNumberRetention is how long the run number of an ended task is kept: longer than
// the 12 s for which a worker may still execute a late call.
const runNumberRetention = 15 * time.Second

// pruneInterval is the time between two calls of prune.
const pruneInterval = 500 * time.Millisecond
