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

// bench drives a dispatcher by hand. Agents are names only; the test says what
// they report.
type bench struct {
	t       testing.TB
	d       *ccdispatch.Dispatcher
	now     time.Time
	sent    map[ccnode.ID][]ccwire.DispatchJob
	seen    map[ccnode.ID]uint64
	want    map[ccnode.ID]int
	revokes []ccwire.Revoke
	probes  []ccwire.Probe
	ends    []*ccdispatch.EndJob
}

func newBench(t testing.TB, change func(*ccsettings.Effective)) *bench {
	b := &bench{
		t:    t,
		now:  time.Unix(1_700_000_000, 0),
		sent: make(map[ccnode.ID][]ccwire.DispatchJob),
		seen: make(map[ccnode.ID]uint64),
		want: make(map[ccnode.ID]int),
	}
	b.d = ccdispatch.New(ccdispatch.Config{Entry: ccnode.Ref{ID: "e", Incarnation: 1}, Seed: 1})
	b.d.SetSettings(b.now, settings(1, change))
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

func (b *bench) up(id ccnode.ID, incarnation ccnode.Incarnation, domain string, slots int) {
	b.d.AgentUp(b.now, uint64(incarnation), ccwire.HelloReply{
		Agent: ccnode.Ref{ID: id, Incarnation: incarnation}, Domain: domain, Service: "s", Slots: slots, Version: 1,
	})
	b.run()
}

func (b *bench) submit(id ccjob.ID, tasks int) {
	b.submitTeam(id, "t", tasks)
}

func (b *bench) submitTeam(id ccjob.ID, team string, tasks int) {
	spec := ccjob.Spec{ID: id, Service: "s", Team: team, Deadline: 10 * time.Second, Payloads: make([]string, tasks)}
	if refusal, ok := b.d.Admit(&spec); !ok {
		b.t.Fatalf("job %s was refused: %s %s", id, refusal.Kind, refusal.Reason)
	}
	b.d.Submit(b.now, ccdispatch.Submission{Spec: spec, Claim: 1, Arrived: b.now})
	b.run()
}

func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.d.Tick(b.now)
	b.run()
}

func (b *bench) run() {
	for _, action := range b.d.Actions(b.now) {
		switch action := action.(type) {
		case *ccdispatch.SendDispatch:
			b.sent[action.Agent] = append(b.sent[action.Agent], action.Message.Jobs...)
			b.seen[action.Agent] = action.Message.Seq
			b.want[action.Agent] = action.Message.WantSlots
		case *ccdispatch.SendRevoke:
			b.revokes = append(b.revokes, action.Message)
		case *ccdispatch.SendProbe:
			b.probes = append(b.probes, action.Message)
		case *ccdispatch.EndJob:
			b.ends = append(b.ends, action)
		}
	}
}

// count returns how many tasks the agent was sent.
func (b *bench) count(id ccnode.ID) int {
	n := 0
	for i := range b.sent[id] {
		n += len(b.sent[id][i].Tasks)
	}
	return n
}

// report ends everything that the agent, in its first life, was sent with the
// code.
func (b *bench) report(id ccnode.ID, code ccwire.TaskCode, free int) {
	report := ccwire.Report{Agent: ccnode.Ref{ID: id, Incarnation: 1}, Session: 1, HandledSeq: b.seen[id], FreeSlots: free, Version: 1}
	for _, part := range b.sent[id] {
		report.Jobs = append(report.Jobs, ccwire.ReportJob{ID: part.ID, Claim: part.Claim, Tasks: endTasks(part.Tasks, code)})
	}
	b.sent[id] = nil
	b.d.Report(b.now, report)
	b.run()
}

// reportOne ends the first task that the agent was sent, if it was sent any.
func (b *bench) reportOne(id ccnode.ID) {
	if len(b.sent[id]) == 0 {
		return
	}
	part := &b.sent[id][0]
	end := ccwire.ReportJob{ID: part.ID, Claim: part.Claim, Tasks: endTasks(part.Tasks[:1], ccwire.CodeDone)}
	part.Tasks = part.Tasks[1:]
	if len(part.Tasks) == 0 {
		b.sent[id] = b.sent[id][1:]
	}
	free := 8 - b.count(id)
	b.d.Report(b.now, ccwire.Report{
		Agent: ccnode.Ref{ID: id, Incarnation: 1}, Session: 1, HandledSeq: b.seen[id], FreeSlots: free, Version: 1, Jobs: []ccwire.ReportJob{end},
	})
	b.run()
}

func endTasks(tasks []ccwire.DispatchTask, code ccwire.TaskCode) []ccwire.TaskReport {
	reports := make([]ccwire.TaskReport, 0, len(tasks))
	for _, task := range tasks {
		reports = append(reports, ccwire.TaskReport{
			Index: task.Index, Attempt: task.Attempt, Code: code, Payload: fmt.Sprint("answer ", task.Index), RunMS: 100,
		})
	}
	return reports
}

