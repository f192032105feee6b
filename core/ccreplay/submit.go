package ccreplay

import (
	"slices"
	"time"
)

const (
	// reattachGrace is how long a detached agent still counts as able to run jobs: a
	// restarted or temporarily unreachable agent is back within this time.
	reattachGrace = 3 * time.Second
	// startupGrace is how long a newly started entry waits for its agents to attach.
	// They redial at least every 400 ms, with a dial timeout of 150 ms.
	startupGrace = time.Second
	// maxJobs limits the jobs of an entry. The highest planned load, 5,400 jobs per
	// second over 50 entries, brings a tenth of this in 10 s.
	maxJobs = 10_000
	// freePart is the part of the free tasks of Config.MaxTasks that one job may take. Jobs of
	// many tasks are refused first then, and those of a few find room.
	freePart = 2
	// refusalRetryAfter is how long a caller should wait before it sends a refused
	// request again, usually one refused for lack of workers.
	refusalRetryAfter = time.Second
	// refusalBackoff is how long a task waits after an agent refused it for a reason
	// other than lack of capacity, so that the agent's next report arrives first.
	refusalBackoff = 10 * time.Millisecond
)

// Submit accepts or refuses a request. Each request gets one answer through Take, unless
// its caller leaves, or its deadline passes while it waits for the runs of an earlier
// request for the job to end.
func (s *Scheduler) Submit(now time.Time, request Request) {
	if s.stopping {
		s.refuse(request, "entry is stopping")
		return
	}
	if j := s.jobs[request.ID]; j != nil {
		s.joinRequest(j, request)
		return
	}
	if s.overload.late {
		s.refuse(request, "entry is late")
		return
	}
	s.admit(now, request)
	s.schedule(now)
	s.shedArrival(now, request.ID)
}

// joinRequest joins a request to an earlier one for the same job. If that one is already
// answered, the new request waits until the earlier runs have ended.
func (s *Scheduler) joinRequest(j *job, request Request) {
	if !j.answered {
		j.waiters = append(j.waiters, request.Token)
		return
	}
	if j.nextRequest != nil {
		s.refuse(*j.nextRequest, "a later request for the job has come")
	}
	j.nextRequest = &request
}

// Stop answers all requests because the entry is about to exit, and refuses later ones.
// A caller whose job may have run sends it again to another entry.
func (s *Scheduler) Stop(now time.Time) {
	s.stopping = true
	for _, j := range slices.Clone(s.jobList) {
		if j.nextRequest != nil {
			s.refuse(*j.nextRequest, "entry is stopping")
			j.nextRequest = nil
		}
		if j.answered {
			continue
		}
		state := StateUnknown
		if !j.mayHaveRun() {
			state = StateRefused
		}
		s.answerJob(now, j, state, "entry is stopping")
	}
}

// admit creates and enqueues a job, or refuses the request.
func (s *Scheduler) admit(now time.Time, request Request) {
	if len(s.jobList) >= maxJobs {
		s.refuse(request, "entry has as many jobs as it may")
		return
	}
	if !s.hasRoom(request.Tasks) {
		s.actions.Answers = append(s.actions.Answers, Answer{
			Token: request.Token, ID: request.ID, State: StateRefused, Reason: "entry has too many tasks for a job of this size", RetryAfter: s.retryAfter(now, request.ID),
		})
		return
	}
	if s.crashesWorkers(request) {
		s.actions.Answers = append(s.actions.Answers, Answer{Token: request.Token, ID: request.ID, State: StateFailed, Reason: crashReason})
		return
	}
	if !s.anyAgentFits(now, request) {
		s.refuse(request, "no worker can ever run this job")
		return
	}
	if s.isolationDown(now, classOf(request.Route)) {
		s.actions.Answers = append(s.actions.Answers, Answer{
			Token: request.Token, ID: request.ID, State: StateRefused, Reason: isolationReason, RetryAfter: isolationRetryAfter(request.ID),
		})
		return
	}
	expected := request.Estimate
	j := &job{
		request: request, class: classOf(request.Route), arrived: now, expected: expected,
		objectiveAt: now.Add(request.Route.Objective(expected)),
		cutoff:      now.Add(cutoffFactor * request.Route.Objective(expected)),
		tasks:       make([]task, request.Tasks), queued: request.Tasks,
	}
	for i := range j.tasks {
		s.markSuspect(now, j, i)
	}
	s.countArrival(now, j)
	s.jobs[request.ID] = j
	s.jobList = append(s.jobList, j)
	s.tasks += len(j.tasks)
	s.enqueue(now, j)
	s.recordChange(Change{Message: "Job taken.", Job: request.ID, Route: request.Route.Name, Age: expected, Count: request.Tasks})
}

