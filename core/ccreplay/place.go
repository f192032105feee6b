package ccreplay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// remoteDomainPenalty is the latency added to workers outside the entry's failure domain.
// Such a worker must be faster by this much to be preferred.
const remoteDomainPenalty = 8 * time.Millisecond

// enqueue inserts a job into the queue in scheduling order.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	j.feasibility = j.feasibilityIfStarted(now)
	j.rank = s.rankOf(j)
	at, _ := slices.BinarySearchFunc(s.queue, j, compareQueueOrder)
	s.queue = slices.Insert(s.queue, at, j)
	s.leastNeed = min(s.leastNeed, j.request.Need.CPU)
}

// compareQueueOrder orders jobs by feasibility, then by the priority of their route, then
// by their rank, which is set in the fair order only, then by the time at which they miss
// their objective.
func compareQueueOrder(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.feasibility, b.feasibility),
		cmp.Compare(a.request.Route.Priority, b.request.Route.Priority),
		a.rank.Compare(b.rank),
		a.objectiveAt.Compare(b.objectiveAt),
	)
}

// refreshQueue updates the feasibility of each queued job, reorders the queue, and
// answers the jobs that have become infeasible.
func (s *Scheduler) refreshQueue(now time.Time) {
	s.pruneQueue()
	changed := false
	for _, j := range s.queue {
		if current := j.feasibilityIfStarted(now); current != j.feasibility {
			j.feasibility, changed = current, true
		}
	}
	if changed || s.order.Settings().Fair {
		s.refreshRanks(now)
	}
	if !changed {
		return
	}
	for _, j := range slices.Clone(s.queue) {
		if j.feasibility == infeasible && !j.answered && j.hasQueuedTasks() {
			s.answerInfeasible(now, j)
		}
	}
}

// compatible reports whether an agent's worker has the service and label that the
// request needs.
func (s *Scheduler) compatible(a *agent, request Request) bool {
	if a.service != request.Route.Service {
		return false
	}
	return request.Label == "" || slices.Contains(a.labels, request.Label)
}

// schedule places the queued tasks that can be placed. Events that may change what can
// be placed end with it.
func (s *Scheduler) schedule(now time.Time) {
	s.detectPause(now)
	if len(s.queue) == 0 || now.Before(s.holdUntil) {
		return
	}
	open := s.openAgents(now)
	if len(open) == 0 {
		return
	}
	s.pruneQueue()
	defer func() { s.secondPass = false }()
	for _, s.secondPass = range s.placementPasses() {
		for _, j := range s.queue {
			if now.Before(j.request.Deadline) {
				open = s.placeJob(now, j, open)
			}
			if len(open) == 0 {
				return
			}
		}
	}
}

// openAgents returns the usable agents with enough free CPU for some queued task. Under
// overload it is nearly empty, which bounds the cost of an event.
func (s *Scheduler) openAgents(now time.Time) []*agent {
	s.open = s.open[:0]
	for _, a := range s.agentList {
		if a.available.CPU >= s.leastNeed && s.usable(now, a) {
			s.open = append(s.open, a)
		}
	}
	return s.open
}

// pruneQueue removes the jobs without tasks to place from the queue.
func (s *Scheduler) pruneQueue() {
	s.leastNeed = math.MaxInt64
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
		if !j.hasQueuedTasks() || s.jobs[j.request.ID] != j {
			return true
		}
		s.leastNeed = min(s.leastNeed, j.request.Need.CPU)
		return false
	})
}

// placeJob places the queued tasks of a job on open agents, and returns those that are
// still open.
func (s *Scheduler) placeJob(now time.Time, j *job, open []*agent) []*agent {
	placed := Change{Message: "Tasks placed.", Job: j.request.ID, Age: now.Sub(j.arrived), Quiet: true}
	open = s.placeTasks(now, j, open, &placed)
	if placed.Count = len(placed.Placements); placed.Count > 0 {
		s.recordChange(placed)
	}
	return open
}

// placeTasks is placeJob without the log. If a task finds no agent, the others won't
// either, unless the task is to avoid one.
func (s *Scheduler) placeTasks(now time.Time, j *job, open []*agent, placed *Change) []*agent {
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.state != taskQueued || now.Before(tk.notBefore) {
			continue
		}
		if s.crashes.Held(now, j.class, ccwire.TaskRef{Job: j.request.ID, Index: i}) {
			continue
		}
		a := s.chooseAgent(now, j, i, open)
		if a == nil {
			if tk.avoidAgent == "" {
				return open
			}
			continue
		}
		placed.Quiet = placed.Quiet && tk.suppressLog()
		placed.Placements = append(placed.Placements, Placement{
			Index: i, Agent: a.ref.ID, Attempt: tk.attempt + 1, Order: s.lastOrder + 1, Worker: a.number, FreeCPU: a.available.CPU, Pace: a.pace, ReportAge: now.Sub(a.lastReport),
		})
		s.placeTask(now, j, i, a)
		if a.available.CPU < s.leastNeed {
			open = slices.DeleteFunc(open, func(other *agent) bool { return other == a })
		}
	}
	return open
}

