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
	t.Run("converges within a few runs and follows a change", func(t *testing.T) {
		var p pace
		for range 10 {
			p.observe(180*time.Millisecond, 100*time.Millisecond)
		}
		wantPace(t, p.value(), 1.8*10/11+1.0/11)
		for range 60 {
			p.observe(80*time.Millisecond, 100*time.Millisecond)
		}
		wantPace(t, p.value(), 0.8)
	})
	t.Run("ignores runs without an estimate", func(t *testing.T) {
		var p pace
		p.observe(time.Second, 0)
		wantPace(t, p.value(), 1)
	})
}

// runningJobs returns one run each of the given number of jobs. Each run has reached
// percent after 120 ms of an estimated 200 ms.
func runningJobs(jobs, percent int) []*run {
	var runs []*run
	for i := range jobs {
		runs = append(runs, &run{
			task: ccwire.TaskRef{Job: fmt.Sprintf("j%d", i)}, phase: phaseRunning, estimate: 200 * time.Millisecond,
			started: epoch, percentAt: epoch.Add(120 * time.Millisecond), percent: percent,
		})
	}
	return runs
}

func TestSlowWorkerIsDetectedBeforeItsRunsEnd(t *testing.T) {
	t.Run("detected from running tasks of three jobs", func(t *testing.T) {
		var p pace
		if !p.detectSlowdown(runningJobs(3, 8)) {
			t.Error("slowdown not reported")
		}
		wantPace(t, p.value(), 120.0/0.09/200)
		if !p.detectSlowdown(runningJobs(3, 60)) {
			t.Error("recovery not reported")
		}
		wantPace(t, p.value(), 1)
	})
	t.Run("not detected from fewer jobs", func(t *testing.T) {
		var p pace
		p.detectSlowdown(append(runningJobs(2, 8), runningJobs(2, 8)...))
		wantPace(t, p.value(), 1)
	})
	t.Run("not detected from runs slightly longer than estimated", func(t *testing.T) {
		var p pace
		p.detectSlowdown(runningJobs(5, 40))
		wantPace(t, p.value(), 1)
	})
	t.Run("reported to every entry", func(t *testing.T) {
		f := newFixture(t)
		for _, job := range []string{"j1", "j2", "j3"} {
			f.sendOrders(entryA, ccwire.Orders{Starts: []ccwire.StartOrder{{
				Task: ccwire.TaskRef{Job: job}, Need: ccresource.Amount{CPU: 1000}, EstimateMS: 200,
			}}})
			f.manager.StartCompleted(f.now, f.take().Starts[0], Response{Status: StatusOK})
		}
		for range 8 {
			f.keepAlive(entryA, entryB)
			f.advance(20 * time.Millisecond)
		}
		f.take()
		f.pendingPolls = nil
		f.completePoll(PollCall{Worker: "w-1", Sent: f.now}, okPollResponse([]ActiveRun{
			{Task: ccwire.TaskRef{Job: "j1"}, Run: 1, Percent: 5},
			{Task: ccwire.TaskRef{Job: "j2"}, Run: 1, Percent: 5},
			{Task: ccwire.TaskRef{Job: "j3"}, Run: 1, Percent: 5},
		}, nil))
		reported := 0
		for _, r := range f.take().Reports {
			if r.Report.Pace > 4 {
				reported++
			}
		}
		if reported != 2 {
			t.Errorf("entries with a report: got %d, want 2", reported)
		}
	})
}
