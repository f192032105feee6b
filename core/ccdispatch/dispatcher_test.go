package ccdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// testbed drives a dispatcher step by step. Agents are only IDs; the test
// supplies their reports.
type testbed struct {
	t          testing.TB
	dispatcher *ccdispatch.Dispatcher
	now        time.Time
	sent       map[ccnode.ID][]ccwire.DispatchJob
	lastSeq    map[ccnode.ID]uint64
	want       map[ccnode.ID]int
	revokes    []ccwire.Revoke
	probes     []ccwire.Probe
	endJobs    []*ccdispatch.EndJob
}

func newTestbed(t testing.TB, change func(*ccsettings.Effective)) *testbed {
	b := &testbed{
		t:       t,
		now:     time.Unix(1_700_000_000, 0),
		sent:    make(map[ccnode.ID][]ccwire.DispatchJob),
		lastSeq: make(map[ccnode.ID]uint64),
		want:    make(map[ccnode.ID]int),
	}
	b.dispatcher = ccdispatch.New(ccdispatch.Config{Entry: ccnode.Ref{ID: "e", Incarnation: 1}, Seed: 1})
	b.dispatcher.SetSettings(b.now, settings(1, change))
	return b
}

func settings(version uint64, change func(*ccsettings.Effective)) *ccsettings.Effective {
	effective := &ccsettings.Effective{
		Version:  version,
		Services: map[string]ccsettings.Service{"s": ccsettings.DefaultService()},
		Domains:  map[string]ccsettings.Domain{"north": ccsettings.DefaultDomain(), "south": ccsettings.DefaultDomain()},
		Teams:    map[string]ccsettings.Team{},
		Fleet:    ccsettings.DefaultFleet(),
	}
	if change != nil {
		change(effective)
	}
	return effective
}

func (b *testbed) connectAgent(id ccnode.ID, incarnation ccnode.Incarnation, domain string, slots int) {
	b.dispatcher.AgentUp(b.now, uint64(incarnation), ccwire.HelloReply{
		Agent: ccnode.Ref{ID: id, Incarnation: incarnation}, Domain: domain, Service: "s", Slots: slots, Version: 1,
	})
	b.runActions()
}

func (b *testbed) submit(id ccjob.ID, tasks int) {
	b.submitForTeam(id, "t", tasks)
}

func (b *testbed) submitForTeam(id ccjob.ID, team string, tasks int) {
	spec := ccjob.Spec{ID: id, Service: "s", Team: team, Deadline: 10 * time.Second, Payloads: make([]string, tasks)}
	if refusal, ok := b.dispatcher.Admit(&spec); !ok {
		b.t.Fatalf("job %s was refused: %s %s", id, refusal.Kind, refusal.Reason)
	}
	b.dispatcher.Submit(b.now, ccdispatch.Submission{Spec: spec, Claim: 1, Arrived: b.now})
	b.runActions()
}

func (b *testbed) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.dispatcher.Tick(b.now)
	b.runActions()
}

func (b *testbed) runActions() {
	for _, action := range b.dispatcher.Actions(b.now) {
		switch action := action.(type) {
		case *ccdispatch.SendDispatch:
			b.sent[action.Agent] = append(b.sent[action.Agent], action.Message.Jobs...)
			b.lastSeq[action.Agent] = action.Message.Seq
			b.want[action.Agent] = action.Message.WantSlots
		case *ccdispatch.SendRevoke:
			b.revokes = append(b.revokes, action.Message)
		case *ccdispatch.SendProbe:
			b.probes = append(b.probes, action.Message)
		case *ccdispatch.EndJob:
			b.endJobs = append(b.endJobs, action)
		}
	}
}

// sentTasks returns how many tasks were sent to the agent and have not been
// reported.
func (b *testbed) sentTasks(id ccnode.ID) int {
	n := 0
	for i := range b.sent[id] {
		n += len(b.sent[id][i].Tasks)
	}
	return n
}

