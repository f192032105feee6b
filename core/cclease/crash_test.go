package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// crashesIn returns the reports of crashes to an entry.
func crashesIn(out Actions, entry ccnode.Ref) []ccwire.CrashReport {
	var reports []ccwire.CrashReport
	for _, r := range out.Reports {
		if r.To == entry.ID {
			reports = append(reports, r.Report.Crashes...)
		}
	}
	return reports
}

func wantSuspect(t *testing.T, reports []ccwire.CrashReport, job string) {
	t.Helper()
	if len(reports) != 1 || len(reports[0].Suspects) != 1 || reports[0].Suspects[0].Task.Job != job {
		t.Errorf("crashes: got %+v, want one with %s", reports, job)
	}
}

func TestCrashIsReported(t *testing.T) {
	// crash starts a run and lets the worker refuse the next connection.
	crash := func(f *fixture) Actions {
		f.startRunning(entryA, "job")
		f.take()
		f.advance(12 * time.Millisecond)
		f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusConnRefused}})
		return f.take()
	}
	t.Run("to all entries, with the runs that it ended", func(t *testing.T) {
		out := crash(newFixture(t))
		wantSuspect(t, crashesIn(out, entryA), "job")
		wantSuspect(t, crashesIn(out, entryB), "job")
	})
	// Guards against a crash that an entry never hears of because its report was lost with
	// the session.
	t.Run("again in a new session", func(t *testing.T) {
		f := newFixture(t)
		crash(f)
		f.manager.SessionClosed(entryB.ID)
		attach := f.attachRequest(entryB)
		wantSuspect(t, attach.Report.Crashes, "job")
		f.advance(crashRetention + time.Second)
		if attach := f.attachRequest(entryB); len(attach.Report.Crashes) != 0 {
			t.Errorf("crashes after their retention: got %+v, want none", attach.Report.Crashes)
		}
	})
	// Guards against a job that fails because its starts met two workers that had crashed.
	t.Run("without the starts that found the worker gone", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "job")
		f.orderStart(entryA, "late-1", 1000)
		late := f.orderStart(entryA, "late-2", 1000).Starts[0]
		f.manager.StartCompleted(f.now, late, Response{Status: StatusConnRefused})
		f.refuseConnections()
		wantSuspect(t, crashesIn(f.take(), entryA), "job")
	})
	t.Run("not if only starts found the worker gone", func(t *testing.T) {
		f := newFixture(t)
		late := f.orderStart(entryA, "late", 1000).Starts[0]
		f.manager.StartCompleted(f.now, late, Response{Status: StatusConnRefused})
		f.refuseConnections()
		if got := crashesIn(f.take(), entryA); len(got) != 0 {
			t.Errorf("crashes: got %+v, want none", got)
		}
	})
	t.Run("with a start that got no response", func(t *testing.T) {
		f := newFixture(t)
		call := f.orderStart(entryA, "unanswered", 1000).Starts[0]
		f.manager.StartCompleted(f.now, call, Response{Status: StatusNoResponse})
		f.refuseConnections()
		wantSuspect(t, crashesIn(f.take(), entryA), "unanswered")
	})
	t.Run("not if the worker left", func(t *testing.T) {
		f := newFixture(t)
		f.startRunning(entryA, "job")
		f.take()
		f.leave()
		if got := crashesIn(f.take(), entryA); len(got) != 0 {
			t.Errorf("crashes: got %+v, want none", got)
		}
	})
}
