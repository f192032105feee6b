package ccreplay

import (
	"testing"
	"time"

	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// reportSentAt handles a report that the agent sent at the given time of the simulation.
func (f *fixture) reportSentAt(n int, sent time.Time) {
	id := benchAgentID(n)
	f.s.Report(f.now, id, ccwire.RunReport{
		ClockMS: sent.Sub(epoch).Milliseconds(), HandledSequence: f.handled[id], Free: ccresource.Amount{CPU: 4000},
	})
}

// lateAgents is the number of agents of an entry that handles its events late.
const lateAgents = 30

// newLateFixture returns a fixture whose reports are handled late by delay from some time
// on.
func newLateFixture(t *testing.T, delay time.Duration) *fixture {
	t.Helper()
	f := newFixture(t)
	for i := range lateAgents {
		f.attach(benchAgentID(i), 1, "north")
	}
	f.runLate(20, 0)
	f.runLate(100, delay)
	return f
}

// runLate passes a number of ticks. Each agent reports each 150 ms, and its reports are
// handled with the given delay.
func (f *fixture) runLate(ticks int, delay time.Duration) {
	for range ticks {
		f.advance(10 * time.Millisecond)
		for i := range lateAgents {
			if f.now.Sub(epoch).Milliseconds()/10%15 == int64(i%15) {
				f.reportSentAt(i, f.now.Add(-delay))
			}
		}
	}
}

func TestLateEntry(t *testing.T) {
	t.Run("keeps the sessions of agents whose reports it reads late", func(t *testing.T) {
		f := newLateFixture(t, 300*time.Millisecond)
		f.take()
		// The reports of the last 400 ms are not read yet.
		for range 40 {
			f.advance(10 * time.Millisecond)
		}
		if out := f.take(); len(out.CloseSessions) != 0 || f.s.UsableAgents(f.now) != lateAgents {
			t.Errorf("closed sessions: %d of %d, usable agents: %d; want all kept", len(out.CloseSessions), lateAgents, f.s.UsableAgents(f.now))
		}
	})
	t.Run("keeps the sessions after a stall of its own", func(t *testing.T) {
		f := newLateFixture(t, 0)
		f.submit("j1", 4)
		f.take()
		f.advance(500 * time.Millisecond)
		if out := f.take(); len(out.CloseSessions) != 0 {
			t.Errorf("closed sessions: got %d, want none before the reports of the stall are read", len(out.CloseSessions))
		}
	})
	t.Run("still notices an agent that is silent", func(t *testing.T) {
		f := newLateFixture(t, 0)
		f.submit("j1", 4)
		id := f.take().Messages[0].To
		for range 2 * suspectAfter / (10 * time.Millisecond) {
			f.advance(10 * time.Millisecond)
			for i := range lateAgents {
				if benchAgentID(i) != id {
					f.reportSentAt(i, f.now)
				}
			}
		}
		if closed := f.take().CloseSessions; len(closed) != 1 || closed[0] != id {
			t.Errorf("closed sessions: got %v, want %s", closed, id)
		}
	})
}

func TestOrdersThatAnAgentNeverHandled(t *testing.T) {
	t.Run("are given back as not run when it attaches again", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(100 * time.Millisecond) })
		f.wantStarts(f.take(), 1)
		f.s.Detach(f.now, "agent-1")
		f.attach("agent-1", 1, "north")
		f.take()
		f.s.Detach(f.now, "agent-1")
		f.advance(100 * time.Millisecond)
		f.wantAnswer(f.take(), token, StateRefused)
	})
	t.Run("may have run once the agent has handled them", func(t *testing.T) {
		f := newFixture(t, "north")
		token := f.submit("j1", 1, func(r *Request) { r.Deadline = f.now.Add(100 * time.Millisecond) })
		f.wantStarts(f.take(), 1)
		f.s.Detach(f.now, "agent-1")
		f.session++
		f.s.Attach(f.now, ccwire.Attach{
			Node: f.s.agents["agent-1"].ref, Session: f.session, PreviousSession: f.session - 1,
			Report: ccwire.RunReport{HandledSequence: 9, PriorRunsEnded: true, ClosedReason: "worker is draining"},
		})
		f.take()
		f.advance(100 * time.Millisecond)
		f.wantAnswer(f.take(), token, StateExpired)
	})
}
