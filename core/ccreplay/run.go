package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccwire"
)

// runState is what a statement means for a run.
type runState int

const (
	// runUnchanged is a run that the statement says nothing about. It may be of a run that is
	// over, or that was never placed on the agent.
	runUnchanged runState = iota
	// runAlive is a run that its agent has listed.
	runAlive
	// runUnresolved is a run that may be alive, or whose start may still arrive. It counts as
	// alive until it is settled, or until its task's lostAt.
	runUnresolved
	// runOver is a run that has ended, or that never started and never will.
	runOver
)

// statementKind is where a statement comes from.
type statementKind int

const (
	// statedEnded is a result in a report.
	statedEnded statementKind = iota
	// statedListed and statedNotListed are the list of runs in a request for a session.
	statedListed
	statedNotListed
	// statedSettled is a report that no run of the agent's earlier incarnations is alive.
	statedSettled
	// statedSilent is the time that has passed without a word about the run.
	statedSilent
)

// statement is something that is known of exactly one run from its agent.
type statement struct {
	kind    statementKind
	run     ccwire.RunRef
	ended   ccwire.RunResult // Set for statedEnded.
	request *ccwire.Attach   // Set for statedNotListed.
}

// decide returns what a statement means for its run, and how the run ended if it is over.
// No other function decides that a run is over.
//
// An agent knows nothing of the runs of its earlier incarnations until it is settled: those
// stay unresolved until then, or until cclease.RunsExpireAfter has passed. A run whose
// orders the agent had not handled when it asked for a session never starts, since it drops
// the orders of a session that was replaced, and gets none in one that it never opened.
func (s *Scheduler) decide(now time.Time, a *agent, st statement) (runState, ccwire.RunResult) {
	if s.ignoreReason(a, st.run) != "" {
		return runUnchanged, ccwire.RunResult{}
	}
	tk := &s.jobs[st.run.Task.Job].tasks[st.run.Task.Index]
	earlier := tk.incarnation != a.ref.Incarnation
	ended := ccwire.RunResult{Task: st.run.Task, Order: st.run.Order, Outcome: ccwire.RunLost}
	switch st.kind {
	case statedEnded:
		return runOver, st.ended
	case statedListed:
		if earlier {
			return runUnresolved, ccwire.RunResult{}
		}
		return runAlive, ccwire.RunResult{}
	case statedNotListed:
		if earlier {
			return runUnresolved, ccwire.RunResult{}
		}
		ended.Reason = "agent attached without it"
		if !tk.orderHandled(st.request) {
			ended.Outcome, ended.Reason = ccwire.RunRefused, "agent attached without having handled the order"
		}
		return runOver, ended
	case statedSettled:
		if earlier {
			ended.Reason = "agent has a new incarnation"
			return runOver, ended
		}
	case statedSilent:
		switch {
		case tk.lostAt.IsZero():
		case now.Before(tk.lostAt):
			return runUnresolved, ccwire.RunResult{}
		default:
			ended.Reason = "agent is silent for longer than its runs can live"
			return runOver, ended
		}
	}
	return runUnchanged, ccwire.RunResult{}
}

// orderHandled reports whether an agent had handled the orders with the task's start when
// it made a request for a session.
func (tk *task) orderHandled(request *ccwire.Attach) bool {
	return tk.session < request.PreviousSession || tk.session == request.PreviousSession && tk.sequence <= request.Report.HandledSequence
}

// ignoreReason returns why a statement about a run changes nothing, or "" if the run is the
// current one of its task and placed on the agent.
func (s *Scheduler) ignoreReason(a *agent, run ccwire.RunRef) string {
	j := s.jobs[run.Task.Job]
	if j == nil || !j.hasTask(run.Task.Index) {
		return "no such task"
	}
	switch tk := &j.tasks[run.Task.Index]; {
	case tk.state != taskPlaced:
		return "the task has no run"
	case tk.agent != a.ref.ID:
		return "the task runs at another agent"
	case tk.order != run.Order:
		return "the task has another run"
	default:
		return ""
	}
}

// settle carries out what a statement means for its run.
func (s *Scheduler) settle(now time.Time, a *agent, st statement) {
	state, ended := s.decide(now, a, st)
	if state == runUnchanged {
		return
	}
	j := s.jobs[st.run.Task.Job]
	switch tk := &j.tasks[st.run.Task.Index]; state {
	case runAlive:
		tk.lostAt, tk.session, tk.sequence = time.Time{}, 0, 0
		if tk.stopping {
			a.orders.Stops = append(a.orders.Stops, st.run)
		}
	case runUnresolved:
		if tk.lostAt.IsZero() {
			tk.lostAt = now.Add(cclease.RunsExpireAfter)
		}
		a.lostAt = earliest(a.lostAt, tk.lostAt)
	case runOver:
		s.endRun(now, j, st.run.Task.Index, ended)
	case runUnchanged:
	}
}

// settleAll carries out what a statement of this kind means for each run on an agent.
func (s *Scheduler) settleAll(now time.Time, a *agent, kind statementKind) {
	for _, p := range slices.Clone(a.runs) {
		s.settle(now, a, statement{kind: kind, run: p.job.runRef(p.index)})
	}
}

// settleListed compares the runs placed on an agent with those that it lists in a request
// for a session. Listed runs that are not placed there are stopped.
func (s *Scheduler) settleListed(now time.Time, a *agent, request *ccwire.Attach) {
	listed := map[ccwire.RunRef]bool{}
	for _, run := range request.Runs {
		listed[run] = true
		if s.ignoreReason(a, run) != "" {
			a.orders.Stops = append(a.orders.Stops, run)
		}
	}
	for _, p := range slices.Clone(a.runs) {
		st := statement{kind: statedNotListed, run: p.job.runRef(p.index), request: request}
		if listed[st.run] {
			st.kind = statedListed
		}
		s.settle(now, a, st)
	}
}