// reportAll reports the code for all tasks that were sent to the agent, on
// behalf of its first incarnation.
func (b *testbed) reportAll(id ccnode.ID, code ccwire.TaskCode, free int) {
	report := ccwire.Report{Agent: ccnode.Ref{ID: id, Incarnation: 1}, Session: 1, HandledSeq: b.lastSeq[id], FreeSlots: free, Version: 1}
	for _, part := range b.sent[id] {
		report.Jobs = append(report.Jobs, ccwire.ReportJob{ID: part.ID, Claim: part.Claim, Tasks: taskReports(part.Tasks, code)})
	}
	b.sent[id] = nil
	b.dispatcher.HandleReport(b.now, report)
	b.runActions()
}

// reportOne reports the first task that was sent to the agent as done. It does
// nothing if there is none.
func (b *testbed) reportOne(id ccnode.ID) {
	if len(b.sent[id]) == 0 {
		return
	}
	part := &b.sent[id][0]
	end := ccwire.ReportJob{ID: part.ID, Claim: part.Claim, Tasks: taskReports(part.Tasks[:1], ccwire.CodeDone)}
	part.Tasks = part.Tasks[1:]
	if len(part.Tasks) == 0 {
		b.sent[id] = b.sent[id][1:]
	}
	free := 8 - b.sentTasks(id)
	b.dispatcher.HandleReport(b.now, ccwire.Report{
		Agent: ccnode.Ref{ID: id, Incarnation: 1}, Session: 1, HandledSeq: b.lastSeq[id], FreeSlots: free, Version: 1, Jobs: []ccwire.ReportJob{end},
	})
	b.runActions()
}

func taskReports(tasks []ccwire.DispatchTask, code ccwire.TaskCode) []ccwire.TaskReport {
	reports := make([]ccwire.TaskReport, 0, len(tasks))
	for _, task := range tasks {
		reports = append(reports, ccwire.TaskReport{
			Index: task.Index, Attempt: task.Attempt, Code: code, Payload: fmt.Sprint("answer ", task.Index), RunMS: 100,
		})
	}
	return reports
}

func (b *testbed) assertOutcome(state ccjob.State, kind ccjob.Kind, notRun bool) {
	b.t.Helper()
	if len(b.endJobs) != 1 {
		b.t.Fatalf("got %d outcomes, want 1", len(b.endJobs))
	}
	outcome := b.endJobs[0].Outcome
	if outcome.State != state || outcome.Kind != kind || outcome.NotRun != notRun {
		b.t.Fatalf("got %s/%q notRun=%t, want %s/%q notRun=%t", outcome.State, outcome.Kind, outcome.NotRun, state, kind, notRun)
	}
}

func (b *testbed) assertNotEnded() {
	b.t.Helper()
	if len(b.endJobs) != 0 {
		b.t.Fatalf("job ended early: %+v", b.endJobs[0].Outcome)
	}
}

func (b *testbed) assertSentTasks(id ccnode.ID, want int) {
	b.t.Helper()
	if got := b.sentTasks(id); got != want {
		b.t.Fatalf("agent %s was sent %d tasks, want %d", id, got, want)
	}
}

func TestCompleteInOrder(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 2)
	b.connectAgent("b", 1, "south", 2)
	b.submit("j", 6)
	for len(b.endJobs) == 0 {
		b.reportAll("a", ccwire.CodeDone, 2)
		b.reportAll("b", ccwire.CodeDone, 2)
	}
	b.assertOutcome(ccjob.StateComplete, "", false)
	for i, answer := range b.endJobs[0].Outcome.Answers {
		if answer.Index != i || answer.Payload != fmt.Sprint("answer ", i) {
			t.Fatalf("answer %d is %+v", i, answer)
		}
	}
}

func TestNeverMoreThanSlots(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 3)
	b.submit("j", 10)
	b.assertSentTasks("a", 3)
	if b.want["a"] != 3 {
		t.Fatalf("want is %d, expected 3", b.want["a"])
	}
}

