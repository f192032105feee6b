package ccdispatch

import (
	"container/heap"
	"fmt"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
)

// retryAfter is the retry delay suggested to refused clients. It is a whole
// number of seconds because the Retry-After HTTP header has no finer unit.
const retryAfter = time.Second

// Check validates a job against the settings. An invalid job can never run, so
// it is refused before it is claimed. Check returns true, or false with the
// refusal.
func (d *Dispatcher) Check(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	serviceSettings, ok := d.settings.Services[spec.Service]
	if !ok {
		return ccjob.Refuse(spec.ID, ccjob.KindUnknownService, fmt.Sprintf("unknown service %q", spec.Service)), false
	}
	limits := ccjob.Limits{MaxPayloadBytes: serviceSettings.MaxPayloadBytes, MaxDeadline: serviceSettings.MaxDeadline.Std()}
	if err := spec.Validate(limits); err != nil {
		return refuseInvalid(spec.ID, err), false
	}
	return ccjob.Outcome{}, true
}

// Admit applies the team quota, the queue limit and the estimated wait to a job
// that passed Check and has a new claim. A refusal states that the job has not
// run, and only the new claim proves that it has not run at another entry.
// Admit returns true, or false with the refusal.
func (d *Dispatcher) Admit(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	serviceSettings := d.service(spec.Service).settings
	kind, reason := d.refusalReason(spec, &serviceSettings)
	if kind == "" {
		return ccjob.Outcome{}, true
	}
	refusal := ccjob.Refuse(spec.ID, kind, reason)
	refusal.RetryAfter = retryAfter
	return refusal, false
}

func refuseInvalid(id ccjob.ID, err error) ccjob.Outcome {
	kind := ccjob.KindInvalid
	if jobError, ok := err.(*ccjob.Error); ok { //nolint:errorlint // Validate returns an unwrapped *ccjob.Error.
		return ccjob.Refuse(id, jobError.Kind, jobError.Text)
	}
	return ccjob.Refuse(id, kind, err.Error())
}

// refusalReason returns why the job must be refused, or an empty kind if it can
// be admitted.
func (d *Dispatcher) refusalReason(spec *ccjob.Spec, serviceSettings *ccsettings.Service) (ccjob.Kind, string) {
	s := d.service(spec.Service)
	team := d.teamSettings(spec.Team)
	switch {
	case !d.sendAllowed:
		return ccjob.KindUnavailable, "this entry is cut off from the store"
	case team.MaxTasks > 0 && s.teamTasks[spec.Team]+len(spec.Payloads) > team.MaxTasks:
		return ccjob.KindQuota, fmt.Sprintf("team %q is limited to %d waiting or running tasks at this entry", spec.Team, team.MaxTasks)
	case s.queue.Len()+len(spec.Payloads) > serviceSettings.QueueTasks:
		return ccjob.KindOverload, "the task queue has no room for the job"
	case s.completionRate.estimateWait(d.tasksAhead(s, spec)) > spec.Deadline:
		return ccjob.KindOverload, "the wait would be longer than the deadline"
	default:
		return "", ""
	}
}

// tasksAhead estimates how many tasks are served up to and including the last
// task of the job. Teams take turns, so each other team delays the job by no
// more tasks than this team has waiting, the job included. While jobs are
// waiting, more jobs are expected to arrive and take turns, so a long job is
// assumed to get at most one turn in as many as there are waiting jobs.
func (d *Dispatcher) tasksAhead(s *service, spec *ccjob.Spec) int {
	teamWaiting := s.queue.TeamLen(spec.Team) + len(spec.Payloads)
	total := s.queue.Len() + len(spec.Payloads)
	teams := max(len(s.teamTasks), 1)
	return max(min(total, teamWaiting*teams), len(spec.Payloads)*s.queue.Jobs())
}

