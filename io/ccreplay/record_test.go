package ccreplay

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/io/cclog"
)

var logTime = regexp.MustCompile(`"ts":"[^"]*",`)

// TestLogLines guards against changes to the format of the log lines that an entry
// writes about its decisions: operators' commands parse them.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	log := cclog.New(cclog.Config{Out: &out})
	entry := New(Config{Node: ccnode.Ref{ID: "entry-1", Incarnation: 7}, Domain: "north", Log: log.Logger})
	ms := time.Millisecond
	for _, c := range []ccreplay.Change{
		{Message: "Job taken.", Job: "5c0e", Route: "r0", Age: 90 * ms, Count: 2},
		{Message: "Tasks placed.", Job: "5c0e", Age: 3 * ms, Count: 2, Placements: []ccreplay.Placement{
			{Index: 0, Agent: "agent-1", Attempt: 1, Order: 803, Worker: 17, FreeCPU: 2500, Pace: 0.7, ReportAge: 12 * ms},
			{Index: 1, Agent: "agent-2", Attempt: 1, Order: 804, Worker: 18, FreeCPU: 4000, Pace: 1.25, ReportAge: 40 * ms},
		}},
		{Message: "Run failed.", Job: "5c0e", Index: 1, Agent: "agent-2", Age: 80 * ms, Count: 1, Order: 804},
		{Message: "Start refused.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "no room in the agent's ledger"},
		{Message: "Start refused.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "no room in the agent's ledger", Count: 6, Quiet: true},
		{Message: "Run is moved.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "too slow", Age: 150 * ms, Count: 4, Order: 804},
		{Message: "Run is over.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "lost agent has a new incarnation", Age: 400 * ms, Order: 805},
		{Message: "Result ignored.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "done, the task has another run", Order: 804},
		{Message: "Result ignored.", Job: "5c0e", Index: 1, Agent: "agent-2", Reason: "done, no such task", Order: 804, Quiet: true},
		{Message: "Caller left.", Job: "5c0e", Age: 500 * ms},
		{Message: "Agent attached.", Agent: "agent-2", Count: 3, Incarnation: 1764922456000000, Clock: 61200 * ms, Session: 41},
		{Message: "Session request refused.", Agent: "agent-2", Incarnation: 1764922456000000, Clock: 60700 * ms, Session: 40, LatestSession: 41},
		{Message: "Agent is closed.", Agent: "agent-2", Reason: "worker is draining"},
		{Message: "Agent is open.", Agent: "agent-2"},
		{Message: "Worker described.", Agent: "agent-2", Worker: 18, Reason: "proof"},
		{Message: "Agent detached.", Agent: "agent-2", Age: 340 * ms, Count: 2},
		{Message: "Agent forgotten.", Agent: "agent-2"},
		{Message: "Plan received from an agent.", Agent: "agent-2", Count: 17},
		{Message: "Plan in force.", Count: 17},
		{Message: "Process was paused.", Age: 900 * ms},
	} {
		entry.recordChange(c)
	}
	for _, answer := range []ccreplay.Answer{
		{ID: "5c0e", State: ccreplay.StateComplete, Took: 120 * ms},
		{ID: "5c0f", State: ccreplay.StateRefused, Reason: "no worker had room in time", RetryAfter: time.Second, Took: 300 * ms},
		{ID: "5c10", State: ccreplay.StateFailed, Reason: "a task has failed as often as it may", Took: 200 * ms},
		{ID: "5c11", State: ccreplay.StateExpired, Reason: "its tasks can't end in time any more", Took: 470 * ms},
	} {
		entry.recordAnswer(answer)
	}
	log.Close()
	goldie.New(t).Assert(t, "lines", logTime.ReplaceAll(out.Bytes(), nil))
}
