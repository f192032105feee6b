package ccreplay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// attachStranger requests a session as a new agent and reports whether it is opened.
func (f *fixture) attachStranger(id ccnode.ID, labels ...string) bool {
	f.session++
	return f.s.Attach(f.now, ccwire.Attach{
		Node: ccnode.Ref{ID: id, Incarnation: 1}, Session: f.session,
		Report: ccwire.RunReport{Worker: &ccwire.WorkerInfo{Domain: "north", Service: "proof", Labels: labels}},
	})
}

// Guards against strangers who attach under ever new IDs and make an entry keep what it knows of
// each, and against forgetting an agent that has runs or a session for them.
func TestKnownAgentsAreBounded(t *testing.T) {
	f := newFixture(t, "north", "north")
	f.submit("job", 1)
	starts := f.wantStarts(f.take(), 1)
	f.s.Detach(f.now, starts[0].agent)
	for i := range 2 * maxAgents {
		id := ccnode.ID(fmt.Sprint("stranger-", i))
		if !f.attachStranger(id) {
			t.Fatalf("%s is refused", id)
		}
		f.s.Detach(f.now, id)
		f.now = f.now.Add(time.Microsecond)
	}
	if got := len(f.s.agents); got > maxAgents || len(f.s.agentList) != got {
		t.Errorf("%d agents are known, and at most %d may be", got, maxAgents)
	}
	for _, id := range []ccnode.ID{"agent-1", "agent-2"} {
		if f.s.agents[id] == nil {
			t.Errorf("%s is forgotten", id)
		}
	}
}

// Guards against an entry that forgets an agent in a session to make room.
func TestAgentsWithSessionsAreKept(t *testing.T) {
	f := newFixture(t)
	for i := range maxAgents {
		f.attachStranger(ccnode.ID(fmt.Sprint("agent-", i)))
	}
	if f.attachStranger("one-more") {
		t.Error("an agent too many gets a session")
	}
	if len(f.s.agents) != maxAgents {
		t.Errorf("%d agents are known", len(f.s.agents))
	}
}

// Guards against agents whose description takes far more memory than that of any worker.
func TestLongDescriptionsAreRefused(t *testing.T) {
	f := newFixture(t)
	for name, opened := range map[string]bool{
		"labels": f.attachStranger("a", strings.Repeat("x", 100_000)),
		"many":   f.attachStranger("b", make([]string, 10_000)...),
		"ID":     f.attachStranger(ccnode.ID(strings.Repeat("x", 100_000))),
	} {
		if opened {
			t.Errorf("%s: a session is opened", name)
		}
	}
	if !f.attachStranger("c", "kind", "r1-3") || len(f.s.agents) != 1 {
		t.Error("a worker with a kind and a rack is refused")
	}
}
