package ccreplay

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

const (
	// rememberAgent is how long an agent that is gone still counts as one that may
	// come back: it restarts, or is reached again, within that.
	rememberAgent = 3 * time.Second
	// learnAgents is how long an entry that has just started waits for its agents to
	// attach: they dial it again at least each 400 ms, and give a dial 150 ms.
	learnAgents = time.Second
	// maxJobs bounds the jobs of an entry: 10 s of the greatest load that one is
	// planned for, 5,400 jobs a second at 50 entries, is a tenth of it.
	maxJobs = 10_000
	// retrySoon is when a request that was refused for want of workers may come
	// again.
	retrySoon = time.Second
	// refusalPause is how long a task waits after an agent has refused it for another
	// reason than room, so that the agent's next report is seen first.
	refusalPause = 10 * time.Millisecond
)

// Submit takes a request. Each request gets one answer, through Take.
func (s *Scheduler) Submit(now time.Time, request Request) {
	if s.ending {
		s.refuse(request, "entry is stopping")
		return
	}
	if j := s.jobs[request.ID]; j != nil {
		s.attachWaiter(j, request)
		return
	}
	s.admit(now, request)
	s.settle(now)
}

// attachWaiter joins a request to the same job's earlier one, or has it wait
// until the earlier one's runs are over.
func (s *Scheduler) attachWaiter(j *job, request Request) {
	if !j.answered {
		j.waiters = append(j.waiters, request.Token)
		return
	}
	if j.next != nil {
		s.refuse(*j.next, "a later request for the job has come")
	}
	j.next = &request
}

// Stop answers every request, since the entry is about to end, and refuses those that
// come after. A caller whose job may have run sends it again, to another entry.
func (s *Scheduler) Stop(now time.Time) {
	s.ending = true
	for _, j := range slices.Clone(s.list) {
		if j.next != nil {
			s.refuse(*j.next, "entry is stopping")
			j.next = nil
		}
		if j.answered {
			continue
		}
		state := StateUnknown
		if !j.mayHaveRun() {
			state = StateRefused
		}
		s.answer(now, j, state, "entry is stopping")
	}
}

func (s *Scheduler) admit(now time.Time, request Request) {
	if len(s.list) >= maxJobs {
		s.refuse(request, "entry has as many jobs as it may")
		return
	}
	if !s.possible(now, request) {
		s.refuse(request, "no worker can ever run this job")
		return
	}
	expected := request.Estimate
	j := &job{
		request: request, arrived: now, expected: expected,
		due:   now.Add(request.Route.Objective(expected)),
		late:  now.Add(lateFactor * request.Route.Objective(expected)),
		tasks: make([]task, request.Tasks), queued: request.Tasks,
	}
	s.jobs[request.ID] = j
	s.list = append(s.list, j)
	s.enqueue(now, j)
	s.change(Change{What: "Job taken.", Job: request.ID, Reason: request.Route.Name, Age: expected, Count: request.Tasks})
}

// possible reports whether any worker that is known could run the request's tasks. An
// entry that has just started does not know its agents yet: they are about to attach.
func (s *Scheduler) possible(now time.Time, request Request) bool {
	if s.began.IsZero() || now.Sub(s.began) < learnAgents {
		return true
	}
	for _, a := range s.agents {
		if (a.open || now.Sub(a.heard) < rememberAgent) && s.suits(a, request) && request.Need.Fits(a.capacity) {
			return true
		}
	}
	return false
}

func (s *Scheduler) refuse(request Request, reason string) {
	s.out.Answers = append(s.out.Answers, Answer{
		Token: request.Token, ID: request.ID, State: StateRefused, Reason: reason, RetryAfter: retrySoon,
	})
}

// Cancel tells that a request's caller no longer waits.
func (s *Scheduler) Cancel(now time.Time, id string, token uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.next != nil && j.next.Token == token {
		j.next = nil
	}
	if j.answered {
		return
	}
	if j.request.Token != token {
		j.waiters = without(j.waiters, token)
		return
	}
	if len(j.waiters) > 0 {
		j.request.Token = j.waiters[0]
		j.waiters = j.waiters[1:]
		return
	}
	s.change(Change{What: "Caller left.", Job: id, Age: now.Sub(j.arrived)})
	s.close(now, j)
	s.settle(now)
}

func without(tokens []uint64, token uint64) []uint64 {
	kept := tokens[:0]
	for _, t := range tokens {
		if t != token {
			kept = append(kept, t)
		}
	}
	return kept
}

// expire answers a job whose caller stops waiting now.
func (s *Scheduler) expire(now time.Time, j *job) {
	state := StateExpired
	if !j.mayHaveRun() {
		state = StateRefused
	}
	s.answer(now, j, state, "the caller's time is over")
}

// giveUp answers a job that can't end in time to be of use.
func (s *Scheduler) giveUp(now time.Time, j *job) {
	if j.mayHaveRun() {
		s.answer(now, j, StateExpired, "its tasks can't end in time any more")
		return
	}
	s.answer(now, j, StateRefused, "no worker had room in time")
}

// answer ends a job for all who wait for it, and stops what still runs.
func (s *Scheduler) answer(now time.Time, j *job, state State, reason string) {
	answer := Answer{
		Token: j.request.Token, ID: j.request.ID, State: state, Reason: reason, Took: now.Sub(j.arrived),
	}
	if state == StateRefused {
		answer.RetryAfter = retrySoon
	}
	s.out.Answers = append(s.out.Answers, answer)
	for _, token := range j.waiters {
		answer.Token = token
		s.out.Answers = append(s.out.Answers, answer)
	}
	s.close(now, j)
}

// close stops a job's runs. The job is kept until they are over, so that a later
// request for it can't start a second run beside them.
func (s *Scheduler) close(now time.Time, j *job) {
	j.answered = true
	j.waiters = nil
	for i := range j.tasks {
		s.stopRun(j, i)
	}
	s.release(now, j)
}

func (s *Scheduler) stopRun(j *job, i int) {
	tk := &j.tasks[i]
	if tk.state != taskPlaced || tk.stopping {
		return
	}
	tk.stopping = true
	if a := s.agents[tk.agent]; a.open {
		a.orders.Stops = append(a.orders.Stops, ccwire.TaskRef{Job: j.request.ID, Index: i})
	}
}

// release forgets a job that is answered and has no run alive, and admits the
// request that waited for that.
func (s *Scheduler) release(now time.Time, j *job) {
	if !j.answered || j.placed > 0 || s.jobs[j.request.ID] != j {
		return
	}
	delete(s.jobs, j.request.ID)
	s.list = slices.DeleteFunc(s.list, func(other *job) bool { return other == j })
	if j.next != nil && now.Before(j.next.Deadline) {
		s.admit(now, *j.next)
	}
}