func TestResendRequiresProof(t *testing.T) {
	t.Run("task that found no free slot is resent to another agent", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.connectAgent("a", 1, "north", 1)
		b.submit("j", 1)
		b.connectAgent("b", 1, "south", 1)
		b.reportAll("a", ccwire.CodeFull, 0)
		b.assertSentTasks("b", 1)
	})
	t.Run("broken connection resends nothing", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.connectAgent("a", 1, "north", 1)
		b.submit("j", 1)
		b.connectAgent("b", 1, "south", 1)
		b.dispatcher.AgentDown(b.now, "a")
		b.advance(time.Second)
		b.assertSentTasks("b", 0)
		b.assertNotEnded()
	})
	t.Run("reconnect revokes, and a fenced task is resent", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.connectAgent("a", 1, "north", 1)
		b.submit("j", 1)
		b.connectAgent("b", 1, "south", 1)
		b.dispatcher.AgentDown(b.now, "a")
		b.connectAgent("a", 1, "north", 1)
		if len(b.revokes) != 1 {
			t.Fatalf("got %d revokes, want 1", len(b.revokes))
		}
		b.sent["a"] = nil
		b.dispatcher.HandleRevokeReply(b.now, ccwire.RevokeReply{
			Agent: ccnode.Ref{ID: "a", Incarnation: 1},
			Jobs:  []ccwire.ReportJob{{ID: "j", Claim: 1, Tasks: []ccwire.TaskReport{{Attempt: 1, Code: ccwire.CodeFenced}}}},
		})
		b.runActions()
		if total := b.sentTasks("a") + b.sentTasks("b"); total != 1 {
			t.Fatalf("the task was sent %d times after it was fenced, want 1", total)
		}
	})
	t.Run("reply from an earlier incarnation is ignored", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.connectAgent("a", 1, "north", 1)
		b.submit("j", 1)
		b.dispatcher.AgentDown(b.now, "a")
		b.connectAgent("a", 2, "north", 1)
		b.assertOutcome(ccjob.StateFailed, ccjob.KindLost, false)
		b.dispatcher.HandleRevokeReply(b.now, ccwire.RevokeReply{
			Agent: ccnode.Ref{ID: "a", Incarnation: 1},
			Jobs:  []ccwire.ReportJob{{ID: "j", Claim: 1, Tasks: []ccwire.TaskReport{{Attempt: 1, Code: ccwire.CodeFenced}}}},
		})
		b.runActions()
		b.assertOutcome(ccjob.StateFailed, ccjob.KindLost, false)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("no task sent", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.submit("j", 2)
		b.advance(10 * time.Second)
		b.assertOutcome(ccjob.StateFailed, ccjob.KindDeadline, true)
	})
	t.Run("task may have started", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.connectAgent("a", 1, "north", 1)
		b.submit("j", 2)
		b.advance(10 * time.Second)
		b.assertOutcome(ccjob.StateFailed, ccjob.KindDeadline, false)
	})
	t.Run("job may have run at another entry", func(t *testing.T) {
		b := newTestbed(t, nil)
		b.submit("j", 2)
		b.dispatcher.MarkMayHaveRun()
		b.advance(10 * time.Second)
		b.assertOutcome(ccjob.StateFailed, ccjob.KindDeadline, false)
	})
}

func TestUnusableAgentGetsNoTasks(t *testing.T) {
	cases := map[string]func(b *testbed){
		"domain out": func(b *testbed) {
			b.dispatcher.SetSettings(b.now, settings(2, func(e *ccsettings.Effective) { e.Domains["north"] = ccsettings.Domain{Out: true} }))
		},
		"cut off": func(b *testbed) { b.dispatcher.SetSendAllowed(false) },
		"leaving": func(b *testbed) {
			b.dispatcher.HandleReport(b.now, ccwire.Report{Agent: ccnode.Ref{ID: "a", Incarnation: 1}, Session: 1, FreeSlots: 4, Leaving: true})
		},
		"newer settings than the entry": func(b *testbed) {
			b.dispatcher.HandleReport(b.now, ccwire.Report{Agent: ccnode.Ref{ID: "a", Incarnation: 1}, Session: 1, FreeSlots: 4, Version: 9})
		},
	}
	for name, makeUnusable := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, nil)
			b.connectAgent("a", 1, "north", 4)
			spec := ccjob.Spec{ID: "j", Service: "s", Team: "t", Deadline: time.Second, Payloads: []string{"x"}}
			b.dispatcher.Submit(b.now, ccdispatch.Submission{Spec: spec, Claim: 1, Arrived: b.now})
			makeUnusable(b)
			b.runActions()
			b.assertSentTasks("a", 0)
		})
	}
}

