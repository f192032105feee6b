package ccagent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Revoke adds a tombstone for each task that has not started, and returns the
// state of every task. If the revoke is meant for another incarnation, it answers
// CodeLost for all tasks, since this incarnation can't know whether they started.
// The error is an *Error of KindFull; nothing is guaranteed then.
func (c *Controller) Revoke(now time.Time, msg ccwire.Revoke) (ccwire.RevokeReply, error) {
	c.advanceClock(now)
	reply := ccwire.RevokeReply{Agent: c.cfg.Self}
	otherIncarnation := msg.Agent != c.cfg.Self && !c.cfg.Guards.SkipIncarnation
	if !otherIncarnation && !c.jobs.hasReserve(recordsNeeded(msg)) {
		return reply, &Error{Op: "revoke", Kind: KindFull}
	}
	for _, part := range msg.Jobs {
		answer := ccwire.ReportJob{ID: part.ID, Claim: part.Claim}
		for _, task := range part.Tasks {
			report := ccwire.TaskReport{Index: task.Index, Attempt: task.Attempt, Code: ccwire.CodeLost, Reason: "the agent has restarted"}
			if !otherIncarnation {
				report = c.revokeTask(now, part, task)
			}
			answer.Tasks = append(answer.Tasks, report)
		}
		reply.Jobs = append(reply.Jobs, answer)
	}
	return reply, nil
}

func (c *Controller) revokeTask(now time.Time, part ccwire.RevokeJob, task ccwire.RevokeTask) ccwire.TaskReport {
	rec := c.jobs.ensureTask(c.jobs.ensureJob(now, part.ID), task.Index)
	if rec.started {
		return rec.report(task.Index, task.Attempt)
	}
	rec.addTombstone(part.Claim, task.Attempt)
	c.removeQueued(part.ID, task.Index)
	return ccwire.TaskReport{Index: task.Index, Attempt: task.Attempt, Code: ccwire.CodeFenced}
}

func recordsNeeded(msg ccwire.Revoke) int {
	n := 0
	for _, part := range msg.Jobs {
		n += 1 + len(part.Tasks)
	}
	return n
}

// Recover fences all earlier claims of the jobs and lists the tasks that started
// here. From then on the results of those tasks go to the requesting entry. The
// error is an *Error of KindFull; nothing is guaranteed then.
func (c *Controller) Recover(now time.Time, from ccnode.Ref, msg ccwire.Recover) (ccwire.RecoverReply, error) {
	c.advanceClock(now)
	reply := ccwire.RecoverReply{Agent: c.cfg.Self, MemorySince: c.cfg.StartedAt.UnixMilli()}
	if !c.jobs.hasReserve(len(msg.Jobs)) {
		return reply, &Error{Op: "recover", Kind: KindFull}
	}
	for _, part := range msg.Jobs {
		j := c.jobs.ensureJob(now, part.ID)
		if part.Claim >= j.claim {
			j.claim, j.driver = part.Claim, from
		}
		if started := j.startedReports(); len(started) > 0 {
			reply.Jobs = append(reply.Jobs, ccwire.ReportJob{ID: part.ID, Claim: part.Claim, Tasks: started})
		}
	}
	return reply, nil
}

// startedReports returns the state of the started tasks, ordered by index.
func (j *jobRecord) startedReports() []ccwire.TaskReport {
	var reports []ccwire.TaskReport
	for index, rec := range j.tasks {
		if rec.started {
			reports = append(reports, rec.report(index, rec.attempt))
		}
	}
	slices.SortFunc(reports, func(a, b ccwire.TaskReport) int { return cmp.Compare(a.Index, b.Index) })
	return reports
}
