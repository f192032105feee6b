package ccdispatch

import (
	"slices"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// HandleReport processes a report of task results and free slots from an agent.
func (d *Dispatcher) HandleReport(now time.Time, report ccwire.Report) {
	a, ok := d.agents[report.Agent.ID]
	if !ok || a.ref != report.Agent || a.session != report.Session {
		d.counts.StaleReports++
		return
	}
	d.counts.Reports++
	a.lastSeen = now
	a.clock = max(a.clock, report.Clock)
	a.version, a.leaving = max(a.version, report.Version), report.Leaving
	a.updateFree(report)
	for i := range report.Jobs {
		d.handleJobReport(now, a, &report.Jobs[i], reportSource{cause: report.Cause})
	}
}

// reportSource tells which message a task report arrived in.
type reportSource struct {
	cause   uint64 // Sequence number of the agent's newest event.
	revoked bool   // The message is a reply to a revoke from this entry.
}

// updateFree sets the count of free slots to the reported one, less the tasks
// in dispatches that the report does not cover. It also records offered slots.
func (a *agent) updateFree(report ccwire.Report) {
	a.unacked = slices.DeleteFunc(a.unacked, func(b unackedDispatch) bool { return b.seq <= report.HandledSeq })
	a.free = report.FreeSlots
	for _, b := range a.unacked {
		a.free -= b.tasks
	}
	if report.OfferedSlots > 0 {
		a.hasOffer = true
		a.lastWant = max(0, a.lastWant-report.OfferedSlots)
	}
}

// HandleRevokeReply processes an agent's reply to a revoke. A reply from
// another incarnation of the agent proves nothing about the tasks and is
// ignored.
func (d *Dispatcher) HandleRevokeReply(now time.Time, reply ccwire.RevokeReply) {
	a, ok := d.agents[reply.Agent.ID]
	if !ok || a.ref != reply.Agent {
		d.counts.StaleReports++
		return
	}
	a.lastSeen = now
	for i := range reply.Jobs {
		d.handleJobReport(now, a, &reply.Jobs[i], reportSource{cause: reply.Cause, revoked: true})
	}
}

func (d *Dispatcher) handleJobReport(now time.Time, a *agent, part *ccwire.ReportJob, from reportSource) {
	j, ok := d.jobs[part.ID]
	if !ok || j.claim != part.Claim {
		d.counts.StaleReports++
		return
	}
	for i := range part.Tasks {
		d.handleTaskReport(now, a, j, &part.Tasks[i], from)
	}
	d.removeIfDrained(j)
}

func (d *Dispatcher) handleTaskReport(now time.Time, a *agent, j *job, r *ccwire.TaskReport, from reportSource) {
	if r.Index < 0 || r.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.state != taskSent || t.agent != a.ref || t.attempt != r.Attempt {
		d.counts.StaleReports++
		return
	}
	if r.Code == ccwire.CodeRunning {
		j.mayHaveStarted = true
		return
	}
	delete(a.inFlight, taskKey{j.spec.ID, r.Index})
	j.sent--
	event := ccevent.Event{
		Job: j.spec.ID, Index: r.Index, Claim: j.claim, Team: j.spec.Team, Peer: a.ref.ID, Domain: a.domain,
		Cause: ccevent.Cause{Node: a.ref.ID, Incarnation: a.ref.Incarnation, Seq: from.cause}, Text: string(r.Code),
	}
	if !r.Code.Started() {
		event.Kind = ccevent.KindReturned
		d.record(now, event)
		d.requeue(now, a, j, r, from)
		return
	}
	event.Kind = ccevent.KindAnswered
	d.record(now, event)
	j.mayHaveStarted = true
	d.service(j.spec.Service).completionRate.completed++
	switch r.Code {
	case ccwire.CodeDone:
		d.completeTask(now, a, j, t, r)
	case ccwire.CodeFailed:
		d.failTask(now, a, j, t, r)
	default:
		t.state = taskLost
		d.counts.TasksLost++
		d.recordFailure(now, a, j)
		if !j.ended {
			d.fail(now, j, ccjob.KindLost, "a task was sent to the target, but its answer is lost")
		}
	}
}

func (d *Dispatcher) completeTask(now time.Time, a *agent, j *job, t *task, r *ccwire.TaskReport) {
	t.state, t.answer = taskDone, r.Payload
	j.done++
	d.counts.TasksDone++
	a.speed.Observe(time.Duration(r.RunMS * float64(time.Millisecond)))
	a.health.RecordSuccess(now)
	if !j.ended && j.complete() {
		d.completeJob(now, j)
	}
}

func (d *Dispatcher) completeJob(now time.Time, j *job) {
	d.counts.JobsComplete++
	d.end(now, j, ccjob.Complete(j.spec.ID, j.answers()))
}

func (d *Dispatcher) failTask(now time.Time, a *agent, j *job, t *task, r *ccwire.TaskReport) {
	t.state = taskLost
	d.recordFailure(now, a, j)
	if !j.ended {
		d.fail(now, j, ccjob.KindTaskFailed, "a task ran and failed: "+r.Reason)
	}
}

// recordFailure counts a task failure against the target. If tasks of the same
// job fail at several targets, the job is at fault and none of these targets is
// charged.
func (d *Dispatcher) recordFailure(now time.Time, a *agent, j *job) {
	if len(j.failedAgents) > 0 && !slices.Contains(j.failedAgents, a.ref.ID) {
		for _, id := range j.failedAgents {
			if other, ok := d.agents[id]; ok {
				other.health.DiscardFailures(j.spec.ID)
			}
		}
		j.failedAgents = append(j.failedAgents, a.ref.ID)
		return
	}
	if len(j.failedAgents) > 1 {
		return
	}
	j.failedAgents = []ccnode.ID{a.ref.ID}
	if a.health.RecordFailure(now, j.spec.ID) {
		d.counts.TargetsEjected++
		a.ejectionRecorded = true
		d.record(now, ccevent.Event{Kind: ccevent.KindEjected, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain, Text: "too many tasks failed at this target"})
	}
}

// requeue returns a task that provably did not start to the queue.
func (d *Dispatcher) requeue(now time.Time, a *agent, j *job, r *ccwire.TaskReport, from reportSource) {
	d.counts.TasksReturned++
	t := &j.tasks[r.Index]
	t.state = taskWaiting
	switch r.Code {
	case ccwire.CodeRefused:
		a.backoffUntil = now.Add(refusedBackoff + time.Duration(d.random.Int64N(int64(refusedBackoff))))
	case ccwire.CodeFull:
		a.free = min(a.free, 0)
	default:
	}
	if j.ended {
		return
	}
	if r.Code == ccwire.CodeFenced && !from.revoked {
		// A later driver owns the job and may have started tasks of it.
		j.mayHaveStarted = true
		d.fail(now, j, ccjob.KindLost, "another entry took over the job")
		return
	}
	s := d.service(j.spec.Service)
	if !d.takeRetry(s, r.Code) {
		d.fail(now, j, ccjob.KindOverload, "the retry budget is spent")
		return
	}
	j.waiting++
	s.queue.PushFront(j.spec.Team, d.teamSettings(j.spec.Team).Share, j.spec.ID, r.Index)
}

// takeRetry takes one resend from the retry budget. It returns false if the
// budget is spent. Only resends after a refused connection are charged, and
// only with guards on. A send that finds all slots taken is a normal cost of
// late binding and is bounded by the number of slots, so its resend is free.
func (d *Dispatcher) takeRetry(s *service, code ccwire.TaskCode) bool {
	if !s.settings.Guards || code != ccwire.CodeRefused {
		return true
	}
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}
