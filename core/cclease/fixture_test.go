package cclease

import (
	"slices"
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

// fixture drives a manager with a manual clock and scripted worker responses.
type fixture struct {
	t            *testing.T
	manager      *Manager
	now          time.Time
	seq          uint64
	order        uint64     // The number of the last start order.
	session      uint64     // The last session number that was issued.
	pendingPolls []PollCall // Polls without a response so far.
}

// take returns the pending actions, and keeps their polls for nextPoll.
func (f *fixture) take() Actions {
	out := f.manager.Take()
	f.pendingPolls = append(f.pendingPolls, out.Polls...)
	return out
}

// newFixture returns a manager with sessions to two entries and a known worker that has
// capacity for four tasks.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, manager: NewManager(Config{Token: 7, StartTime: epoch}), now: epoch}
	f.manager.Heartbeat(f.now, f.worker())
	f.completePoll(f.nextPoll(), PollResponse{Response: Response{Status: StatusOK, Clock: time.Second}})
	f.openSession(entryA)
	f.openSession(entryB)
	f.take()
	return f
}

// attachRequest returns a request for a session with an entry.
func (f *fixture) attachRequest(entry ccnode.Ref) ccwire.Attach {
	f.t.Helper()
	f.session++
	attach, ok := f.manager.AttachRequest(f.now, ccnode.Ref{ID: "agent"}, entry, f.session)
	if !ok {
		f.t.Fatalf("session %d of %s: no request", f.session, entry)
	}
	return attach
}

// openSession requests a session that the entry accepts.
func (f *fixture) openSession(entry ccnode.Ref) {
	f.t.Helper()
	if attach := f.attachRequest(entry); !f.manager.SessionOpened(f.now, entry, attach.Session) {
		f.t.Fatalf("session %d of %s was not opened", attach.Session, entry)
	}
}

func (f *fixture) worker() Worker {
	return Worker{
		ID: "w-1", StartTime: epoch.Add(-time.Hour), Service: "proof", Domain: "north", Sequence: 1,
		Clock: time.Second, Capacity: ccresource.Amount{CPU: 4000, Memory: 4000},
	}
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.manager.Tick(f.now)
}

// keepAlive sends empty orders, so that the sessions of the entries do not time out.
func (f *fixture) keepAlive(entries ...ccnode.Ref) {
	for _, e := range entries {
		f.sendOrders(e, ccwire.Orders{})
	}
}

func (f *fixture) sendOrders(entry ccnode.Ref, orders ccwire.Orders) {
	f.seq++
	orders.Sequence = f.seq
	for i := range orders.Starts {
		f.order++
		orders.Starts[i].Order = f.order
	}
	orders.EchoMS = f.now.Sub(epoch).Milliseconds()
	f.manager.OrdersReceived(f.now, entry.ID, orders)
}

func (f *fixture) orderStart(entry ccnode.Ref, job string, cpu int64) Actions {
	f.sendOrders(entry, ccwire.Orders{Starts: []ccwire.StartOrder{{
		Task: ccwire.TaskRef{Job: job}, Payload: "p", Need: ccresource.Amount{CPU: cpu},
	}}})
	return f.take()
}

// runOf returns the active run of a job.
func (f *fixture) runOf(job string) ccwire.RunRef {
	f.t.Helper()
	task := ccwire.TaskRef{Job: job}
	r := f.manager.runs[task]
	if r == nil {
		f.t.Fatalf("%s has no run", job)
	}
	return ccwire.RunRef{Task: task, Order: r.order}
}

// startRunning starts a run and lets the worker confirm it.
func (f *fixture) startRunning(entry ccnode.Ref, job string) {
	f.t.Helper()
	out := f.orderStart(entry, job, 1000)
	if len(out.Starts) != 1 {
		f.t.Fatalf("starts of %s: got %d, want 1", job, len(out.Starts))
	}
	f.manager.StartCompleted(f.now, out.Starts[0], Response{Status: StatusOK})
}

// nextPoll returns the oldest poll without a response.
func (f *fixture) nextPoll() PollCall {
	f.t.Helper()
	f.take()
	if len(f.pendingPolls) == 0 {
		f.t.Fatal("no poll is pending")
	}
	call := f.pendingPolls[0]
	f.pendingPolls = f.pendingPolls[1:]
	return call
}

// takePolls returns the polls without an answer.
func (f *fixture) takePolls() []PollCall {
	f.take()
	calls := f.pendingPolls
	f.pendingPolls = nil
	return calls
}

// answerClaim answers the call that a heartbeat of another incarnation has raised.
func (f *fixture) answerClaim(response Response) {
	f.t.Helper()
	f.take()
	for i, call := range f.pendingPolls {
		if call.Probe && !call.Sent.Before(f.now) {
			f.pendingPolls = slices.Delete(f.pendingPolls, i, i+1)
			f.completePoll(call, PollResponse{Response: response})
			return
		}
	}
	f.t.Fatal("the worker is not called to settle a heartbeat of another incarnation")
}

// restartWorker delivers a heartbeat of a new incarnation of the worker, which answers.
func (f *fixture) restartWorker(restarted Worker) {
	f.t.Helper()
	f.manager.Heartbeat(f.now, restarted)
	f.answerClaim(Response{Status: StatusOK, Clock: restarted.Clock, StartTime: restarted.StartTime})
}

// refuseConnections refuses the connections of all polls until the worker counts as gone.
func (f *fixture) refuseConnections() {
	f.t.Helper()
	refusing := f.manager.worker.ID
	for range 10 {
		f.take()
		calls := f.pendingPolls
		f.pendingPolls = nil
		for _, call := range calls {
			f.completePoll(call, PollResponse{Response: Response{Status: StatusConnRefused}})
		}
		if f.manager.worker == nil || f.manager.worker.ID != refusing {
			return
		}
		f.advance(probeInterval)
	}
	f.t.Fatal("a worker that refuses all connections is still known")
}

func (f *fixture) completePoll(call PollCall, response PollResponse) {
	f.manager.PollCompleted(f.now, call, response)
}

func okPollResponse(running []ActiveRun, ended []EndedRun) PollResponse {
	return PollResponse{Response: Response{Status: StatusOK}, Running: running, Ended: ended}
}

// endsIn returns the run ends in the reports to an entry.
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
		t.Errorf("stops: got %v, want stops of %v", out.Stops, jobs)
	}
	for i := range min(len(out.Stops), len(jobs)) {
		if out.Stops[i].Task.Job != jobs[i] {
			t.Errorf("stop %d: got %s, want %s", i, out.Stops[i].Task.Job, jobs[i])
		}
	}
}
