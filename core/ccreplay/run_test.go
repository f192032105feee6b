package ccreplay

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccwire"
)

// TestDecide guards against a run that counts as over while it may be alive, and against a
// statement about another run that says anything about this one.
func TestDecide(t *testing.T) {
	f := newFixture(t, "north")
	f.submit("j1", 1, slow)
	run := runOf(f.wantStarts(f.take(), 1)[0])
	a, tk := f.s.agents["agent-1"], &f.s.jobs["j1"].tasks[0]
	placed := *tk
	handled := &ccwire.Attach{PreviousSession: tk.session, Report: ccwire.RunReport{HandledSequence: tk.sequence}}
	notHandled := &ccwire.Attach{PreviousSession: tk.session, Report: ccwire.RunReport{HandledSequence: tk.sequence - 1}}
	for _, c := range []struct {
		name       string
		incarnated bool // The agent has another incarnation since.
		lostIn     time.Duration
		st         statement
		want       runState
		outcome    ccwire.RunOutcome
	}{
		{name: "ended", st: statement{kind: statedEnded, ended: ccwire.RunResult{Outcome: ccwire.RunDone}}, want: runOver, outcome: ccwire.RunDone},
		{name: "listed", st: statement{kind: statedListed}, want: runAlive},
		{name: "listed by another incarnation", incarnated: true, st: statement{kind: statedListed}, want: runUnresolved},
		{name: "not listed", st: statement{kind: statedNotListed, request: handled}, want: runOver, outcome: ccwire.RunLost},
		{name: "not listed, order not handled", st: statement{kind: statedNotListed, request: notHandled}, want: runOver, outcome: ccwire.RunRefused},
		{name: "not listed by another incarnation", incarnated: true, st: statement{kind: statedNotListed, request: handled}, want: runUnresolved},
		{name: "settled by its own incarnation", st: statement{kind: statedSettled}, want: runUnchanged},
		{name: "settled by another incarnation", incarnated: true, st: statement{kind: statedSettled}, want: runOver, outcome: ccwire.RunLost},
		{name: "silent while attached", st: statement{kind: statedSilent}, want: runUnchanged},
		{name: "silent for a while", lostIn: cclease.RunsExpireAfter, st: statement{kind: statedSilent}, want: runUnresolved},
		{name: "silent for longer", lostIn: -time.Millisecond, st: statement{kind: statedSilent}, want: runOver, outcome: ccwire.RunLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			*tk = placed
			if c.incarnated {
				tk.incarnation++
			}
			if c.lostIn != 0 {
				tk.lostAt = f.now.Add(c.lostIn)
			}
			c.st.run = run
			if state, ended := f.s.decide(f.now, a, c.st); state != c.want || ended.Outcome != c.outcome {
				t.Errorf("got state %d, outcome %q, want %d, %q", state, ended.Outcome, c.want, c.outcome)
			}
			for _, other := range []ccwire.RunRef{{Task: run.Task, Order: run.Order + 1}, {Task: ccwire.TaskRef{Job: "j1", Index: 1}, Order: run.Order}, {}} {
				c.st.run = other
				if state, _ := f.s.decide(f.now, a, c.st); state != runUnchanged {
					t.Errorf("%s: got state %d, want %d", fmt.Sprint(other), state, runUnchanged)
				}
			}
		})
	}
}