// hasRoom reports whether a job of so many tasks may be taken beside the others.
func (s *Scheduler) hasRoom(tasks int) bool {
	return s.cfg.MaxTasks == 0 || tasks <= (s.cfg.MaxTasks-s.tasks)/freePart
}

// anyAgentFits reports whether any known worker could run the request's tasks. During
// startupGrace it returns true, since agents are still attaching.
func (s *Scheduler) anyAgentFits(now time.Time, request Request) bool {
	if s.firstEvent.IsZero() || now.Sub(s.firstEvent) < startupGrace {
		return true
	}
	for _, a := range s.agentList {
		if (a.attached || now.Sub(a.lastReport) < reattachGrace) && s.compatible(a, request) && request.Need.Fits(a.capacity) {
			return true
		}
	}
	return false
}

func (s *Scheduler) refuse(request Request, reason string) {
	s.actions.Answers = append(s.actions.Answers, Answer{
		Token: request.Token, ID: request.ID, State: StateRefused, Reason: reason, RetryAfter: refusalRetryAfter,
	})
}

// Cancel handles the loss of a request's caller. If no other request waits for the job,
// its runs are stopped.
func (s *Scheduler) Cancel(now time.Time, id string, token uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.nextRequest != nil && j.nextRequest.Token == token {
		j.nextRequest = nil
	}
	if j.answered {
		return
	}
	if j.request.Token != token {
		j.waiters = removeToken(j.waiters, token)
		return
	}
	if len(j.waiters) > 0 {
		j.request.Token = j.waiters[0]
		j.waiters = j.waiters[1:]
		return
	}
	s.recordChange(Change{Message: "Caller left.", Job: id, Age: now.Sub(j.arrived)})
	s.closeJob(now, j)
	s.schedule(now)
}

func removeToken(tokens []uint64, token uint64) []uint64 {
	kept := tokens[:0]
	for _, t := range tokens {
		if t != token {
			kept = append(kept, t)
		}
	}
	return kept
}

// expire answers a job whose deadline has passed.
func (s *Scheduler) expire(now time.Time, j *job) {
	state := StateExpired
	if !j.mayHaveRun() {
		state = StateRefused
	}
	s.answerJob(now, j, state, "the caller's time is over")
}

// answerInfeasible answers a job that can't end by its cutoff.
func (s *Scheduler) answerInfeasible(now time.Time, j *job) {
	if j.mayHaveRun() {
		s.answerJob(now, j, StateExpired, "its tasks can't end in time any more")
		return
	}
	s.answerJob(now, j, StateRefused, "no worker had room in time")
}

// answerJob answers all requests for a job and stops its remaining runs.
func (s *Scheduler) answerJob(now time.Time, j *job, state State, reason string) {
	answer := Answer{
		Token: j.request.Token, ID: j.request.ID, State: state, Reason: reason, Took: now.Sub(j.arrived),
	}
	if state == StateRefused {
		answer.RetryAfter = j.retryAfter
		switch {
		case s.isIsolated(j):
			answer.RetryAfter = isolationRetryAfter(j.request.ID)
		case j.retryAfter == 0:
			answer.RetryAfter = s.retryAfter(now, j.request.ID)
		}
	}
	s.actions.Answers = append(s.actions.Answers, answer)
	for _, token := range j.waiters {
		answer.Token = token
		s.actions.Answers = append(s.actions.Answers, answer)
	}
	s.closeJob(now, j)
}

// closeJob stops a job's runs. The job is kept until they have ended, so that a later
// request for it can't start a second run in parallel.
func (s *Scheduler) closeJob(now time.Time, j *job) {
	j.answered = true
	j.waiters = nil
	j.request.Payload = "" // No run is started any more.
	for i := range j.tasks {
		s.stopRun(j, i)
	}
	s.releaseIfDone(now, j)
}

func (s *Scheduler) stopRun(j *job, i int) {
	tk := &j.tasks[i]
	if tk.state != taskPlaced || tk.stopping {
		return
	}
	tk.stopping = true
	if a := s.agents[tk.agent]; a.attached {
		a.orders.Stops = append(a.orders.Stops, j.runRef(i))
		s.sendNow(a)
	}
}

// releaseIfDone deletes a job that is answered and has no runs left, and admits the
// request that waited for this.
func (s *Scheduler) releaseIfDone(now time.Time, j *job) {
	if !j.answered || j.placed > 0 || s.jobs[j.request.ID] != j {
		return
	}
	delete(s.jobs, j.request.ID)
	s.jobList = slices.DeleteFunc(s.jobList, func(other *job) bool { return other == j })
	s.tasks -= len(j.tasks)
	if j.nextRequest != nil && now.Before(j.nextRequest.Deadline) {
		s.admit(now, *j.nextRequest)
	}
}