// delayQueueLimit is the longest queue at which a task waits for a faster worker while a
// slow one stays idle (delay scheduling). This many jobs get capacity elsewhere within
// a fraction of their slack. With a longer queue, the idle capacity is worth more than
// one answer in time (docs/POLICY.md).
const delayQueueLimit = 4

// chooseAgent returns the best open agent with enough free capacity for a task of the
// job, or nil. If the task would miss its objective there but meet it on an agent that is
// currently full, it waits, as long as the queue is short.
func (s *Scheduler) chooseAgent(now time.Time, j *job, i int, open []*agent) *agent {
	var best candidate
	fits := s.placementTest(now, j, i)
	for _, a := range open {
		if !j.request.Need.Fits(a.available) || !fits(a) || !j.mayUseOffer(now, a) || !s.mayPlace(now, j, i, a) {
			continue
		}
		if c := s.newCandidate(now, j, i, a); best.agent == nil || c.better(best) {
			best = c
		}
	}
	if !best.meetsObjective && len(s.queue) <= delayQueueLimit && s.fasterAgentFull(now, j, i) {
		return nil
	}
	return best.agent
}

// fasterAgentFull reports whether the task would meet its objective on some agent that is
// currently full.
func (s *Scheduler) fasterAgentFull(now time.Time, j *job, i int) bool {
	for _, a := range s.agentList {
		if !j.request.Need.Fits(a.available) && s.usable(now, a) && s.mayPlace(now, j, i, a) && s.newCandidate(now, j, i, a).meetsObjective {
			return true
		}
	}
	return false
}

// localityFactor returns how many times longer a task takes on an agent because of the
// distance to its data.
func (s *Scheduler) localityFactor(j *job, a *agent) float64 {
	return s.localityFactorFor(j.request.Rack, a)
}

// localityFactorFor is localityFactor for tasks with their data in a rack, or in none.
func (s *Scheduler) localityFactorFor(rack string, a *agent) float64 {
	if rack == "" || s.cfg.AwayFactor <= 1 || slices.Contains(a.labels, rack) {
		return 1
	}
	return s.cfg.AwayFactor
}

// mayPlace reports whether a task of the job may run on an agent, apart from its free
// capacity.
func (s *Scheduler) mayPlace(now time.Time, j *job, i int, a *agent) bool {
	switch {
	case !s.compatible(a, j.request), s.plan != nil && s.plan.DomainsOut[a.domain]:
		return false
	case !s.isolationAllows(j, a):
		return false
	case j.tasks[i].avoidAgent == a.ref.ID && s.otherAgentUsable(now, j, a):
		return false
	default:
		return j.request.MaxPerWorker <= 0 || j.tasksOn(a) < j.request.MaxPerWorker
	}
}

// tasksOn returns how many of the job's tasks are placed on an agent.
func (j *job) tasksOn(a *agent) int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == taskPlaced && j.tasks[i].agent == a.ref.ID {
			n++
		}
	}
	return n
}

// placeTask places one task on an agent and adds the start to the agent's orders.
func (s *Scheduler) placeTask(now time.Time, j *job, i int, a *agent) {
	tk := &j.tasks[i]
	s.placements.add(now, 1)
	s.countUse(now, j)
	if s.admission != nil {
		s.admission.Placed(now, 1)
	}
	tk.state, tk.agent, tk.incarnation, tk.placedAt = taskPlaced, a.ref.ID, a.ref.Incarnation, now
	tk.attempt++
	s.lastOrder++
	tk.order = s.lastOrder
	tk.stopping, tk.lostAt = false, time.Time{}
	j.queued--
	j.placed++
	tk.session, tk.sequence = a.session, a.sequence+1
	a.addRun(j, i)
	s.sendNow(a)
	ref := ccwire.TaskRef{Job: j.request.ID, Index: i}
	a.orders.Starts = append(a.orders.Starts, ccwire.StartOrder{
		Task: ref, Order: tk.order, Payload: j.request.Payload, Need: j.request.Need,
		EstimateMS: j.expected.Milliseconds(), Class: j.class, Crashes: s.crashes.Crashes(ref), Worker: a.number,
	})
	a.inFlight = append(a.inFlight, inFlightStart{sequence: a.sequence + 1, need: j.request.Need})
	a.available = a.available.Minus(j.request.Need)
}
