package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

const (
	// suspectAfter is how long an agent may be silent and still get starts: two of
	// its report intervals and a little more.
	suspectAfter = 330 * time.Millisecond
	// idleSilence is how long an agent without runs may be silent before its session
	// is given up: six report intervals.
	idleSilence = time.Second
	// forgetAfter is how long an agent that is gone is remembered: its host may come
	// back at the same address.
	forgetAfter = 10 * time.Minute
	// heartbeatInterval is the longest pause between two orders to an agent that has
	// runs: three within the silence after which it stops them.
	heartbeatInterval = 130 * time.Millisecond
	// idleHeartbeat is that of an agent without runs: two within the silence after
	// which it opens its session anew.
	idleHeartbeat = 280 * time.Millisecond
	// roomReports is how many reports about room alone an entry takes in a second from
	// all agents; docs/CAPACITY.md has what an entry spends with it.
	roomReports = 500
)

// agent is a worker's agent as this entry knows it.
type agent struct {
	ref      ccnode.Ref
	domain   string
	service  string
	labels   []string
	capacity ccresource.Amount
	// open is that a session is in use.
	open   bool
	heard  time.Time
	echo   int64
	closed string
	// free is the room in the agent's latest report.
	free     ccresource.Amount
	handled  uint64
	sequence uint64
	inFlight []flight           // Starts that the latest report does not count.
	revision uint64             // Of the plan that the agent has.
	settled  ccnode.Incarnation // The last one whose predecessors' runs are over.
	told     bool               // The agent knows the entries.
	orders   ccwire.Orders
	urgent   bool
	sent     time.Time
	runs     int
	pace     float64 // How many times as long as estimated runs take there.
}

// flight is the room that a start takes once the agent has handled it.
type flight struct {
	sequence uint64
	need     ccresource.Amount
}

// room returns what is free, less what is on its way.
func (a *agent) room() ccresource.Amount {
	free := a.free
	for _, f := range a.inFlight {
		free = free.Minus(f.need)
	}
	return free
}

// usable reports whether the agent may get starts now.
func (a *agent) usable(now time.Time) bool {
	return a.open && a.closed == "" && now.Sub(a.heard) <= suspectAfter
}

// heartbeatDue returns the longest pause between two orders to the agent.
func (a *agent) heartbeatDue() time.Duration {
	if a.runs > 0 {
		return heartbeatInterval
	}
	return idleHeartbeat
}

// Attach opens a session with an agent. Runs that the agent does not list are
// over.
func (s *Scheduler) Attach(now time.Time, attach ccwire.Attach) {
	a := s.agents[attach.Node.ID]
	if a == nil {
		a = &agent{}
		s.agents[attach.Node.ID] = a
		s.order = append(s.order, attach.Node.ID)
		slices.Sort(s.order)
	}
	if attach.Node.Incarnation < a.ref.Incarnation {
		return
	}
	a.ref = attach.Node
	a.told = false
	a.open, a.sequence, a.inFlight, a.orders = true, 0, nil, ccwire.Orders{}
	s.change(Change{What: "Agent attached.", Agent: a.ref.ID, Count: len(attach.Runs)})
	s.report(now, a, attach.Report)
	alive := map[ccwire.TaskRef]bool{}
	for _, ref := range attach.Runs {
		alive[ref] = true
		if !s.placedAt(ref, a.ref.ID) {
			a.orders.Stops = append(a.orders.Stops, ref)
		}
	}
	s.compare(now, a, alive)
	a.urgent = true
	s.settle(now)
}

// compare settles the tasks at an agent that has attached. Those that it has go
// on; those of its present incarnation that it lacks are over. Of those of an
// earlier incarnation it knows nothing until it is settled.
func (s *Scheduler) compare(now time.Time, a *agent, alive map[ccwire.TaskRef]bool) {
	for _, j := range slices.Clone(s.list) {
		for i := range j.tasks {
			tk := &j.tasks[i]
			ref := ccwire.TaskRef{Job: j.request.ID, Index: i}
			switch {
			case tk.state != taskPlaced || tk.agent != a.ref.ID:
			case tk.life != a.ref.Incarnation:
				if tk.overAt.IsZero() {
					tk.overAt = now.Add(cclease.RunsExpireAfter)
				}
			case alive[ref]:
				tk.overAt = time.Time{}
				if tk.stopping {
					a.orders.Stops = append(a.orders.Stops, ref)
				}
			default:
				s.runOver(now, j, i, ccwire.RunResult{Task: ref, Attempt: tk.attempt, Outcome: ccwire.RunLost, Reason: "agent attached without it"})
			}
		}
	}
}

