package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// Guards against a start that counts as settled while the worker may still execute it, and
// against one that counts as pending for good.
func TestPendingStarts(t *testing.T) {
	task := ccwire.TaskRef{Job: "j1"}
	sent := func() (*pendingStarts, StartCall) {
		p := &pendingStarts{}
		return p, p.add(epoch, StartCall{Worker: "w-1", Task: task, Run: 1, Token: 7})
	}
	want := func(t *testing.T, p *pendingStarts, now time.Time, n int) {
		t.Helper()
		if _, found := p.ofTask(now, task); p.at(now, "w-1") != n || found != (n > 0) {
			t.Errorf("starts that may arrive after %v: got %d, one of the task %v, want %d", now.Sub(epoch), p.at(now, "w-1"), found, n)
		}
	}
	t.Run("a start may arrive from its sending", func(t *testing.T) {
		p, _ := sent()
		want(t, p, epoch, 1)
	})
	for _, status := range []Status{StatusOK, StatusNoCapacity, StatusStaleRun, StatusLeaseExpired, StatusFenced, StatusWrongInstance, StatusUnhealthy, StatusInvalid, StatusConnRefused} {
		t.Run("an answer settles it: "+string(status), func(t *testing.T) {
			p, call := sent()
			p.complete(epoch, call, status)
			want(t, p, epoch, 0)
		})
	}
	t.Run("without an answer it may arrive for the longest delay of the platform", func(t *testing.T) {
		p, call := sent()
		missing := epoch.Add(150 * time.Millisecond)
		p.complete(missing, call, StatusNoResponse)
		p.prune(missing.Add(maxCallDelay - 1))
		want(t, p, missing.Add(maxCallDelay-1), 1)
		want(t, p, missing.Add(maxCallDelay), 0)
		p.prune(missing.Add(maxCallDelay))
		if len(p.starts) != 0 {
			t.Errorf("starts kept: got %d, want 0", len(p.starts))
		}
	})
	t.Run("the answer to one call does not settle another one of the same run", func(t *testing.T) {
		p, first := sent()
		second := p.add(epoch, first)
		p.complete(epoch, first, StatusNoResponse)
		p.complete(epoch, second, StatusOK)
		want(t, p, epoch, 1)
	})
	t.Run("the highest token of a task's starts counts", func(t *testing.T) {
		p, first := sent()
		first.Token = 9
		p.add(epoch, first)
		first.Token = 8
		p.add(epoch, first)
		if s, _ := p.ofTask(epoch, task); s.call.Token != 9 {
			t.Errorf("token: got %d, want 9", s.call.Token)
		}
	})
	t.Run("a start is late once its answer is missing or its run has ended", func(t *testing.T) {
		p, _ := sent()
		if p.lateAt(epoch, "w-1") {
			t.Error("a start in flight is late")
		}
		p.abandon(task)
		if !p.lateAt(epoch, "w-1") {
			t.Error("a start whose run has ended is not late")
		}
		p, call := sent()
		p.complete(epoch, call, StatusNoResponse)
		if !p.lateAt(epoch.Add(maxCallDelay-1), "w-1") || p.lateAt(epoch.Add(maxCallDelay), "w-1") || p.lateAt(epoch, "w-2") {
			t.Error("a start without an answer is not late at its worker for as long as it may arrive")
		}
	})
	t.Run("a start to another worker does not count at this one", func(t *testing.T) {
		p, _ := sent()
		if n := p.at(epoch, "w-2"); n != 0 {
			t.Errorf("starts that may arrive at the other worker: got %d, want 0", n)
		}
	})
}
