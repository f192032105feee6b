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

// Retry advice to clients, in whole seconds since the HTTP header has no finer
// unit.
const retryAfter = time.Second

// Check checks a job against the settings' limits. Such a job never runs, so it
// is refused before it is claimed. It returns true, or the refusal.
func (d *Dispatcher) Check(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	guards, ok := d.settings.Services[spec.Service]
	if !ok {
		return ccjob.Refuse(spec.ID, ccjob.KindUnknownService, fmt.Sprintf("no service is named %q", spec.Service)), false
	}
	limits := ccjob.Limits{MaxPayloadBytes: guards.MaxPayloadBytes, MaxDeadline: guards.MaxDeadline.Std()}
	if err := spec.Validate(limits); err != nil {
		return refuseInvalid(spec.ID, err), false
	}
	return ccjob.Outcome{}, true
}

// Admit decides by the guards and the team's quota whether a job that passed
// Check, and whose claim is new, is taken. Without the claim nobody could say
// that it has not run elsewhere. It returns true, or the refusal.
func (d *Dispatcher) Admit(spec *ccjob.Spec) (ccjob.Outcome, bool) {
	guards := d.service(spec.Service).guards
	kind, reason := d.overload(spec, &guards)
	if kind == "" {
		return ccjob.Outcome{}, true
	}
	refusal := ccjob.Refuse(spec.ID, kind, reason)
	refusal.RetryAfter = retryAfter
	return refusal, false
}

func refuseInvalid(id ccjob.ID, err error) ccjob.Outcome {
	kind := ccjob.KindInvalid
	if jobError, ok := err.(*ccjob.Error); ok { //nolint:errorlint // Validate returns the type unwrapped.
		return ccjob.Refuse(id, jobError.Kind, jobError.Text)
	}
	return ccjob.Refuse(id, kind, err.Error())
}

func (d *Dispatcher) overload(spec *ccjob.Spec, guards *ccsettings.Service) (ccjob.Kind, string) {
	s := d.service(spec.Service)
	team := d.team(spec.Team)
	switch {
	case !d.open:
		return ccjob.KindUnavailable, "this entry is cut off from the settings"
	case team.MaxTasks > 0 && s.teamTasks[spec.Team]+len(spec.Payloads) > team.MaxTasks:
		return ccjob.KindQuota, fmt.Sprintf("team %q may have %d tasks waiting or running here", spec.Team, team.MaxTasks)
	case s.queue.Len()+len(spec.Payloads) > guards.QueueTasks:
		return ccjob.KindOverload, "too many tasks are waiting"
	case s.rate.wait(d.ahead(s, spec)) > spec.Deadline:
		return ccjob.KindOverload, "the wait would be longer than the deadline"
	default:
		return "", ""
	}
}

// ahead is about how many tasks are served before the job's last one. A team is
// served in turn with the others, so what others have waiting beyond the job's
// own length doesn't delay it. While jobs wait, others will come and take turns
// too, so a long job gets no more than one turn in as many.
func (d *Dispatcher) ahead(s *service, spec *ccjob.Spec) int {
	own := s.queue.TeamLen(spec.Team) + len(spec.Payloads)
	total := s.queue.Len() + len(spec.Payloads)
	teams := max(len(s.teamTasks), 1)
	return max(min(total, own*teams), len(spec.Payloads)*s.queue.Jobs())
}

func (d *Dispatcher) team(name string) ccsettings.Team {
	if team, ok := d.settings.Teams[name]; ok {
		return team
	}
	return ccsettings.DefaultTeam()
}

// Submission is a job that this entry has claimed.
type Submission struct {
	Spec  ccjob.Spec
	Claim uint64
	// Deadline counts from here.
	Arrived time.Time
	// Prior is what an earlier driver's agents know of the job's tasks. Tasks not
	// named have provably not started.
	Prior []PriorTask
}

// PriorState is what became of a task under an earlier driver.
type PriorState uint8

const (
	// PriorDone is a task whose answer is at hand.
	PriorDone PriorState = iota
	// PriorRunning is a task that runs at an agent, whose report will come.
	PriorRunning
	// PriorLost is a task that started, or may have, with nobody to tell.
	PriorLost
	// PriorFailed is a task that ran and failed.
	PriorFailed
)

// PriorTask is one task's past.
type PriorTask struct {
	Index   int
	State   PriorState
	Answer  string
	Agent   ccnode.Ref // For PriorRunning.
	Attempt int        // For PriorRunning.
}

// Submit starts to drive a claimed job. The job must have passed Admit. An ID
// that is driven already is ignored.
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
	heap.Push(&d.deadline, j)
	s := d.service(spec.Service)
	s.admit(j)
	kind := d.applyPrior(j, submission.Prior)
	share := d.team(spec.Team).Share
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			j.waiting++
			s.queue.Push(spec.Team, share, spec.ID, i)
		}
	}
	switch {
	case kind != "":
		d.fail(now, j, kind, "a task started under an earlier entry and has no answer to show")
	case j.complete():
		d.completeJob(now, j)
	}
}

// applyPrior takes over what earlier drivers did. It returns the kind with which
// the job has failed already, or none.
func (d *Dispatcher) applyPrior(j *job, priors []PriorTask) ccjob.Kind {
	var kind ccjob.Kind
	for _, prior := range priors {
		t := &j.tasks[prior.Index]
		j.started = true
		switch prior.State {
		case PriorDone:
			t.state, t.answer = taskDone, prior.Answer
			j.done++
		case PriorRunning:
			if !d.track(prior.Agent, outKey{j.spec.ID, prior.Index}) {
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

// Cancel ends a job whose client no longer wants it: what has not been sent is
// never sent. Agents hold no queue, so what was sent has started or comes back,
// and a wave of cancellations costs no messages. It reports whether the job was
// known.
func (d *Dispatcher) Cancel(now time.Time, id ccjob.ID) bool {
	j, ok := d.jobs[id]
	if !ok || j.ended {
		return false
	}
	d.record(now, ccevent.Event{Kind: ccevent.KindCanceled, Job: id, Index: ccevent.NoIndex, Team: j.spec.Team})
	d.fail(now, j, ccjob.KindCanceled, "the client canceled the job")
	return true
}
