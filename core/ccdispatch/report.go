package ccdispatch

import (
	"slices"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Report takes the ends of tasks from an agent.
func (d *Dispatcher) Report(now time.Time, report ccwire.Report) {
	a, ok := d.agents[report.Agent.ID]
	if !ok || a.ref != report.Agent || a.session != report.Session {
		d.counts.StaleReports++
		return
	}
	d.counts.Reports++
	a.lastSeen = now
	a.echo = max(a.echo, report.Clock)
	a.version, a.leaving = max(a.version, report.Version), report.Leaving
	a.noteFree(report)
	for i := range report.Jobs {
		d.reportJob(now, a, &report.Jobs[i], source{cause: report.Cause})
	}
}

// source says how news of a task came.
type source struct {
	cause   uint64
	revoked bool // In reply to a revoke of this entry.
}

// noteFree takes the agent's count and subtracts what it had not seen.
func (a *agent) noteFree(report ccwire.Report) {
	a.unseen = slices.DeleteFunc(a.unseen, func(b sentBatch) bool { return b.seq <= report.HandledSeq })
	a.free = report.FreeSlots
	for _, b := range a.unseen {
		a.free -= b.tasks
	}
	if report.OfferedSlots > 0 {
		a.offered = true
		a.wanted = max(0, a.wanted-report.OfferedSlots)
	}
}

// Revoked takes an agent's reply to a revoke. A reply of another life of the
// agent proves nothing.
func (d *Dispatcher) Revoked(now time.Time, reply ccwire.RevokeReply) {
	a, ok := d.agents[reply.Agent.ID]
	if !ok || a.ref != reply.Agent {
		d.counts.StaleReports++
		return
	}
	a.lastSeen = now
	for i := range reply.Jobs {
		d.reportJob(now, a, &reply.Jobs[i], source{cause: reply.Cause, revoked: true})
	}
}

func (d *Dispatcher) reportJob(now time.Time, a *agent, part *ccwire.ReportJob, from source) {
	j, ok := d.jobs[part.ID]
	if !ok || j.claim != part.Claim {
		d.counts.StaleReports++
		return
	}
	for i := range part.Tasks {
		d.reportTask(now, a, j, &part.Tasks[i], from)
	}
	d.forgetIfQuiet(j)
}

func (d *Dispatcher) reportTask(now time.Time, a *agent, j *job, r *ccwire.TaskReport, from source) {
	if r.Index < 0 || r.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.state != taskSent || t.agent != a.ref || t.attempt != r.Attempt {
		d.counts.StaleReports++
		return
	}
	if r.Code == ccwire.CodeRunning {
		j.started = true
		return
	}
	delete(a.out, outKey{j.spec.ID, r.Index})
	j.sent--
	event := ccevent.Event{
		Job: j.spec.ID, Index: r.Index, Claim: j.claim, Team: j.spec.Team, Peer: a.ref.ID, Domain: a.domain,
		Cause: ccevent.Cause{Node: a.ref.ID, Incarnation: a.ref.Incarnation, Seq: from.cause}, Text: string(r.Code),
	}
	if !r.Code.Started() {
		event.Kind = ccevent.KindReturned
		d.record(now, event)
		d.returned(now, a, j, r, from)
		return
	}
	event.Kind = ccevent.KindAnswered
	d.record(now, event)
	j.started = true
	d.service(j.spec.Service).rate.ended++
	switch r.Code {
	case ccwire.CodeDone:
		d.taskDone(now, a, j, t, r)
	case ccwire.CodeFailed:
		d.taskFailed(now, a, j, t, r)
	default:
		t.state = taskLost
		d.counts.TasksLost++
		d.blame(now, a, j)
		if !j.ended {
			d.fail(now, j, ccjob.KindLost, "the target was given the task and its answer is lost")
		}
	}
}

func (d *Dispatcher) taskDone(now time.Time, a *agent, j *job, t *task, r *ccwire.TaskReport) {
	t.state, t.answer = taskDone, r.Payload
	j.done++
	d.counts.TasksDone++
	a.speed.Observe(time.Duration(r.RunMS * float64(time.Millisecond)))
	a.health.Succeeded(now)
	if !j.ended && j.complete() {
		d.completeJob(now, j)
	}
}

func (d *Dispatcher) completeJob(now time.Time, j *job) {
	d.counts.JobsComplete++
	d.end(now, j, ccjob.Complete(j.spec.ID, j.answers()))
}

func (d *Dispatcher) taskFailed(now time.Time, a *agent, j *job, t *task, r *ccwire.TaskReport) {
	t.state = taskLost
	d.blame(now, a, j)
	if !j.ended {
		d.fail(now, j, ccjob.KindTaskFailed, "a task ran and failed: "+r.Reason)
	}
}

// blame counts a failure against the target, unless the job fails at other
// targets too, which makes it the job's own.
func (d *Dispatcher) blame(now time.Time, a *agent, j *job) {
	if len(j.failedAt) > 0 && !slices.Contains(j.failedAt, a.ref.ID) {
		for _, id := range j.failedAt {
			if other, ok := d.agents[id]; ok {
				other.health.Excuse(j.spec.ID)
			}
		}
		j.failedAt = append(j.failedAt, a.ref.ID)
		return
	}
	if len(j.failedAt) > 1 {
		return
	}
	j.failedAt = []ccnode.ID{a.ref.ID}
	if a.health.Failed(now, j.spec.ID) {
		d.counts.TargetEjected++
		a.ejected = true
		d.record(now, ccevent.Event{Kind: ccevent.KindEjected, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain, Text: "too many tasks fail there"})
	}
}

// returned puts a task back that provably did not start.
func (d *Dispatcher) returned(now time.Time, a *agent, j *job, r *ccwire.TaskReport, from source) {
	d.counts.TasksReturned++
	t := &j.tasks[r.Index]
	t.state = taskWaiting
	switch r.Code {
	case ccwire.CodeRefused:
		a.heldTill = now.Add(refusedHold + time.Duration(d.random.Int64N(int64(refusedHold))))
	case ccwire.CodeFull:
		a.free = min(a.free, 0)
	default:
	}
	if j.ended {
		return
	}
	if r.Code == ccwire.CodeFenced && !from.revoked {
		// A later driver has the job; what it started is unknown here.
		j.started = true
		d.fail(now, j, ccjob.KindLost, "another entry took the job over")
		return
	}
	s := d.service(j.spec.Service)
	if !d.spend(s, r.Code) {
		d.fail(now, j, ccjob.KindOverload, "the retry budget is spent")
		return
	}
	j.waiting++
	s.queue.PushFront(j.spec.Team, d.team(j.spec.Team).Share, j.spec.ID, r.Index)
}

// spend takes a resend from the budget. Sends that only found a slot taken are
// the price of late binding and are bound by the slots; they cost nothing.
func (d *Dispatcher) spend(s *service, code ccwire.TaskCode) bool {
	if !s.guards.Guards || code != ccwire.CodeRefused {
		return true
	}
	if s.budget < 1 {
		return false
	}
	s.budget--
	return true
}