// settled ends the tasks of an agent's earlier incarnations, none of which is
// alive.
func (s *Scheduler) settled(now time.Time, a *agent) {
	for _, j := range slices.Clone(s.list) {
		for i := range j.tasks {
			if tk := &j.tasks[i]; tk.state == taskPlaced && tk.agent == a.ref.ID && tk.life != a.ref.Incarnation {
				s.runOver(now, j, i, ccwire.RunResult{Attempt: tk.attempt, Outcome: ccwire.RunLost, Reason: "agent has a new incarnation"})
			}
		}
	}
}

func (s *Scheduler) placedAt(ref ccwire.TaskRef, id ccnode.ID) bool {
	j := s.jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.tasks) {
		return false
	}
	return j.tasks[ref.Index].state == taskPlaced && j.tasks[ref.Index].agent == id
}

// Report takes an agent's report from its current session.
func (s *Scheduler) Report(now time.Time, id ccnode.ID, report ccwire.RunReport) {
	a := s.agents[id]
	if a == nil || !a.open {
		return
	}
	s.report(now, a, report)
	s.settle(now)
}

func (s *Scheduler) report(now time.Time, a *agent, report ccwire.RunReport) {
	a.heard = now
	a.echo = max(a.echo, report.ClockMS)
	if report.ClockMS < a.echo {
		// A new incarnation's clock starts anew.
		a.echo = report.ClockMS
	}
	if a.closed != report.ClosedReason {
		s.change(Change{What: "Agent is " + openWord(report.ClosedReason) + ".", Agent: a.ref.ID, Reason: report.ClosedReason})
	}
	a.closed, a.free, a.handled = report.ClosedReason, report.Free, report.HandledSequence
	if a.pace = report.Pace; a.pace <= 0 {
		a.pace = 1
	}
	a.inFlight = slices.DeleteFunc(a.inFlight, func(f flight) bool { return f.sequence <= report.HandledSequence })
	a.revision = max(a.revision, report.PlanRevision)
	if w := report.Worker; w != nil {
		a.domain, a.service, a.labels, a.capacity = w.Domain, w.Service, w.Labels, w.Capacity
	}
	s.takePlan(now, a, report)
	if report.PriorRunsEnded && a.settled != a.ref.Incarnation {
		a.settled = a.ref.Incarnation
		s.settled(now, a)
	}
	for _, p := range report.Progress {
		s.progress(now, a, p)
	}
	for _, ended := range report.Results {
		j := s.jobs[ended.Task.Job]
		if j == nil || !s.placedAt(ended.Task, a.ref.ID) || j.tasks[ended.Task.Index].attempt != ended.Attempt {
			continue
		}
		s.runOver(now, j, ended.Task.Index, ended)
	}
}

func openWord(closed string) string {
	if closed == "" {
		return "open"
	}
	return "closed"
}

func (s *Scheduler) takePlan(now time.Time, a *agent, report ccwire.RunReport) {
	if report.Plan.Newer(s.plan) {
		s.change(Change{What: "Plan received from an agent.", Agent: a.ref.ID, Count: int(report.Plan.Revision)})
		s.setPlan(now, report.Plan)
	}
}

// Detach ends a session. The agent's runs are over after RunsOverAfter from its
// last word, unless it attaches again before.
func (s *Scheduler) Detach(now time.Time, id ccnode.ID) {
	a := s.agents[id]
	if a == nil || !a.open {
		return
	}
	a.open = false
	s.change(Change{What: "Agent detached.", Agent: id, Age: now.Sub(a.heard), Count: a.runs})
	overAt := a.heard.Add(cclease.RunsExpireAfter)
	for _, j := range s.list {
		for i := range j.tasks {
			if tk := &j.tasks[i]; tk.state == taskPlaced && tk.agent == id {
				tk.overAt = overAt
			}
		}
	}
	s.settle(now)
}

// forget drops an agent that has been gone for long.
func (s *Scheduler) forget(id ccnode.ID) {
	delete(s.agents, id)
	s.order = slices.DeleteFunc(s.order, func(other ccnode.ID) bool { return other == id })
	s.change(Change{What: "Agent forgotten.", Agent: id})
}
