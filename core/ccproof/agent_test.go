package ccproof

import (
	"time"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// agent is a process that runs the real controller, with a target whose tasks end
// when finishTask is called.
type agent struct {
	w          *world
	id         ccnode.ID
	ref        ccnode.Ref
	controller *ccagent.Controller
	paused     bool
	running    []ccagent.Start
}

// start begins a new incarnation with empty state. With the incarnation guard
// disabled, it keeps the old incarnation number.
func (a *agent) start() {
	if a.ref.Incarnation == 0 || a.w.guards.incarnation {
		for i := range a.w.agentIncarnations {
			if a.w.agentIncarnations[i].Ref == a.ref {
				a.w.agentIncarnations[i].End = a.w.now
			}
		}
		a.ref = ccnode.Ref{ID: a.id, Incarnation: a.w.nextIncarnation()}
		a.w.agentIncarnations = append(a.w.agentIncarnations, ccclaim.AgentIncarnation{Ref: a.ref, Start: a.w.now})
	}
	a.running = nil
	a.controller = ccagent.NewController(ccagent.Config{
		Self: a.ref, Domain: "north", Service: service, Slots: 1, StartedAt: a.w.now,
		Guards: ccagent.Guards{SkipFence: !a.w.guards.fence, SkipTombstone: !a.w.guards.tombstone},
	})
}

func (a *agent) tick() {
	a.controller.Tick(a.w.now)
	a.report()
}

func (a *agent) dispatch(from ccnode.Ref, message ccwire.Dispatch) {
	result := a.controller.Dispatch(a.w.now, from, message)
	for _, start := range result.Starts {
		a.w.taskStarted(a, start.Job, start.Index, start.Claim)
		a.running = append(a.running, start)
	}
	a.report()
}

// finishTask ends a running task.
func (a *agent) finishTask(index int) {
	start := a.running[index]
	a.running = append(a.running[:index:index], a.running[index+1:]...)
	a.controller.TaskFinished(a.w.now, ccagent.TaskResult{
		Job: start.Job, Index: start.Index, Attempt: start.Attempt, Claim: start.Claim,
		Code: ccwire.CodeDone, Payload: answerOf(start.Job, start.Index), RunTime: 50 * time.Millisecond,
	})
	a.report()
}

func (a *agent) report() {
	for _, ref := range a.controller.ReportsDue() {
		report, ok := a.controller.TakeReport(a.w.now, ref)
		if !ok {
			continue
		}
		a.w.send(string(ref.ID), "report of "+a.ref.String(), func() {
			e := a.w.entryAt(ref.ID)
			if e.ref == ref {
				e.step(func() { e.dispatcher.HandleReport(e.clock(), report) })
			}
		})
	}
}
