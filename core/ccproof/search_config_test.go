package ccproof

import "time"

// searchConfig configures the schedules of a search. Zero disables a kind of fault.
type searchConfig struct {
	length          time.Duration
	entries, agents int
	jobs, faults    int // Per schedule.
	// weights are the relative frequencies of the faults.
	weights faultWeights
	// span bounds how long a cut, a freeze or the absence of an entry lasts.
	minSpan, maxSpan time.Duration
	// away bounds how long a crashed worker is away. One in four is back at once.
	minAway, maxAway time.Duration
	// maxCost is how long one event of a slow process takes at most.
	maxCost time.Duration
	// resendSame is the percentage of the jobs without an answer that are sent to the same entry
	// again.
	resendSame int
	// breaks is the percentage of the requests whose connection breaks before the answer. Their
	// entry learns of it up to breakNotice later.
	breaks      int
	breakNotice time.Duration
	// checkOutlived has runs of classOutlived count as violations.
	checkOutlived bool
	// lateReads bounds how much later an entry reads a request than it was sent.
	lateReads time.Duration
	calls     callFaults
	holds     holds
	// crashOnStart is how many of 1,000 executed starts crash their worker.
	crashOnStart int
	// resendAnswered is the percentage of the answered jobs that are sent to the same entry
	// again within resendWithin. The others are sent again, to any entry and after
	// resendAfter, if there was no answer or 502 or 504. A job is sent again resends times
	// at most.
	resendAnswered, resends int
	resendWithin            time.Duration
	// resetRequests is the percentage of the jobs that callers send twice at once, since the first
	// connection is reset.
	resetRequests int
	// deadline is how long a caller waits for an answer.
	deadline time.Duration
	// clockSetBack is the percentage of the restarts before which the wall clock of the
	// host is set back, by at most maxSetBack.
	clockSetBack int
	// handshakeTimeout is that of io/cclease.
	handshakeTimeout time.Duration
	worker           workerModel
	off              guardsOff
}

// guardsOff are guards of the product or of the worker that the model disables.
type guardsOff struct {
	sessionOrder  bool // An entry refuses a request for a session older than the newest.
	orderIdentity bool // An entry ignores the end of another run of a task.
	fencing       bool // An agent raises its token.
	probes        bool // An agent probes its worker while a start may still arrive.
	entryReports  bool // io/ccreplay drops reports of a session that was replaced.
	entryClose    bool // io/ccreplay ignores the close of a session that was replaced.
	agentOrders   bool // io/cclease drops orders of a session that was replaced.
	agentClose    bool // io/cclease ignores the close of a session that was replaced.
	overdueStops  bool // An agent's starts don't renew a lease while a stop is overdue.
	silentEntries bool // An agent's polls don't renew a lease while a stop is due but not sent.
	incarnations  bool // Only the incarnation whose clock was used receives a call with a lease.
	claims        bool // An agent asks its worker before it believes that it is gone.
	closedCallers bool // An entry takes no request of a connection that is closed.
	worker        workerGuardsOff
}

// faultWeights are the relative frequencies of the kinds of faults.
type faultWeights struct {
	reset       int // A session's connection is reset.
	cut         int // An agent and an entry are cut off from each other.
	cutAgent    int // An agent is cut off from all entries.
	killEntry   int
	killAgent   int
	freezeEntry int
	freezeAgent int
	crashWorker int
	turnAway    int // An agent turns away from an entry, and later back.
	slowEntry   int // An entry's events take long, one after the other.
	slowAgent   int
	lateTicks   int // An agent gets no ticks, while its other events go on.
	lateSilence int // An agent is cut off from an entry, and gets no ticks when it should stop runs.
	resize      int // A worker's capacity changes, and later changes back.
	foreign     int // Another process sends heartbeats to an agent.
	muteReturn  int // A worker crashes, returns under its ID and answers nothing for a while.
}

// holds are the percentages of the messages that are delivered 0.1 to 3 s late, together
// with all that follow them on their connection.
type holds struct{ identify, identifyReply, attach, attachReply, orders, report int }

// defaultSearch has all kinds of faults.
func defaultSearch() searchConfig {
	return searchConfig{
		length: 14 * time.Second, entries: 2, agents: 3, jobs: 70, faults: 24,
		weights: faultWeights{reset: 4, cut: 3, cutAgent: 1, killEntry: 1, killAgent: 2, freezeEntry: 2, freezeAgent: 2, crashWorker: 4, turnAway: 2},
		minSpan: 100 * time.Millisecond, maxSpan: 3 * time.Second,
		minAway: 100 * time.Millisecond, maxAway: 3 * time.Second,
		calls:        callFaults{late: 5, lost: 4, minDelay: 20 * time.Millisecond, maxDelay: 12 * time.Second, lateHeartbeats: 3},
		holds:        holds{identify: 2, identifyReply: 2, attach: 10, attachReply: 5, orders: 1, report: 1},
		crashOnStart: 4, resendAnswered: 30, resends: 3, resendWithin: time.Second, deadline: 3 * time.Second, clockSetBack: 25, handshakeTimeout: 500 * time.Millisecond,
		worker: workerModel{minRun: 30 * time.Millisecond, maxRun: 1500 * time.Millisecond, maxLease: time.Second},
	}
}

