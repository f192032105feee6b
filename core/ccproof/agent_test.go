package ccproof

import (
	"time"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// agent is a process around the real table, with a target that answers when it
// is told to.
type agent struct {
	w       *world
	id      ccnode.ID
	ref     ccnode.Ref
	table   *ccagent.Controller
	paused  bool
	running []ccagent.Start
}

// start begins a life with an empty memory. Without the incarnation check, lives
// can't be told apart.
func (a *agent) start() {
	if a.ref.Incarnation == 0 || a.w.guards.incarnation {
		for i := range a.w.lives {
			if a.w.lives[i].Ref == a.ref {
				a.w.lives[i].End = a.w.now
			}
		}
		a.ref = ccnode.Ref{ID: a.id, Incarnation: a.w.nextLife()}
		a.w.lives = append(a.w.lives, ccclaim.AgentIncarnation{Ref: a.ref, Start: a.w.now})
	}
	a.running = nil
	a.table = ccagent.NewController(ccagent.Config{
		Self: a.ref, Domain: "north", Service: service, Slots: 1, StartedAt: a.w.now,
		Guards: ccagent.Guards{SkipFence: !a.w.guards.fence, SkipTombstone: !a.w.guards.tombstone},
	})
}

func (a *agent) tick() {
	a.table.Tick(a.w.now)
	a.report()
}

func (a *agent) dispatch(from ccnode.Ref, message ccwire.Dispatch) {
	result := a.table.Dispatch(a.w.now, from, message)
	for _, start := range result.Starts {
		a.w.started(a, start.Job, start.Index, start.Claim)
		a.running = append(a.running, start)
	}
	a.report()
}

// finish ends a running task.
func (a *agent) finish(index int) {
	start := a.running[index]
	a.running = append(a.running[:index:index], a.running[index+1:]...)
	a.table.TaskFinished(a.w.now, ccagent.TaskResult{
		Job: start.Job, Index: start.Index, Attempt: start.Attempt, Claim: start.Claim,
		Code: ccwire.CodeDone, Payload: answerOf(start.Job, start.Index), RunTime: 50 * time.Millisecond,
	})
	a.report()
}

func (a *agent) report() {
	for _, ref := range a.table.ReportsDue() {
		report, ok := a.table.TakeReport(a.w.now, ref)
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
