package ccentry

import (
	"context"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

// recoverBatch is what one agent is asked in one message.
type recoverBatch struct {
	tokens  []ccclaim.Token
	message ccwire.Recover
}

// addRecover puts a job into the next message to an agent.
func (p *presence) addRecover(action *ccclaim.SendRecover) {
	batch, ok := p.recovers[action.Agent.ID]
	if !ok {
		batch = &recoverBatch{}
		p.recovers[action.Agent.ID] = batch
	}
	batch.tokens = append(batch.tokens, action.Token)
	batch.message.Jobs = append(batch.message.Jobs, action.Message.Jobs...)
}

// sendRecovers asks the agents. An agent that doesn't answer is asked again.
func (p *presence) sendRecovers(now time.Time) {
	for id, batch := range p.recovers {
		delete(p.recovers, id)
		batch.message.Cause = p.entry.cfg.Ring.Newest()
		p.entry.visit(now, id)
		p.entry.push(id, outgoing{reply: func(peer *ccrpc.Peer, ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			var reply ccwire.RecoverReply
			if err := peer.Call(ctx, ccwire.MethodRecover, &batch.message, &reply); err != nil {
				return
			}
			p.entry.do(func(now time.Time) {
				for i := range batch.message.Jobs {
					p.entry.heard(batch.message.Jobs[i].ID, reply.Agent, reply.Cause)
				}
				for _, token := range batch.tokens {
					p.requester.HandleRecoverReply(now, token, reply)
				}
			})
		}})
	}
}

// driveRecovered hands a job over with what is left of it. Agents that run tasks
// of it are asked once more: a task may have ended since they answered, and its
// report may have come before the dispatcher knew the job.
func (p *presence) driveRecovered(now time.Time, job *pendingJob, action *ccclaim.Drive) {
	prior := make([]ccdispatch.PriorTask, 0, len(action.Recovered))
	running := make(map[ccnode.Ref][]ccwire.RevokeTask)
	for _, fate := range action.Recovered {
		if fate.State == ccclaim.TaskNotStarted {
			continue
		}
		past := priorOf(fate)
		prior = append(prior, past)
		if past.State == ccdispatch.PriorRunning {
			running[past.Agent] = append(running[past.Agent], ccwire.RevokeTask{Index: past.Index, Attempt: past.Attempt})
		}
	}
	p.entry.cfg.Ring.Record(now, ccevent.Event{
		Kind: ccevent.KindRecovered, Job: action.JobID, Index: ccevent.NoIndex, Count: len(prior), Claim: action.Claim,
		Team: job.spec.Team, Cause: job.cause,
	})
	p.entry.drive(now, job, action.Claim, prior)
	for ref, tasks := range running {
		p.entry.sendRevoke(&ccdispatch.SendRevoke{Agent: ref.ID, Message: ccwire.Revoke{
			Agent: ref, Jobs: []ccwire.RevokeJob{{ID: action.JobID, Claim: action.Claim, Tasks: tasks}},
		}})
	}
}

func priorOf(fate ccclaim.RecoveredTask) ccdispatch.PriorTask {
	report := fate.Report.Task
	past := ccdispatch.PriorTask{
		Index: fate.Index, State: ccdispatch.PriorLost, Agent: fate.Report.Agent, Attempt: report.Attempt, Answer: report.Payload,
	}
	switch {
	case fate.State == ccclaim.TaskRunning:
		past.State = ccdispatch.PriorRunning
	case fate.State == ccclaim.TaskEnded && report.Code == ccwire.CodeDone:
		past.State = ccdispatch.PriorDone
	case fate.State == ccclaim.TaskEnded && report.Code == ccwire.CodeFailed:
		past.State = ccdispatch.PriorFailed
	}
	return past
}