// calmSearch has no faults. Focused searches add theirs.
func calmSearch() searchConfig {
	c := defaultSearch()
	c.weights, c.holds, c.calls = faultWeights{}, holds{}, callFaults{minDelay: c.calls.minDelay, maxDelay: c.calls.maxDelay}
	c.crashOnStart, c.resendAnswered, c.clockSetBack = 0, 0, 0
	return c
}

// sessionSearch dwells on requests for sessions and their replies that are delivered late.
func sessionSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{reset: 6, cut: 3, freezeEntry: 1, turnAway: 1}
	c.holds = holds{attach: 30, attachReply: 10}
	return c
}

// repeatSearch dwells on jobs that are sent again to the entry that has answered them.
func repeatSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{reset: 1}
	c.faults, c.resendAnswered, c.resends, c.resendWithin = 120, 80, 8, 400*time.Millisecond
	return c
}

// crashSearch dwells on workers that crash while calls to them are under way.
func crashSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{crashWorker: 1}
	c.faults, c.crashOnStart = 40, 60
	c.calls.late, c.calls.lost, c.calls.maxDelay = 20, 2, 3*time.Second
	c.maxAway = 600 * time.Millisecond
	return c
}

// restartSearch dwells on agents that are killed and start again, at hosts whose clocks are
// set back, while calls to their workers are under way.
func restartSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{killAgent: 4, crashWorker: 3, freezeAgent: 1}
	c.calls.late, c.calls.lost, c.calls.maxDelay, c.calls.lateHeartbeats = 15, 2, 4*time.Second, 5
	c.maxAway, c.clockSetBack = 600*time.Millisecond, 40
	return c
}

// entrySearch dwells on entries that are killed, stand still or are cut off.
func entrySearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{killEntry: 2, freezeEntry: 4, cut: 3, cutAgent: 1, freezeAgent: 1}
	c.calls.lost, c.resendAnswered, c.clockSetBack = 3, 30, 25
	return c
}

// subsetSearch dwells on agents that turn to other entries and back.
func subsetSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{turnAway: 6, cut: 2, reset: 1, freezeEntry: 1}
	c.entries, c.faults = 3, 40
	c.calls.lost, c.resendAnswered = 3, 30
	return c
}

// orderSearch dwells on orders and reports that are delivered late, and sessions that are
// replaced meanwhile.
func orderSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{reset: 4, cut: 2, turnAway: 2, freezeAgent: 1}
	c.faults, c.holds = 60, holds{orders: 4, report: 2}
	return c
}

// lateSearch dwells on calls to workers that are executed late.
func lateSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{killAgent: 3, freezeAgent: 1, cutAgent: 1}
	c.calls.late, c.calls.lost, c.calls.maxDelay = 25, 3, 3*time.Second
	return c
}

// stopSearch dwells on stops that get no answer, of jobs that callers send again, while all
// entries go on to start tasks.
func stopSearch() searchConfig {
	c := calmSearch()
	c.entries, c.agents, c.jobs, c.faults = 3, 6, 300, 0
	c.calls.lateOrders, c.calls.minDelay = 65, 2*time.Second
	c.deadline, c.worker.maxRun = 1500*time.Millisecond, 3600*time.Millisecond
	return c
}

// foreignSearch dwells on heartbeats of other processes, and on workers that crash and return
// meanwhile.
func foreignSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{foreign: 12, crashWorker: 2, killAgent: 1, freezeAgent: 1}
	c.faults = 60
	c.calls.lost, c.calls.lateHeartbeats = 5, 10
	c.maxAway = 600 * time.Millisecond
	return c
}

// slowSearch dwells on processes that get too little of the processor, and on stops without an
// answer meanwhile.
func slowSearch(checked bool) searchConfig {
	c := calmSearch()
	c.weights = faultWeights{slowEntry: 2, slowAgent: 4, lateTicks: 12, cut: 8, cutAgent: 3, freezeAgent: 2, crashWorker: 1}
	c.agents, c.faults, c.maxCost, c.checkOutlived = 5, 60, 40*time.Millisecond, checked
	c.calls.lateStops, c.calls.lost = 70, 2
	c.worker.maxRun, c.worker.newID = 3600*time.Millisecond, true
	return c
}

// silenceSearch dwells on agents that are late when the runs of a silent entry are to be stopped.
func silenceSearch() searchConfig {
	c := slowSearch(false)
	c.weights = faultWeights{lateSilence: 1}
	c.faults, c.minSpan = 25, 1200*time.Millisecond
	c.calls.lateStops, c.calls.lost = 85, 0
	return c
}

// readSearch dwells on requests that entries read late, of callers that leave and send them to
// another entry.
func readSearch() searchConfig {
	c := slowSearch(true)
	c.weights = faultWeights{slowEntry: 6, slowAgent: 2, lateTicks: 1, cut: 1}
	c.entries, c.deadline, c.lateReads, c.resends = 3, 1500*time.Millisecond, 800*time.Millisecond, 4
	return c
}

