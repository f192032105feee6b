package ccagent

import (
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

var (
	agentRef = ccnode.Ref{ID: "agent-1", Incarnation: 2}
	entryA   = ccnode.Ref{ID: "entry-a", Incarnation: 1}
	entryB   = ccnode.Ref{ID: "entry-b", Incarnation: 1}
	epoch    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// bench drives a table with a clock of its own.
type bench struct {
	*testing.T
	now   time.Time
	table *Controller
}

func newBench(t *testing.T, cfg Config) *bench {
	t.Helper()
	cfg.Self, cfg.Domain, cfg.Service, cfg.StartedAt = agentRef, "a", "proof", epoch
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	b := &bench{T: t, now: epoch, table: NewController(cfg)}
	b.setView(5, false)
	b.hello(entryA, 1)
	return b
}

func (b *bench) hello(entry ccnode.Ref, number uint64) {
	b.Helper()
	if _, err := b.table.Hello(b.now, ccwire.Hello{Entry: entry, Session: number, Version: 5}); err != nil {
		b.Fatalf("hello: %v", err)
	}
}

func (b *bench) setView(version uint64, out bool) {
	b.table.SetView(b.now, &ccsettings.AgentView{
		Version:  version,
		Services: map[string]ccsettings.Service{"proof": {Slots: 100}},
		Domains:  map[string]ccsettings.Domain{"a": {Out: out}},
		Fleet:    ccsettings.Fleet{Retention: ccsettings.Duration(time.Minute)},
	})
}

// advance lets time pass in small steps, as a process that isn't paused does.
func (b *bench) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.table.Tick(b.now)
	}
}

// dispatch builds a dispatch that every guard lets pass.
func (b *bench) dispatch(id ccjob.ID, indexes ...int) ccwire.Dispatch {
	part := ccwire.DispatchJob{ID: id, Claim: 3, Service: "proof", BudgetMS: 1000}
	for _, index := range indexes {
		part.Tasks = append(part.Tasks, ccwire.DispatchTask{Index: index, Attempt: 1, Payload: "x"})
	}
	return ccwire.Dispatch{
		Agent: agentRef, Session: 1, Version: 5,
		Echo: b.table.Clock(b.now).Milliseconds(), Jobs: []ccwire.DispatchJob{part},
	}
}

func (b *bench) finish(id ccjob.ID, index int, code ccwire.TaskCode, payload string) {
	b.table.TaskFinished(b.now, TaskResult{Job: id, Index: index, Attempt: 1, Claim: 3, Code: code, Payload: payload})
}

func (b *bench) assertStarts(result DispatchResult, want ...int) {
	b.Helper()
	var got []int
	for _, start := range result.Starts {
		got = append(got, start.Index)
	}
	if !slices.Equal(got, want) {
		b.Fatalf("started %v, want %v; bounced %v", got, want, result.Bounced)
	}
}

func (b *bench) assertBounce(result DispatchResult, code ccwire.TaskCode) {
	b.Helper()
	if len(result.Starts) != 0 || len(result.Bounced) != 1 || result.Bounced[0].Code != code {
		b.Fatalf("got starts %v and bounces %v, want one bounce %s", result.Starts, result.Bounced, code)
	}
}

func (b *bench) assertReport(entry ccnode.Ref, want ...ccwire.TaskReport) ccwire.Report {
	b.Helper()
	report, _ := b.table.TakeReport(b.now, entry)
	var got []ccwire.TaskReport
	for _, part := range report.Jobs {
		got = append(got, part.Tasks...)
	}
	for i := range got {
		got[i].Reason = ""
	}
	if !slices.Equal(got, want) {
		b.Fatalf("report to %s is %v, want %v", entry, got, want)
	}
	return report
}

func (b *bench) revoke(index int, want ccwire.TaskCode) {
	b.Helper()
	reply, err := b.table.Revoke(b.now, ccwire.Revoke{Agent: agentRef, Jobs: []ccwire.RevokeJob{
		{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: index, Attempt: 1}}},
	}})
	if err != nil || len(reply.Jobs) != 1 || len(reply.Jobs[0].Tasks) != 1 || reply.Jobs[0].Tasks[0].Code != want {
		b.Fatalf("revoke gave %+v, %v, want %s", reply, err, want)
	}
}

func (b *bench) recover(id ccjob.ID, claim uint64) ccwire.RecoverReply {
	b.Helper()
	reply, err := b.table.Recover(b.now, entryB, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: id, Claim: claim}}})
	if err != nil {
		b.Fatalf("recover: %v", err)
	}
	return reply
}
