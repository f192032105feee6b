package cclease

import (
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

var (
	epoch  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	entryA = ccnode.Ref{ID: "entry-a", Incarnation: 1}
	entryB = ccnode.Ref{ID: "entry-b", Incarnation: 1}
)

// fixture drives a table by hand.
type fixture struct {
	t     *testing.T
	table *Table
	now   time.Time
	seq   uint64
	asked []LookCall // Looks that have not been answered.
}

// take returns what the table wants, and keeps its looks for look.
func (f *fixture) take() Actions {
	out := f.table.Take()
	f.asked = append(f.asked, out.Looks...)
	return out
}

// newFixture returns a table whose worker has room for four tasks and is known,
// with sessions to two entries.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, table: NewTable(Config{Token: 7, Now: epoch}), now: epoch}
	f.table.Heartbeat(f.now, f.worker())
	f.answerLook(f.look(), Look{Answer: Answer{Reply: ReplyOK, Clock: time.Second}})
	f.table.Attached(f.now, entryA, f.now)
	f.table.Attached(f.now, entryB, f.now)
	f.take()
	return f
}

func (f *fixture) worker() Worker {
	return Worker{
		ID: "w-1", Born: epoch.Add(-time.Hour), Service: "proof", Domain: "north", Sequence: 1,
		Clock: time.Second, Capacity: ccresource.Amount{CPU: 4000, Memory: 4000},
	}
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.table.Tick(f.now)
}

// echo keeps the sessions of the entries alive.
func (f *fixture) echo(entries ...ccnode.Ref) {
	for _, e := range entries {
		f.order(e, ccwire.Orders{})
	}
}

func (f *fixture) order(entry ccnode.Ref, orders ccwire.Orders) {
	f.seq++
	orders.Sequence = f.seq
	orders.EchoMS = f.now.Sub(epoch).Milliseconds()
	f.table.Ordered(f.now, entry.ID, orders)
}

func (f *fixture) start(entry ccnode.Ref, job string, cpu int64) Actions {
	f.order(entry, ccwire.Orders{Starts: []ccwire.StartOrder{{
		Task: ccwire.TaskRef{Job: job}, Attempt: 1, Payload: "p", Need: ccresource.Amount{CPU: cpu},
	}}})
	return f.take()
}

// running starts a run and has the worker confirm it.
func (f *fixture) running(entry ccnode.Ref, job string) {
	f.t.Helper()
	out := f.start(entry, job, 1000)
	if len(out.Starts) != 1 {
		f.t.Fatalf("starts of %s: got %d, want 1", job, len(out.Starts))
	}
	f.table.Started(f.now, out.Starts[0], Answer{Reply: ReplyOK})
}

// look returns the oldest look that has not been answered.
func (f *fixture) look() LookCall {
	f.t.Helper()
	f.take()
	if len(f.asked) == 0 {
		f.t.Fatal("no look is wanted")
	}
	call := f.asked[0]
	f.asked = f.asked[1:]
	return call
}

func (f *fixture) answerLook(call LookCall, look Look) {
	f.table.Looked(f.now, call, look)
}

func okLook(running []Running, ended []EndedRun) Look {
	return Look{Answer: Answer{Reply: ReplyOK}, Running: running, Ended: ended}
}

// endsIn returns the ends in the reports for an entry.
func endsIn(out Actions, entry ccnode.Ref) []ccwire.RunResult {
	var ends []ccwire.RunResult
	for _, r := range out.Reports {
		if r.To == entry.ID {
			ends = append(ends, r.Report.Results...)
		}
	}
	return ends
}

func wantEnd(t *testing.T, ends []ccwire.RunResult, job string, end ccwire.RunOutcome) {
	t.Helper()
	for _, e := range ends {
		if e.Task.Job == job {
			if e.Outcome != end {
				t.Errorf("end of %s: got %s (%s), want %s", job, e.Outcome, e.Reason, end)
			}
			return
		}
	}
	t.Errorf("end of %s: got none, want %s", job, end)
}

func wantStops(t *testing.T, out Actions, jobs ...string) {
	t.Helper()
	if len(out.Stops) != len(jobs) {
		t.Errorf("stops: got %v, want of %v", out.Stops, jobs)
	}
	for i := range min(len(out.Stops), len(jobs)) {
		if out.Stops[i].Task.Job != jobs[i] {
			t.Errorf("stop %d: got %s, want %s", i, out.Stops[i].Task.Job, jobs[i])
		}
	}
}