// resizeSearch dwells on workers whose capacity changes while runs are active.
func resizeSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{resize: 12, cut: 2, freezeAgent: 1, crashWorker: 1, lateTicks: 1, killAgent: 1}
	c.faults, c.maxSpan = 60, time.Second
	c.calls.late, c.calls.lost, c.calls.maxDelay, c.calls.lateHeartbeats = 10, 3, 3*time.Second, 20
	c.resendAnswered, c.worker.newID = 30, true
	return c
}

// successorSearch dwells on workers that crash and whose address another one takes, on heartbeats
// of the first that arrive then, and on late calls to either.
func successorSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{crashWorker: 8, killAgent: 2, freezeAgent: 1, cut: 1}
	c.faults, c.crashOnStart, c.maxAway = 50, 30, 600*time.Millisecond
	c.calls.late, c.calls.lost, c.calls.maxDelay = 20, 3, 4*time.Second
	c.calls.lateHeartbeats, c.calls.untimedHeartbeats = 60, 50
	c.worker.newID = true
	return c
}

// sameEntrySearch dwells on jobs that are sent again to the entry that still has their first
// request, or has just answered it with an error.
func sameEntrySearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{cut: 4, reset: 3, freezeAgent: 2, crashWorker: 1, slowEntry: 2, lateTicks: 1}
	c.faults, c.jobs = 40, 100
	c.maxCost, c.lateReads, c.breaks, c.breakNotice = 20*time.Millisecond, 100*time.Millisecond, 30, 2*time.Second
	c.resendSame, c.resendAnswered, c.resends, c.resendWithin = 100, 40, 6, 300*time.Millisecond
	c.calls.lateStops, c.calls.lost, c.deadline = 30, 3, 1500*time.Millisecond
	c.worker.maxRun, c.worker.newID = 2500*time.Millisecond, true
	return c
}

// otherEntrySearch dwells on jobs whose callers leave, and send them to another entry, while the
// stops of the first entry get no answer.
func otherEntrySearch() searchConfig {
	c := sameEntrySearch()
	c.entries, c.resendSame, c.resendAnswered, c.breakNotice = 3, 0, 0, 100*time.Millisecond
	c.calls.lateStops = 60
	return c
}

// tokenSearch dwells on agents that start again with their clocks set back, after workers have
// refused their tokens or run numbers.
func tokenSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{killAgent: 8, killEntry: 1, freezeAgent: 2, cutAgent: 1}
	c.faults, c.clockSetBack = 60, 80
	c.calls.late, c.calls.lost, c.calls.maxDelay = 20, 5, 3*time.Second
	c.resendAnswered, c.worker.newID = 30, true
	return c
}

// lastReportSearch dwells on agents that turn to other entries while reports are under way.
func lastReportSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{turnAway: 10, cut: 2, reset: 1}
	c.entries, c.faults, c.maxSpan = 3, 60, 1200*time.Millisecond
	c.holds = holds{report: 4, orders: 1, attach: 4, attachReply: 2}
	c.calls.lost, c.resendAnswered, c.worker.newID = 3, 30, true
	return c
}

// mixedSearch has all kinds of faults, with workers that return under another ID.
func mixedSearch() searchConfig {
	c := defaultSearch()
	c.weights.slowEntry, c.weights.slowAgent, c.weights.lateTicks, c.weights.lateSilence, c.weights.resize, c.weights.foreign = 2, 2, 3, 2, 2, 2
	c.faults, c.agents, c.entries, c.maxCost = 36, 4, 3, 40*time.Millisecond
	c.calls.lateStops, c.calls.untimedHeartbeats = 20, 30
	c.lateReads, c.breaks, c.breakNotice, c.resendSame = 200*time.Millisecond, 10, 200*time.Millisecond, 40
	c.deadline, c.worker.maxRun, c.worker.newID = 1500*time.Millisecond, 2500*time.Millisecond, true
	return c
}

// muteSearch dwells on workers that crash and return under their ID, sometimes unseen, and answer
// nothing for a while, at once or after their first answers.
func muteSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{muteReturn: 1}
	c.faults, c.agents, c.jobs = 40, 6, 40
	c.minSpan, c.maxSpan = 600*time.Millisecond, 2*time.Second
	c.minAway, c.maxAway = 5*time.Millisecond, 1200*time.Millisecond
	c.calls.lost = 2
	c.worker.minRun, c.worker.maxRun = 700*time.Millisecond, 3600*time.Millisecond
	return c
}

// quickReturnSearch dwells on workers that crash and are back under their ID within milliseconds,
// while calls to them are in flight.
func quickReturnSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{crashWorker: 1}
	c.faults, c.jobs = 200, 150
	c.minAway, c.maxAway = time.Millisecond, 5*time.Millisecond
	c.calls.lost = 2
	return c
}

// closeWindow has a restarted worker refuse late starts until its agent's first call has
// reached it, so that the window of KNOWN-RED.txt, entry 1, can't occur.
func closeWindow(c searchConfig) searchConfig {
	c.worker.noEarlyLateStart = true
	return c
}