// teamSettings returns the settings of a team, or the defaults if it has none.
func (d *Dispatcher) teamSettings(name string) ccsettings.Team {
	if team, ok := d.settings.Teams[name]; ok {
		return team
	}
	return ccsettings.DefaultTeam()
}

// Submission is a job that this entry has claimed.
type Submission struct {
	Spec  ccjob.Spec
	Claim uint64
	// Arrived is the start of the deadline period.
	Arrived time.Time
	// Prior is the state of the tasks that agents reported for an earlier
	// driver of the job. Tasks that are not listed have provably not started.
	Prior []PriorTask
}

// PriorState is the state of a task under an earlier driver of its job.
type PriorState uint8

const (
	// PriorDone is a task that completed and whose answer is known.
	PriorDone PriorState = iota
	// PriorRunning is a task that is running at an agent, which will report its
	// result.
	PriorRunning
	// PriorLost is a task that started or may have started, and whose result is
	// unavailable.
	PriorLost
	// PriorFailed is a task that ran and failed.
	PriorFailed
)

// PriorTask describes one task under an earlier driver of its job.
type PriorTask struct {
	Index   int
	State   PriorState
	Answer  string
	Agent   ccnode.Ref // Set for PriorRunning.
	Attempt int        // Set for PriorRunning.
}

// Submit starts running a claimed job, which must have passed Admit. A job ID
// that is already known is ignored.
func (d *Dispatcher) Submit(now time.Time, submission Submission) {
	spec := submission.Spec
	if _, known := d.jobs[spec.ID]; known {
		return
	}
	d.counts.JobsSubmitted++
	j := &job{
		spec:    spec,
		claim:   submission.Claim,
		arrived: submission.Arrived,
		due:     submission.Arrived.Add(spec.Deadline),
		tasks:   make([]task, len(spec.Payloads)),
	}
	d.jobs[spec.ID] = j
	heap.Push(&d.deadlines, j)
	s := d.service(spec.Service)
	s.addJob(j)
	kind := d.applyPrior(j, submission.Prior)
	share := d.teamSettings(spec.Team).Share
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			j.waiting++
			s.queue.Push(spec.Team, share, spec.ID, i)
		}
	}
	switch {
	case kind != "":
		d.fail(now, j, kind, "a task sent by an earlier entry failed, or its answer is lost")
	case j.complete():
		d.completeJob(now, j)
	}
}

// applyPrior takes over the task states from earlier drivers. It returns the
// kind of failure if they have already made the job fail, or an empty kind.
func (d *Dispatcher) applyPrior(j *job, priors []PriorTask) ccjob.Kind {
	var kind ccjob.Kind
	for _, prior := range priors {
		t := &j.tasks[prior.Index]
		j.mayHaveStarted = true
		switch prior.State {
		case PriorDone:
			t.state, t.answer = taskDone, prior.Answer
			j.done++
		case PriorRunning:
			if !d.adoptTask(prior.Agent, taskKey{j.spec.ID, prior.Index}) {
				t.state = taskLost
				kind = ccjob.KindLost
				continue
			}
			t.state, t.agent, t.attempt = taskSent, prior.Agent, prior.Attempt
			j.sent++
		case PriorLost:
			t.state = taskLost
			kind = ccjob.KindLost
		case PriorFailed:
			t.state = taskLost
			kind = ccjob.KindTaskFailed
		}
	}
	return kind
}

// Cancel ends a job at the client's request. Tasks that have not been sent are
// dropped. Agents are not notified: they do not queue tasks, so a sent task
// either has started or is returned, and mass cancellation causes no messages.
// Cancel reports whether the job was known and had not ended.
func (d *Dispatcher) Cancel(now time.Time, id ccjob.ID) bool {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return false
	}
	d.record(now, ccevent.Event{Kind: ccevent.KindCanceled, Job: id, Index: ccevent.NoIndex, Team: j.spec.Team})
	d.fail(now, j, ccjob.KindCanceled, "the client canceled the job")
	return true
}
