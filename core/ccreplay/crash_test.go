package ccreplay

import (
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// crashed reports a crash of the worker that runs the given starts, which it ends.
func (f *fixture) crashed(number uint64, ran time.Duration, starts ...start) {
	report := ccwire.CrashReport{Number: number}
	var ends []ccwire.RunResult
	for _, s := range starts {
		report.Suspects = append(report.Suspects, ccwire.CrashSuspect{Task: s.order.Task, Class: s.order.Class, RanMS: ran.Milliseconds(), Crashes: s.order.Crashes})
		ends = append(ends, endOf(s, ccwire.RunLost))
	}
	agent := starts[0].agent
	f.s.Report(f.now, agent, ccwire.RunReport{
		ClockMS: f.now.Sub(epoch).Milliseconds(), HandledSequence: f.handled[agent], Free: ccresource.Amount{CPU: f.free[agent]},
		Crashes: []ccwire.CrashReport{report}, Results: ends,
	})
}

func TestCrashes(t *testing.T) {
	// Guards against one task that crashes worker after worker.
	t.Run("a job fails with the second crash of one of its tasks", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		token := f.submit("job", 1)
		f.crashed(1, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		again := f.wantStarts(f.take(), 1)
		if got := again[0].order.Crashes; got != 1 {
			t.Errorf("crashes in the order: got %d, want 1", got)
		}
		f.crashed(2, 13*time.Millisecond, again...)
		out := f.take()
		f.wantAnswer(out, token, StateFailed)
		f.wantStarts(out, 0)
	})
	t.Run("it fails at once when its caller sends it again", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		f.submit("job", 1)
		f.crashed(1, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		f.crashed(2, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		f.take()
		token := f.submit("job", 1)
		f.wantAnswer(f.take(), token, StateFailed)
	})
	// Guards against the failure of a job because of another one that crashed its workers.
	t.Run("a task beside the one that crashes its workers runs again", func(t *testing.T) {
		f := newFixture(t, "north", "north", "north")
		f.submit("job", 1)
		first := f.wantStarts(f.take(), 1)
		f.crashed(1, 80*time.Millisecond, first...)
		f.crashed(2, 12*time.Millisecond, f.wantStarts(f.take(), 1)...)
		out := f.take()
		f.wantNoAnswer(out)
		f.wantStarts(out, 1)
	})
}
