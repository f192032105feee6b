package ccclaim_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

const recovered = "job"

func life(id string, incarnation uint64, from time.Time) ccclaim.AgentIncarnation {
	return ccclaim.AgentIncarnation{Ref: ccnode.Ref{ID: ccnode.ID(id), Incarnation: ccnode.Incarnation(incarnation)}, Start: from}
}

func newRecovery(lives ...ccclaim.AgentIncarnation) *ccclaim.Recovery {
	return ccclaim.NewRecovery(ccclaim.RecoveryConfig{
		JobID: recovered, Claim: 9, Tasks: 3, Since: start, Incarnations: lives,
	})
}

func recoverReply(from ccclaim.AgentIncarnation, since time.Time, tasks ...ccwire.TaskReport) ccwire.RecoverReply {
	return ccwire.RecoverReply{
		Agent: from.Ref, MemorySince: since.UnixMilli(),
		Jobs: []ccwire.ReportJob{{ID: recovered, Claim: 8, Tasks: tasks}},
	}
}

func assertFates(t *testing.T, r *ccclaim.Recovery, want ...ccclaim.TaskState) {
	t.Helper()
	for index, fate := range r.Tasks() {
		if fate.State != want[index] {
			t.Errorf("task %d is %s, want %s", index, fate.State, want[index])
		}
	}
}

func TestRecovery(t *testing.T) {
	before := start.Add(-time.Minute)
	x, y := life("x", 1, before), life("y", 1, before)

	t.Run("all are heard", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeDone, Payload: "p"}))
		if r.Done() {
			t.Error("done before y was heard")
		}
		assertFates(t, r, ccclaim.TaskEnded, ccclaim.TaskLost, ccclaim.TaskLost)
		r.HandleReply(recoverReply(y, before, ccwire.TaskReport{Index: 1, Code: ccwire.CodeRunning}))
		assertFates(t, r, ccclaim.TaskEnded, ccclaim.TaskRunning, ccclaim.TaskNotStarted)
		if ccclaim.NotRun(r.Tasks()) {
			t.Error("not run, with a task that ended")
		}
	})
	t.Run("tasks that went back count as not started", func(t *testing.T) {
		r := newRecovery(x)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeFull}))
		if !ccclaim.NotRun(r.Tasks()) {
			t.Error("a task that found no slot counts as started")
		}
	})
	t.Run("an agent that can't be heard", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before, ccwire.TaskReport{Index: 0, Code: ccwire.CodeDone}))
		r.GiveUp(y.Ref)
		assertFates(t, r, ccclaim.TaskEnded, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("a life that ended earlier doesn't matter", func(t *testing.T) {
		ended := y
		ended.End = start.Add(-time.Second)
		r := newRecovery(x, ended)
		r.HandleReply(recoverReply(x, before))
		assertFates(t, r, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted)
	})
	t.Run("a life that ended since does", func(t *testing.T) {
		ended := y
		ended.End = start.Add(time.Second)
		r := newRecovery(x, ended)
		r.HandleReply(recoverReply(x, before))
		assertFates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("a later life says nothing about the one that was asked", func(t *testing.T) {
		r := newRecovery(x, y)
		r.HandleReply(recoverReply(x, before))
		r.HandleReply(recoverReply(life("y", 2, start), start.Add(time.Second)))
		if !r.Done() {
			t.Error("waits for a life that is over")
		}
		assertFates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("an agent that forgot does not vouch", func(t *testing.T) {
		r := newRecovery(x)
		r.HandleReply(recoverReply(x, start.Add(time.Millisecond)))
		assertFates(t, r, ccclaim.TaskLost, ccclaim.TaskLost, ccclaim.TaskLost)
	})
	t.Run("an agent that started later vouches for its whole life", func(t *testing.T) {
		late := life("z", 1, start.Add(time.Second))
		r := newRecovery(x, late)
		r.HandleReply(recoverReply(x, before))
		r.HandleReply(recoverReply(late, late.Start))
		assertFates(t, r, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted, ccclaim.TaskNotStarted)
	})
}