func TestRampUp(t *testing.T) {
	b := newTestbed(t, func(e *ccsettings.Effective) { e.Domains["north"] = ccsettings.Domain{Out: true} })
	b.connectAgent("a", 1, "north", 8)
	b.submit("j", 20)
	b.assertSentTasks("a", 0)
	b.dispatcher.SetSettings(b.now, settings(2, nil))
	b.runActions()
	b.assertSentTasks("a", 1)
	b.advance(time.Second)
	b.assertSentTasks("a", 5)
	b.advance(time.Second)
	b.assertSentTasks("a", 8)
}

func TestSilentAgentGetsNoTasks(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 4)
	b.submit("j", 1)
	b.advance(time.Second)
	if len(b.probes) != 1 {
		t.Fatalf("got %d probes, want 1", len(b.probes))
	}
	b.advance(300 * time.Millisecond)
	b.submit("k", 1)
	b.assertSentTasks("a", 1)
}

func TestBlackHoleIsEjected(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 1)
	for i := range 3 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 1)
		b.reportAll("a", ccwire.CodeFailed, 1)
	}
	b.submit("k", 1)
	b.assertSentTasks("a", 0)
	b.advance(5 * time.Second)
	b.assertSentTasks("a", 1)
}

func TestBadJobDoesNotEject(t *testing.T) {
	b := newTestbed(t, nil)
	b.connectAgent("a", 1, "north", 1)
	b.connectAgent("b", 1, "south", 1)
	for i := range 6 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 2)
		b.reportAll("a", ccwire.CodeFailed, 1)
		b.reportAll("b", ccwire.CodeFailed, 1)
	}
	b.submit("k", 2)
	b.assertSentTasks("a", 1)
	b.assertSentTasks("b", 1)
}

func TestTeamsTakeTurns(t *testing.T) {
	b := newTestbed(t, nil)
	b.submitForTeam("flood", "one", 1000)
	b.submitForTeam("small", "two", 4)
	b.connectAgent("a", 1, "north", 8)
	small := 0
	for _, part := range b.sent["a"] {
		if part.ID == "small" {
			small = len(part.Tasks)
		}
	}
	if small != 4 {
		t.Fatalf("the small team got %d of the first 8 slots, want 4", small)
	}
}

func TestQuota(t *testing.T) {
	b := newTestbed(t, func(e *ccsettings.Effective) { e.Teams["t"] = ccsettings.Team{Share: 1, MaxTasks: 5} })
	b.submit("j", 4)
	spec := ccjob.Spec{ID: "k", Service: "s", Team: "t", Deadline: time.Second, Payloads: make([]string, 2)}
	refusal, ok := b.dispatcher.Admit(&spec)
	if ok || refusal.Kind != ccjob.KindQuota || !refusal.NotRun {
		t.Fatalf("got %+v, want a quota refusal, not run", refusal)
	}
}

// BenchmarkStarts measures the cost of the dispatcher's decisions alone, for
// jobs of 100 tasks: with 11 agents, as in the current deployment, and with the
// subset of a large fleet. Each report completes one task, which is the most
// expensive case per task.
func BenchmarkStarts(b *testing.B) {
	for _, agents := range []int{11, 128, 512} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) { benchmarkStarts(b, agents) })
	}
}

func benchmarkStarts(b *testing.B, agents int) {
	bed := newTestbed(b, nil)
	names := make([]ccnode.ID, agents)
	for i := range names {
		names[i] = ccnode.ID(fmt.Sprintf("a%03d", i))
		bed.connectAgent(names[i], 1, "north", 8)
	}
	started, next := 0, 0
	for b.Loop() {
		bed.submit(ccjob.ID(fmt.Sprint("j", started)), 100)
		for len(bed.endJobs) == 0 {
			bed.reportOne(names[next%agents])
			next++
		}
		bed.endJobs = nil
		started += 100
	}
	b.ReportMetric(float64(started)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkIdleTick measures the cost of a tick in an idle entry.
func BenchmarkIdleTick(b *testing.B) {
	for _, agents := range []int{11, 512} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			bed := newTestbed(b, nil)
			for i := range agents {
				bed.connectAgent(ccnode.ID(fmt.Sprintf("a%03d", i)), 1, "north", 8)
			}
			for b.Loop() {
				bed.advance(10 * time.Millisecond)
			}
		})
	}
}
