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

// testbed drives a controller with a simulated clock.
type testbed struct {
	*testing.T
	now        time.Time
	controller *Controller
}

func newTestbed(t *testing.T, cfg Config) *testbed {
	t.Helper()
	cfg.Self, cfg.Domain, cfg.Service, cfg.StartedAt = agentRef, "a", "proof", epoch
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	b := &testbed{T: t, now: epoch, controller: NewController(cfg)}
	b.setView(5, false)
	b.hello(entryA, 1)
	return b
}

func (b *testbed) hello(entry ccnode.Ref, number uint64) {
	b.Helper()
	if _, err := b.controller.Hello(b.now, ccwire.Hello{Entry: entry, Session: number, Version: 5}); err != nil {
		b.Fatalf("hello: %v", err)
	}
}

func (b *testbed) setView(version uint64, out bool) {
	b.controller.SetView(b.now, &ccsettings.AgentView{
		Version:  version,
		Services: map[string]ccsettings.Service{"proof": {Slots: 100}},
		Domains:  map[string]ccsettings.Domain{"a": {Out: out}},
		Fleet:    ccsettings.Fleet{Retention: ccsettings.Duration(time.Minute)},
	})
}

// advance moves the clock in steps short enough not to count as a pause.
func (b *testbed) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.controller.Tick(b.now)
	}
}

// dispatch builds a dispatch that passes every check.
func (b *testbed) dispatch(id ccjob.ID, indexes ...int) ccwire.Dispatch {
	part := ccwire.DispatchJob{ID: id, Claim: 3, Service: "proof", BudgetMS: 1000}
	for _, index := range indexes {
		part.Tasks = append(part.Tasks, ccwire.DispatchTask{Index: index, Attempt: 1, Payload: "x"})
	}
	return ccwire.Dispatch{
		Agent: agentRef, Session: 1, Version: 5,
		Echo: b.controller.Clock(b.now).Milliseconds(), Jobs: []ccwire.DispatchJob{part},
	}
}

func (b *testbed) finish(id ccjob.ID, index int, code ccwire.TaskCode, payload string) {
	b.controller.TaskFinished(b.now, TaskResult{Job: id, Index: index, Attempt: 1, Claim: 3, Code: code, Payload: payload})
}

func (b *testbed) assertStarts(result DispatchResult, want ...int) {
	b.Helper()
	var got []int
	for _, start := range result.Starts {
		got = append(got, start.Index)
	}
	if !slices.Equal(got, want) {
		b.Fatalf("started %v, want %v; bounced %v", got, want, result.Bounced)
	}
}

func (b *testbed) assertBounce(result DispatchResult, code ccwire.TaskCode) {
	b.Helper()
	if len(result.Starts) != 0 || len(result.Bounced) != 1 || result.Bounced[0].Code != code {
		b.Fatalf("got starts %v and bounces %v, want one bounce %s", result.Starts, result.Bounced, code)
	}
}

func (b *testbed) assertReport(entry ccnode.Ref, want ...ccwire.TaskReport) ccwire.Report {
	b.Helper()
	report, _ := b.controller.TakeReport(b.now, entry)
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

func (b *testbed) revoke(index int, want ccwire.TaskCode) {
	b.Helper()
	reply, err := b.controller.Revoke(b.now, ccwire.Revoke{Agent: agentRef, Jobs: []ccwire.RevokeJob{
		{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: index, Attempt: 1}}},
	}})
	if err != nil || len(reply.Jobs) != 1 || len(reply.Jobs[0].Tasks) != 1 || reply.Jobs[0].Tasks[0].Code != want {
		b.Fatalf("revoke gave %+v, %v, want %s", reply, err, want)
	}
}

func (b *testbed) recover(id ccjob.ID, claim uint64) ccwire.RecoverReply {
	b.Helper()
	reply, err := b.controller.Recover(b.now, entryB, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: id, Claim: claim}}})
	if err != nil {
		b.Fatalf("recover: %v", err)
	}
	return reply
}