func (b *bench) assertEnd(state ccjob.State, kind ccjob.Kind, notRun bool) {
	b.t.Helper()
	if len(b.ends) != 1 {
		b.t.Fatalf("got %d outcomes, want 1", len(b.ends))
	}
	outcome := b.ends[0].Outcome
	if outcome.State != state || outcome.Kind != kind || outcome.NotRun != notRun {
		b.t.Fatalf("got %s/%q notRun=%t, want %s/%q notRun=%t", outcome.State, outcome.Kind, outcome.NotRun, state, kind, notRun)
	}
}

func (b *bench) assertOpen() {
	b.t.Helper()
	if len(b.ends) != 0 {
		b.t.Fatalf("job ended early: %+v", b.ends[0].Outcome)
	}
}

func (b *bench) assertCount(id ccnode.ID, want int) {
	b.t.Helper()
	if got := b.count(id); got != want {
		b.t.Fatalf("agent %s was sent %d tasks, want %d", id, got, want)
	}
}

func TestCompleteInOrder(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 2)
	b.up("b", 1, "south", 2)
	b.submit("j", 6)
	for len(b.ends) == 0 {
		b.report("a", ccwire.CodeDone, 2)
		b.report("b", ccwire.CodeDone, 2)
	}
	b.assertEnd(ccjob.StateComplete, "", false)
	for i, answer := range b.ends[0].Outcome.Answers {
		if answer.Index != i || answer.Payload != fmt.Sprint("answer ", i) {
			t.Fatalf("answer %d is %+v", i, answer)
		}
	}
}

func TestNeverMoreThanSlots(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 3)
	b.submit("j", 10)
	b.assertCount("a", 3)
	if b.want["a"] != 3 {
		t.Fatalf("want is %d, expected 3", b.want["a"])
	}
}

func TestMovesOnlyWithProof(t *testing.T) {
	t.Run("a bounced task goes elsewhere", func(t *testing.T) {
		b := newBench(t, nil)
		b.up("a", 1, "north", 1)
		b.submit("j", 1)
		b.up("b", 1, "south", 1)
		b.report("a", ccwire.CodeFull, 0)
		b.assertCount("b", 1)
	})
	t.Run("a broken connection moves nothing", func(t *testing.T) {
		b := newBench(t, nil)
		b.up("a", 1, "north", 1)
		b.submit("j", 1)
		b.up("b", 1, "south", 1)
		b.d.AgentDown(b.now, "a")
		b.advance(time.Second)
		b.assertCount("b", 0)
		b.assertOpen()
	})
	t.Run("a reconnect asks, and fenced moves", func(t *testing.T) {
		b := newBench(t, nil)
		b.up("a", 1, "north", 1)
		b.submit("j", 1)
		b.up("b", 1, "south", 1)
		b.d.AgentDown(b.now, "a")
		b.up("a", 1, "north", 1)
		if len(b.revokes) != 1 {
			t.Fatalf("got %d revokes, want 1", len(b.revokes))
		}
		b.sent["a"] = nil
		b.d.Revoked(b.now, ccwire.RevokeReply{
			Agent: ccnode.Ref{ID: "a", Incarnation: 1},
			Jobs:  []ccwire.ReportJob{{ID: "j", Claim: 1, Tasks: []ccwire.TaskReport{{Attempt: 1, Code: ccwire.CodeFenced}}}},
		})
		b.run()
		if total := b.count("a") + b.count("b"); total != 1 {
			t.Fatalf("the task was sent %d times after it was fenced, want 1", total)
		}
	})
	t.Run("another life proves nothing", func(t *testing.T) {
		b := newBench(t, nil)
		b.up("a", 1, "north", 1)
		b.submit("j", 1)
		b.d.AgentDown(b.now, "a")
		b.up("a", 2, "north", 1)
		b.assertEnd(ccjob.StateFailed, ccjob.KindLost, false)
		b.d.Revoked(b.now, ccwire.RevokeReply{
			Agent: ccnode.Ref{ID: "a", Incarnation: 1},
			Jobs:  []ccwire.ReportJob{{ID: "j", Claim: 1, Tasks: []ccwire.TaskReport{{Attempt: 1, Code: ccwire.CodeFenced}}}},
		})
		b.run()
		b.assertEnd(ccjob.StateFailed, ccjob.KindLost, false)
	})
}

func TestDeadline(t *testing.T) {
	t.Run("nothing sent", func(t *testing.T) {
		b := newBench(t, nil)
		b.submit("j", 2)
		b.advance(10 * time.Second)
		b.assertEnd(ccjob.StateFailed, ccjob.KindDeadline, true)
	})
	t.Run("something may have started", func(t *testing.T) {
		b := newBench(t, nil)
		b.up("a", 1, "north", 1)
		b.submit("j", 2)
		b.advance(10 * time.Second)
		b.assertEnd(ccjob.StateFailed, ccjob.KindDeadline, false)
	})
	t.Run("doubt takes the promise back", func(t *testing.T) {
		b := newBench(t, nil)
		b.submit("j", 2)
		b.d.Doubt()
		b.advance(10 * time.Second)
		b.assertEnd(ccjob.StateFailed, ccjob.KindDeadline, false)
	})
}

