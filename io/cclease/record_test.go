package cclease

import (
	"bytes"
	"net/netip"
	"regexp"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/cclog"
)

var logTime = regexp.MustCompile(`"ts":"[^"]*",`)

// TestLogLines guards against changes to the format of the log lines that an agent
// writes about its decisions: operators' commands parse them.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	log := cclog.New(cclog.Config{Out: &out})
	agent := New(Config{Node: ccnode.Ref{ID: "agent-1", Incarnation: 7}, Domain: "north", Log: log.Logger})
	task, ms := ccwire.TaskRef{Job: "5c0e", Index: 1}, time.Millisecond
	for _, c := range []cclease.Change{
		{Message: "Order refused.", Entry: "entry-1", Task: task, Reason: "no room in the agent's ledger", End: ccwire.RunNoCapacity, Order: 803},
		{Message: "Run ended.", Entry: "entry-1", Task: task, Age: 80 * ms, End: ccwire.RunDone, Run: 2, Order: 801},
		{Message: "Run ended.", Entry: "entry-1", Task: task, Reason: "worker has a new life", Age: 80 * ms, End: ccwire.RunLost, Run: 3, Order: 802},
		{Message: "Runs stopped.", Entry: "entry-1", Reason: "entry is silent", Age: 410 * ms, Count: 4},
		{Message: "Session opened.", Entry: "entry-1", Clock: 61200 * ms, Session: 41},
		{Message: "Session reply ignored.", Entry: "entry-1", Session: 40},
		{Message: "Session closed.", Entry: "entry-1"},
		{Message: "Repeated order ignored.", Entry: "entry-1", Order: 803},
		{Message: "Plan received.", Entry: "entry-1", Count: 17},
		{Message: "Worker heard.", Reason: "i-7f3a"},
		{Message: "Worker lost.", Reason: "nothing listens at the worker's address", Count: 2},
		{Message: "Worker does not answer.", Reason: "none"},
		{Message: "Worker answers again."},
		{Message: "Worker rests.", Reason: "worker fails what it starts", Age: 500 * ms},
		{Message: "Worker pace changed.", Pace: 6.5},
		{Message: "Process was paused.", Count: 3},
		{Message: "Start has no answer.", Task: task, Run: 2, Worker: "i-7f3a", Token: 9},
		{Message: "Answer to a start dropped.", Task: task, Run: 2, Worker: "i-7f3a", Token: 9, Reason: "worker is lost"},
		{Message: "Fencing token raised.", Token: 10, Reason: "start has no answer"},
		{Message: "Start repeated.", Task: task, Run: 2, Worker: "i-7f3a", Token: 10},
		{Message: "Lost worker answers.", Worker: "i-7f3a"},
		{
			Message: "Heartbeat not accepted.", Worker: "i-1a2b", Reason: "the current worker is asked", Count: 3,
			StartTime: time.UnixMilli(1767322145000), Sequence: 8, Address: netip.MustParseAddrPort("10.1.0.9:8080"),
		},
		{Message: "Starts may still arrive.", Worker: "i-7f3a", Count: 2, Reason: "worker has a new life"},
	} {
		agent.recordChange(c)
	}
	log.Close()
	goldie.New(t).Assert(t, "lines", logTime.ReplaceAll(out.Bytes(), nil))
}
