package ccclaim_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

const recoveredJob = "job"

func newIncarnation(id string, incarnation uint64, from time.Time) ccclaim.AgentIncarnation {
	return ccclaim.AgentIncarnation{Ref: ccnode.Ref{ID: ccnode.ID(id), Incarnation: ccnode.Incarnation(incarnation)}, Start: from}
}

func newRecovery(incarnations ...ccclaim.AgentIncarnation) *ccclaim.Recovery {
	return ccclaim.NewRecovery(ccclaim.RecoveryConfig{
		JobID: recoveredJob, Claim: 9, Tasks: 3, Since: start, Incarnations: incarnations,
	})
}

func recoverReply(from ccclaim.AgentIncarnation, since time.Time, tasks ...ccwire.TaskReport) ccwire.RecoverReply {
	return ccwire.RecoverReply{
		Agent: from.Ref, MemorySince: since.UnixMilli(),
		Jobs: []ccwire.ReportJob{{ID: recoveredJob, Claim: 8, Tasks: tasks}},
	}
}

func assertStates(t *testing.T, r *ccclaim.Recovery, want ...ccclaim.TaskState) {
	t.Helper()
	for index, task := range r.Tasks() {
		if task.State != want[index] {
			t.Errorf("task %d is %s, want %s", index, task.State, want[index])
		}
	}
}

func TestRecovery(t *testing.T) {
	before := start.Add(-time.Minute)
	x, y := newIncarnation("x", 1, before), newIncarnation("y", 1, before)

	t.Run("all agents answer", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeDone, Payload: "p"}))
		if r.Done() {
			t.Error("done before y answered")
		}
		assertStates(t, r, ccclaim.TaskEnded, ccclaim.TaskLost, ccclaim.TaskLost)
		r.HandleReply(recoverReply(y, before, ccwire.TaskReport{Index: 1, Code: ccwire.CodeRunning}))
		assertStates(t, r, ccclaim.TaskEnded, ccclaim.TaskRunning, ccclaim.TaskNotStarted)
		if ccclaim.NotRun(r.Tasks()) {
			t.Error("NotRun is true although a task ended")
		}
	})
	t.Run("returned tasks count as not started", func(t *testing.T) {
		r := newRecovery(x)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeFull}))
		if !ccclaim.NotRun(r.Tasks()) {
			t.Error("a task that found no slot counts as started")
		}
	})
	t.Run("an agent is unreachable", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeDone}))
		r.GiveUp(y.Ref)
		assertStates(t, r, ccclaim.TaskEnded, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("an incarnation that ended before Since is ignored", func(t *testing.T) {
		ended := y
		ended.End = start.Add(-time.Second)
		r := newRecovery(x, ended)
		r.HandleReply(recoverReply(x, before))
		assertStates(t, r, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted)
	})
	t.Run("tasks are lost if an incarnation ended after Since", func(t *testing.T) {
		ended := y
		ended.End = start.Add(time.Second)
		r := newRecovery(x, ended)
		r.HandleReply(recoverReply(x, before))
		assertStates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("a later incarnation says nothing about the one that was asked", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before))
		r.HandleReply(recoverReply(newIncarnation("y", 2, start), start.Add(time.Second)))
		if !r.Done() {
			t.Error("waits for an incarnation that has ended")
		}
		assertStates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("an agent that has forgotten tasks can't prove that none started", func(t *testing.T) {
		r := newRecovery(x)
		r.HandleReply(recoverReply(x, start.Add(time.Millisecond)))
		assertStates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("an agent that started later knows all its tasks", func(t *testing.T) {
		late := newIncarnation("z", 1, start.Add(time.Second))
		r := newRecovery(x, late)
		r.HandleReply(recoverReply(x, before))
		r.HandleReply(recoverReply(late, late.Start))
		assertStates(t, r, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted)
	})
}