func TestClosedPlacesGetNothing(t *testing.T) {
	cases := map[string]func(b *bench){
		"domain out": func(b *bench) {
			b.d.SetSettings(b.now, settings(2, func(e *ccsettings.Effective) { e.Domains["north"] = ccsettings.Domain{Out: true} }))
		},
		"cut off": func(b *bench) { b.d.SetOpen(false) },
		"leaving": func(b *bench) {
			b.d.Report(b.now, ccwire.Report{Agent: ccnode.Ref{ID: "a", Incarnation: 1}, Session: 1, FreeSlots: 4, Leaving: true})
		},
		"settings ahead of the entry's": func(b *bench) {
			b.d.Report(b.now, ccwire.Report{Agent: ccnode.Ref{ID: "a", Incarnation: 1}, Session: 1, FreeSlots: 4, Version: 9})
		},
	}
	for name, closePlace := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("a", 1, "north", 4)
			spec := ccjob.Spec{ID: "j", Service: "s", Team: "t", Deadline: time.Second, Payloads: []string{"x"}}
			b.d.Submit(b.now, ccdispatch.Submission{Spec: spec, Claim: 1, Arrived: b.now})
			closePlace(b)
			b.run()
			b.assertCount("a", 0)
		})
	}
}

func TestRampUp(t *testing.T) {
	b := newBench(t, func(e *ccsettings.Effective) { e.Domains["north"] = ccsettings.Domain{Out: true} })
	b.up("a", 1, "north", 8)
	b.submit("j", 20)
	b.assertCount("a", 0)
	b.d.SetSettings(b.now, settings(2, nil))
	b.run()
	b.assertCount("a", 1)
	b.advance(time.Second)
	b.assertCount("a", 5)
	b.advance(time.Second)
	b.assertCount("a", 8)
}

func TestSilentAgentGetsNoMore(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 4)
	b.submit("j", 1)
	b.advance(time.Second)
	if len(b.probes) != 1 {
		t.Fatalf("got %d probes, want 1", len(b.probes))
	}
	b.advance(300 * time.Millisecond)
	b.submit("k", 1)
	b.assertCount("a", 1)
}

func TestBlackHoleIsEjected(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 1)
	for i := range 3 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 1)
		b.report("a", ccwire.CodeFailed, 1)
	}
	b.submit("k", 1)
	b.assertCount("a", 0)
	b.advance(5 * time.Second)
	b.assertCount("a", 1)
}

func TestBadJobEjectsNobody(t *testing.T) {
	b := newBench(t, nil)
	b.up("a", 1, "north", 1)
	b.up("b", 1, "south", 1)
	for i := range 6 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 2)
		b.report("a", ccwire.CodeFailed, 1)
		b.report("b", ccwire.CodeFailed, 1)
	}
	b.submit("k", 2)
	b.assertCount("a", 1)
	b.assertCount("b", 1)
}

func TestTeamsTakeTurns(t *testing.T) {
	b := newBench(t, nil)
	b.submitTeam("flood", "one", 1000)
	b.submitTeam("small", "two", 4)
	b.up("a", 1, "north", 8)
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
	b := newBench(t, func(e *ccsettings.Effective) { e.Teams["t"] = ccsettings.Team{Share: 1, MaxTasks: 5} })
	b.submit("j", 4)
	spec := ccjob.Spec{ID: "k", Service: "s", Team: "t", Deadline: time.Second, Payloads: make([]string, 2)}
	refusal, ok := b.d.Admit(&spec)
	if ok || refusal.Kind != ccjob.KindQuota || !refusal.NotRun {
		t.Fatalf("got %+v, want a quota refusal that is not run", refusal)
	}
}

// BenchmarkStarts counts what the decisions alone cost an entry, with jobs of
// 100 tasks: at today's 11 agents, and at the subset of a large fleet. Each
// report brings the end of one task, which is the most decisions a task can cost.
func BenchmarkStarts(b *testing.B) {
	for _, agents := range []int{11, 128, 512} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) { benchmarkStarts(b, agents) })
	}
}

func benchmarkStarts(b *testing.B, agents int) {
	bed := newBench(b, nil)
	names := make([]ccnode.ID, agents)
	for i := range names {
		names[i] = ccnode.ID(fmt.Sprintf("a%03d", i))
		bed.up(names[i], 1, "north", 8)
	}
	started, next := 0, 0
	for b.Loop() {
		bed.submit(ccjob.ID(fmt.Sprint("j", started)), 100)
		for len(bed.ends) == 0 {
			bed.reportOne(names[next%agents])
			next++
		}
		bed.ends = nil
		started += 100
	}
	b.ReportMetric(float64(started)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkIdleTick counts what a tick costs an entry that has nothing to do.
func BenchmarkIdleTick(b *testing.B) {
	for _, agents := range []int{11, 512} {
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			bed := newBench(b, nil)
			for i := range agents {
				bed.up(ccnode.ID(fmt.Sprintf("a%03d", i)), 1, "north", 8)
			}
			for b.Loop() {
				bed.advance(10 * time.Millisecond)
			}
		})
	}
}
