package cclease

import (
	"fmt"
	"math"
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

func wantPace(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.05*want {
		t.Errorf("pace: got %.2f, want about %.2f", got, want)
	}
}

func TestPace(t *testing.T) {
	t.Run("is 1 before any run has ended", func(t *testing.T) {
		var p pace
		wantPace(t, p.value(), 1)
	})
	t.Run("is learned from a few runs and follows a change", func(t *testing.T) {
		var p pace
		for range 10 {
			p.learn(180*time.Millisecond, 100*time.Millisecond)
		}
		wantPace(t, p.value(), 1.8*10/11+1.0/11)
		for range 60 {
			p.learn(80*time.Millisecond, 100*time.Millisecond)
		}
		wantPace(t, p.value(), 0.8)
	})
	t.Run("takes no notice of runs without an estimate", func(t *testing.T) {
		var p pace
		p.learn(time.Second, 0)
		wantPace(t, p.value(), 1)
	})
}

// atWork returns runs of as many jobs, each with percent done after 120 ms of 200.
func atWork(jobs, percent int) []*run {
	var order []*run
	for i := range jobs {
		order = append(order, &run{
			task: ccwire.TaskRef{Job: fmt.Sprintf("j%d", i)}, phase: phaseRunning, expected: 200 * time.Millisecond,
			started: epoch, sampled: epoch.Add(120 * time.Millisecond), percent: percent,
		})
	}
	return order
}

func TestSlowWorkerIsNoticedBeforeItsRunsEnd(t *testing.T) {
	t.Run("by runs of three jobs", func(t *testing.T) {
		var p pace
		if !p.watch(atWork(3, 8)) {
			t.Error("the change is not told")
		}
		wantPace(t, p.value(), 120.0/0.09/200)
		if !p.watch(atWork(3, 60)) {
			t.Error("the way back is not told")
		}
		wantPace(t, p.value(), 1)
	})
	t.Run("not by runs of fewer jobs", func(t *testing.T) {
		var p pace
		p.watch(append(atWork(2, 8), atWork(2, 8)...))
		wantPace(t, p.value(), 1)
	})
	t.Run("not by runs that are somewhat longer than estimated", func(t *testing.T) {
		var p pace
		p.watch(atWork(5, 40))
		wantPace(t, p.value(), 1)
	})
	t.Run("and told to every entry", func(t *testing.T) {
		f := newFixture(t)
		for _, job := range []string{"j1", "j2", "j3"} {
			f.order(entryA, ccwire.Orders{Starts: []ccwire.StartOrder{{
				Task: ccwire.TaskRef{Job: job}, Attempt: 1, Need: ccresource.Amount{CPU: 1000}, EstimateMS: 200,
			}}})
			f.table.StartCompleted(f.now, f.take().Starts[0], Response{Status: StatusOK})
		}
		for range 8 {
			f.echo(entryA, entryB)
			f.pass(20 * time.Millisecond)
		}
		f.take()
		f.asked = nil
		f.answerLook(PollCall{Worker: "w-1", Sent: f.now}, okLook([]ActiveRun{
			{Task: ccwire.TaskRef{Job: "j1"}, Run: 1, Percent: 5},
			{Task: ccwire.TaskRef{Job: "j2"}, Run: 1, Percent: 5},
			{Task: ccwire.TaskRef{Job: "j3"}, Run: 1, Percent: 5},
		}, nil))
		told := 0
		for _, r := range f.take().Reports {
			if r.Report.Pace > 4 {
				told++
			}
		}
		if told != 2 {
			t.Errorf("entries told: got %d, want 2", told)
		}
	})
}
