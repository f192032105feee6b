package ccagent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Revoke leaves a tombstone for each task that has not started, and answers for
// each what it knows. A revoke that was meant for an earlier life is answered
// with CodeLost throughout: this life can't tell. The error is an *Error of
// KindFull, and then nothing is promised.
func (c *Controller) Revoke(now time.Time, msg ccwire.Revoke) (ccwire.RevokeReply, error) {
	c.observe(now)
	reply := ccwire.RevokeReply{Agent: c.cfg.Self}
	another := msg.Agent != c.cfg.Self && !c.cfg.Guards.SkipIncarnation
	if !another && !c.memory.roomForPromise(revokeMarks(msg)) {
		return reply, &Error{Op: "revoke", Kind: KindFull}
	}
	for _, part := range msg.Jobs {
		answer := ccwire.ReportJob{ID: part.ID, Claim: part.Claim}
		for _, asked := range part.Tasks {
			report := ccwire.TaskReport{Index: asked.Index, Attempt: asked.Attempt, Code: ccwire.CodeLost, Reason: "the agent has restarted"}
			if !another {
				report = c.revokeTask(now, part, asked)
			}
			answer.Tasks = append(answer.Tasks, report)
		}
		reply.Jobs = append(reply.Jobs, answer)
	}
	return reply, nil
}

func (c *Controller) revokeTask(now time.Time, part ccwire.RevokeJob, asked ccwire.RevokeTask) ccwire.TaskReport {
	known := c.memory.task(c.memory.touch(now, part.ID), asked.Index)
	if known.started {
		return known.report(asked.Index, asked.Attempt)
	}
	known.bury(part.Claim, asked.Attempt)
	c.forgetHeld(part.ID, asked.Index)
	return ccwire.TaskReport{Index: asked.Index, Attempt: asked.Attempt, Code: ccwire.CodeFenced}
}

func revokeMarks(msg ccwire.Revoke) int {
	marks := 0
	for _, part := range msg.Jobs {
		marks += 1 + len(part.Tasks)
	}
	return marks
}

// Recover fences every earlier claim of the jobs and lists what started here.
// From now on the ends of those tasks go to the entry that asks. The error is an
// *Error of KindFull, and then nothing is promised.
func (c *Controller) Recover(now time.Time, from ccnode.Ref, msg ccwire.Recover) (ccwire.RecoverReply, error) {
	c.observe(now)
	reply := ccwire.RecoverReply{Agent: c.cfg.Self, MemorySince: c.cfg.StartedAt.UnixMilli()}
	if !c.memory.roomForPromise(len(msg.Jobs)) {
		return reply, &Error{Op: "recover", Kind: KindFull}
	}
	for _, asked := range msg.Jobs {
		j := c.memory.touch(now, asked.ID)
		if asked.Claim >= j.claim {
			j.claim, j.owner = asked.Claim, from
		}
		if started := j.started(); len(started) > 0 {
			reply.Jobs = append(reply.Jobs, ccwire.ReportJob{ID: asked.ID, Claim: asked.Claim, Tasks: started})
		}
	}
	return reply, nil
}

// started lists what is known of the started tasks, in their order.
func (j *job) started() []ccwire.TaskReport {
	var reports []ccwire.TaskReport
	for index, known := range j.tasks {
		if known.started {
			reports = append(reports, known.report(index, known.attempt))
		}
	}
	slices.SortFunc(reports, func(a, b ccwire.TaskReport) int { return cmp.Compare(a.Index, b.Index) })
	return reports
}
