package ccreplay

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// awayPenalty is what a worker in another failure domain must win in time over
// one in the entry's own.
const awayPenalty = 8 * time.Millisecond

// enqueue puts a job where its turn is.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	j.hope = j.hopeAt(now)
	at, _ := slices.BinarySearchFunc(s.queue, j, compareTurn)
	s.queue = slices.Insert(s.queue, at, j)
}

// compareTurn orders jobs by what can still be earned, then as operators rank
// their routes, then by due time.
func compareTurn(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.hope, b.hope),
		cmp.Compare(a.request.Route.Priority, b.request.Route.Priority),
		a.due.Compare(b.due),
	)
}

// reorder works out anew what can be earned by each job that waits, and refuses
// or gives up those that can earn nothing.
func (s *Scheduler) reorder(now time.Time) {
	changed := false
	for _, j := range s.queue {
		if hope := j.hopeAt(now); hope != j.hope {
			j.hope, changed = hope, true
		}
	}
	if !changed {
		return
	}
	slices.SortStableFunc(s.queue, compareTurn)
	for _, j := range slices.Clone(s.queue) {
		if j.hope == hopeNone && !j.answered && j.open() {
			s.giveUp(now, j)
		}
	}
}

// suits reports whether an agent's worker may run a request's tasks at all.
func (s *Scheduler) suits(a *agent, request Request) bool {
	if a.service != request.Route.Service {
		return false
	}
	return request.Label == "" || slices.Contains(a.labels, request.Label)
}

// settle places what can be placed. Every event ends with it.
func (s *Scheduler) settle(now time.Time) {
	s.noticePause(now)
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return !j.open() || s.jobs[j.request.ID] != j })
	for _, j := range s.queue {
		// After a pause the callers of earlier jobs may have gone elsewhere.
		if now.Before(j.request.Deadline) && (!now.Before(s.quietUntil) || !j.arrived.Before(s.quietUntil.Add(-pauseQuiet))) {
			s.placeJob(now, j)
		}
	}
}

func (s *Scheduler) placeJob(now time.Time, j *job) {
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.state != taskQueued || now.Before(tk.notBefore) {
			continue
		}
		a := s.choose(now, j, i)
		if a == nil {
			if tk.avoid == "" {
				return
			}
			continue
		}
		s.orderTask(now, j, i, a)
	}
}

// patientQueue is how many jobs may wait at the entry while a slow worker is left
// idle: as many as get room elsewhere within a fraction of their slack. Beyond that
// the room is worth more than one answer in time (docs/POLICY.md).
const patientQueue = 4

// choose returns the agent with room where a task of the job is best placed, or nil.
// A task that would miss the objective there waits, as long as it would meet it at
// another agent that has no room yet and few jobs wait.
func (s *Scheduler) choose(now time.Time, j *job, i int) *agent {
	var best offer
	wait := false
	for _, id := range s.order {
		a := s.agents[id]
		if !a.usable(now) || !s.allowed(now, j, i, a) {
			continue
		}
		o := s.offerOf(now, j, a)
		if !j.request.Need.Fits(a.room()) {
			wait = wait || o.sure
			continue
		}
		if best.agent == nil || o.better(best) {
			best = o
		}
	}
	if wait && !best.sure && len(s.queue) <= patientQueue {
		return nil
	}
	return best.agent
}

// offer is what an agent would do for a job's task.
type offer struct {
	agent *agent
	// sure is that the task meets the objective, also if its estimate is off.
	sure bool
	end  time.Duration
}

func (s *Scheduler) offerOf(now time.Time, j *job, a *agent) offer {
	factor := a.pace * s.distance(j, a)
	wait := now.Sub(j.arrived)
	if a.domain != s.cfg.Domain {
		wait += awayPenalty
	}
	return offer{
		agent: a, end: wait + time.Duration(factor*float64(j.expected)),
		sure: j.meets(shortest, factor, wait) && j.meets(longest, factor, wait),
	}
}

// meets reports whether a task that takes share of its estimate meets the objective
// that follows from it, at an agent that takes factor times as long.
func (j *job) meets(share, factor float64, wait time.Duration) bool {
	work := time.Duration(share * float64(j.expected))
	return wait+time.Duration(factor*float64(work)) <= j.request.Route.Objective(work)
}

// better reports whether o is to be taken rather than other.
func (o offer) better(other offer) bool {
	if o.sure != other.sure {
		return o.sure
	}
	return o.end < other.end || o.end == other.end && o.agent.room().CPU > other.agent.room().CPU
}

// distance returns how many times as long a task takes at an agent for its being
// away from the task's data.
func (s *Scheduler) distance(j *job, a *agent) float64 {
	if j.request.Rack == "" || s.cfg.AwayFactor <= 1 || slices.Contains(a.labels, j.request.Rack) {
		return 1
	}
	return s.cfg.AwayFactor
}

// allowed reports whether a task of the job may run at an agent, room aside.
func (s *Scheduler) allowed(now time.Time, j *job, i int, a *agent) bool {
	switch {
	case !s.suits(a, j.request), s.plan != nil && s.plan.DomainsOut[a.domain]:
		return false
	case j.tasks[i].avoid == a.ref.ID && s.elsewhere(now, j, a):
		return false
	default:
		return j.request.MaxPerWorker <= 0 || j.at(a) < j.request.MaxPerWorker
	}
}

// at returns how many of the job's tasks are placed at an agent.
func (j *job) at(a *agent) int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == taskPlaced && j.tasks[i].agent == a.ref.ID {
			n++
		}
	}
	return n
}

// orderTask orders one task from an agent.
func (s *Scheduler) orderTask(now time.Time, j *job, i int, a *agent) {
	tk := &j.tasks[i]
	s.change(Change{
		What: "Task placed.", Job: j.request.ID, Index: i, Agent: a.ref.ID, Age: now.Sub(j.arrived), Count: tk.attempt + 1,
		FreeCPU: a.room().CPU, Pace: a.pace, ReportAge: now.Sub(a.heard), Quiet: tk.quiet(),
	})
	tk.state, tk.agent, tk.life, tk.sent = taskPlaced, a.ref.ID, a.ref.Incarnation, now
	tk.attempt++
	tk.stopping, tk.overAt = false, time.Time{}
	j.queued--
	j.placed++
	a.runs++
	a.orders.Starts = append(a.orders.Starts, ccwire.StartOrder{
		Task: ccwire.TaskRef{Job: j.request.ID, Index: i}, Attempt: tk.attempt, Payload: j.request.Payload, Need: j.request.Need,
		EstimateMS: j.expected.Milliseconds(),
	})
	a.inFlight = append(a.inFlight, flight{sequence: a.sequence + 1, need: j.request.Need})
}
