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
	table *Table
}

func newBench(t *testing.T, cfg Config) *bench {
	t.Helper()
	cfg.Self, cfg.Domain, cfg.Service, cfg.Since = agentRef, "a", "proof", epoch
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	b := &bench{T: t, now: epoch, table: NewTable(cfg)}
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
	b.table.Finished(b.now, End{Job: id, Index: index, Attempt: 1, Claim: 3, Code: code, Payload: payload})
}

func (b *bench) assertStarts(result Result, want ...int) {
	b.Helper()
	var got []int
	for _, start := range result.Starts {
		got = append(got, start.Index)
	}
	if !slices.Equal(got, want) {
		b.Fatalf("started %v, want %v; bounced %v", got, want, result.Bounced)
	}
}

func (b *bench) assertBounce(result Result, code ccwire.TaskCode) {
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

// TestGuards brings about what each guard is for, with the guard on and off.
func TestGuards(t *testing.T) {
	cases := []struct {
		name string
		off  Guards
		code ccwire.TaskCode // Empty when the dispatch is ignored whole.
		make func(b *bench) ccwire.Dispatch
	}{
		{"incarnation", Guards{SkipIncarnation: true}, "", func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			msg.Agent.Incarnation--
			return msg
		}},
		{"session", Guards{SkipSession: true}, "", func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.hello(entryA, 2)
			return msg
		}},
		{"echo", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.advance(echoLimit + time.Millisecond)
			return msg
		}},
		{"echo from before a pause", Guards{SkipEcho: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.now = b.now.Add(pauseLimit + time.Millisecond)
			return msg
		}},
		{"version", Guards{SkipVersion: true}, ccwire.CodeStale, func(b *bench) ccwire.Dispatch {
			msg := b.dispatch("j", 0)
			b.setView(6, false)
			return msg
		}},
		{"domain out", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *bench) ccwire.Dispatch {
			b.setView(6, true)
			msg := b.dispatch("j", 0)
			msg.Version = 6
			return msg
		}},
		{"leaving", Guards{SkipClosed: true}, ccwire.CodeClosed, func(b *bench) ccwire.Dispatch {
			b.table.Leave(b.now)
			return b.dispatch("j", 0)
		}},
		{"fence", Guards{SkipFence: true}, ccwire.CodeFenced, func(b *bench) ccwire.Dispatch {
			b.recover("j", 4)
			return b.dispatch("j", 0)
		}},
		{"tombstone", Guards{SkipTombstone: true}, ccwire.CodeFenced, func(b *bench) ccwire.Dispatch {
			b.revoke(0, ccwire.CodeFenced)
			return b.dispatch("j", 0)
		}},
		{"slots", Guards{SkipSlots: true}, ccwire.CodeFull, func(b *bench) ccwire.Dispatch {
			b.table.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
			return b.dispatch("j", 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name+" on", func(t *testing.T) {
			b := newBench(t, Config{})
			result := b.table.Dispatch(b.now, entryA, c.make(b))
			if c.code != "" {
				b.assertBounce(result, c.code)
			} else if !result.Ignored {
				t.Fatalf("the dispatch was not ignored: %+v", result)
			}
		})
		t.Run(c.name+" off", func(t *testing.T) {
			b := newBench(t, Config{Guards: c.off})
			b.assertStarts(b.table.Dispatch(b.now, entryA, c.make(b)), 0)
		})
	}
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

func TestOnce(t *testing.T) {
	again := func(b *bench) Result {
		msg := b.dispatch("j", 0)
		msg.Jobs[0].Tasks[0].Attempt = 2
		return b.table.Dispatch(b.now, entryA, msg)
	}
	t.Run("a repeat is answered from memory", func(t *testing.T) {
		b := newBench(t, Config{})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(again(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeRunning})
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
		b.assertStarts(again(b))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 2, Code: ccwire.CodeDone, Payload: "y"})
	})
	t.Run("without the guard it starts twice", func(t *testing.T) {
		b := newBench(t, Config{Guards: Guards{SkipOnce: true}})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.assertStarts(again(b), 0)
	})
	t.Run("a stale repeat of a started task is not said to be unstarted", func(t *testing.T) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg), 0)
		b.advance(2 * echoLimit)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg))
		b.assertReport(entryA, ccwire.TaskReport{Attempt: 1, Code: ccwire.CodeRunning})
	})
	t.Run("a late copy of a bounced attempt is fenced", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.table.Dispatch(b.now, entryA, b.dispatch("k", 0))
		msg := b.dispatch("j", 0)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeFull)
		b.finish("k", 0, ccwire.CodeDone, "")
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeFenced)
		b.assertStarts(again(b), 0)
	})
	t.Run("a refused task may start under a later attempt", func(t *testing.T) {
		b := newBench(t, Config{})
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
		b.finish("j", 0, ccwire.CodeRefused, "")
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFenced)
		b.assertStarts(again(b), 0)
	})
	t.Run("a revoke of a started task tells its result", func(t *testing.T) {
		b := newBench(t, Config{})
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.revoke(0, ccwire.CodeDone)
		b.revoke(1, ccwire.CodeRunning)
	})
	t.Run("a revoke of an earlier life proves nothing", func(t *testing.T) {
		b := newBench(t, Config{})
		earlier := agentRef
		earlier.Incarnation--
		reply, err := b.table.Revoke(b.now, ccwire.Revoke{Agent: earlier, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil || reply.Jobs[0].Tasks[0].Code != ccwire.CodeLost || reply.Agent != agentRef {
			t.Fatalf("got %+v, %v, want lost", reply, err)
		}
	})
}

func TestRecover(t *testing.T) {
	t.Run("lists what started and passes the ends on to the new driver", func(t *testing.T) {
		b := newBench(t, Config{})
		b.hello(entryB, 1)
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.assertReport(entryA, ccwire.TaskReport{Index: 0, Attempt: 1, Code: ccwire.CodeDone, Payload: "y"})
		reply := b.recover("j", 4)
		if len(reply.Jobs) != 1 || len(reply.Jobs[0].Tasks) != 2 || reply.Jobs[0].Tasks[0].Payload != "y" || reply.Jobs[0].Tasks[1].Code != ccwire.CodeRunning {
			t.Fatalf("got %+v", reply)
		}
		b.finish("j", 1, ccwire.CodeFailed, "")
		b.assertReport(entryA)
		report := b.assertReport(entryB, ccwire.TaskReport{Index: 1, Attempt: 1, Code: ccwire.CodeFailed})
		if report.Jobs[0].Claim != 4 {
			t.Fatalf("reported under claim %d, want 4", report.Jobs[0].Claim)
		}
	})
	t.Run("a job with nothing started is not listed", func(t *testing.T) {
		b := newBench(t, Config{})
		if reply := b.recover("j", 4); len(reply.Jobs) != 0 {
			t.Fatalf("got %+v", reply)
		}
	})
}

func TestBounds(t *testing.T) {
	t.Run("the oldest results go first and then count as lost", func(t *testing.T) {
		b := newBench(t, Config{MaxResultBytes: 10})
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0, 1))
		b.finish("j", 0, ccwire.CodeDone, "123456")
		b.finish("j", 1, ccwire.CodeDone, "123456")
		b.revoke(0, ccwire.CodeLost)
		b.revoke(1, ccwire.CodeDone)
	})
	t.Run("a full memory refuses starts, then promises", func(t *testing.T) {
		b := newBench(t, Config{MaxMarks: 8, Slots: 100})
		result := b.table.Dispatch(b.now, entryA, b.dispatch("j", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9))
		if len(result.Starts) != 6 || result.Bounced[0].Code != ccwire.CodeFull {
			t.Fatalf("started %d, bounced %v", len(result.Starts), result.Bounced)
		}
		_, err := b.table.Recover(b.now, entryA, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: "k", Claim: 1}, {ID: "l", Claim: 1}, {ID: "m", Claim: 1}}})
		if err == nil {
			t.Fatal("a promise was given without room to keep it")
		}
	})
	t.Run("jobs are forgotten when nothing runs and the retention is over", func(t *testing.T) {
		b := newBench(t, Config{})
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0))
		b.advance(2 * time.Minute)
		b.revoke(0, ccwire.CodeRunning)
		b.finish("j", 0, ccwire.CodeDone, "y")
		b.advance(2 * time.Minute)
		if b.table.Marks() != 0 || b.table.ResultBytes() != 0 {
			t.Fatalf("%d marks and %d bytes are left", b.table.Marks(), b.table.ResultBytes())
		}
	})
}

func TestOffers(t *testing.T) {
	want := func(b *bench, entry ccnode.Ref, n int) {
		msg := b.dispatch("w")
		msg.Want = n
		b.table.Dispatch(b.now, entry, msg)
	}
	offered := func(b *bench, entry ccnode.Ref) int {
		report, _ := b.table.TakeReport(b.now, entry)
		return report.Offer
	}
	t.Run("the next free slot is held for who wants it, for a short time", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.hello(entryB, 1)
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 0))
		want(b, entryB, 1)
		b.finish("j", 0, ccwire.CodeDone, "")
		if got := offered(b, entryB); got != 1 {
			t.Fatalf("offered %d, want 1", got)
		}
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("k", 0)), ccwire.CodeFull)
		b.advance(offerHold)
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("l", 0)), 0)
	})
	t.Run("the offer is used by its entry", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		want(b, entryA, 1)
		b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
	})
	t.Run("entries that want take turns though one gets a report anyway", func(t *testing.T) {
		b := newBench(t, Config{Slots: 1})
		b.hello(entryB, 1)
		counts := make(map[ccnode.Ref]int)
		b.table.Dispatch(b.now, entryA, b.dispatch("j", 1000))
		want(b, entryB, 100)
		want(b, entryA, 100)
		b.finish("j", 1000, ccwire.CodeDone, "")
		for i := range 40 {
			for _, entry := range []ccnode.Ref{entryA, entryB} {
				if n := offered(b, entry); n > 0 {
					counts[entry] += n
					msg := b.dispatch("j", i)
					msg.Want = 100
					b.assertStarts(b.table.Dispatch(b.now, entry, msg), i)
				}
			}
			b.finish("j", i, ccwire.CodeDone, "")
		}
		if diff := counts[entryA] - counts[entryB]; diff > offerLead+1 || diff < -offerLead-1 {
			t.Fatalf("offers were %v", counts)
		}
	})
	t.Run("a domain that is out offers nothing", func(t *testing.T) {
		b := newBench(t, Config{})
		b.setView(6, true)
		want(b, entryA, 1)
		if got := offered(b, entryA); got != 0 {
			t.Fatalf("offered %d", got)
		}
	})
}

func TestPause(t *testing.T) {
	b := newBench(t, Config{})
	b.now = b.now.Add(3 * time.Second)
	b.table.Tick(b.now)
	if pause, ok := b.table.TakePause(); !ok || pause != 3*time.Second {
		t.Fatalf("pause is %s, %t", pause, ok)
	}
	b.assertStarts(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), 0)
}

func TestSlots(t *testing.T) {
	cases := []struct{ own, slots, connections, want int }{
		{0, 8, 64, 8}, {4, 8, 64, 4}, {16, 8, 64, 8}, {0, 100, 64, 64}, {0, 0, 0, defaultSlots}, {3, 0, 0, 3},
	}
	for _, c := range cases {
		table := NewTable(Config{Self: agentRef, Service: "proof", Slots: c.own, Since: epoch})
		table.SetView(epoch, &ccsettings.AgentView{Version: 1, Services: map[string]ccsettings.Service{
			"proof": {Slots: c.slots, Connections: c.connections},
		}})
		if got := table.Slots(); got != c.want {
			t.Errorf("%+v gives %d slots", c, got)
		}
	}
}

func TestHold(t *testing.T) {
	full := func(t *testing.T, run time.Duration) *bench {
		b := newBench(t, Config{})
		b.table.Dispatch(b.now, entryA, b.dispatch("k", 0, 1))
		b.table.Finished(b.now, End{Job: "k", Index: 0, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, Run: run})
		b.table.Dispatch(b.now, entryA, b.dispatch("l", 0))
		return b
	}
	hold := func(t *testing.T) *bench {
		b := full(t, 20*time.Millisecond)
		result := b.table.Dispatch(b.now, entryA, b.dispatch("j", 0))
		if len(result.Starts)+len(result.Bounced) != 0 {
			t.Fatalf("got %+v, want the task held", result)
		}
		return b
	}
	free := func(b *bench) {
		b.table.Finished(b.now, End{Job: "k", Index: 1, Attempt: 1, Claim: 3, Code: ccwire.CodeDone, Run: 20 * time.Millisecond})
	}
	t.Run("starts when a slot is free", func(t *testing.T) {
		b := hold(t)
		free(b)
		b.assertStarts(b.table.TakeLate(), 0)
	})
	t.Run("goes back after the limit", func(t *testing.T) {
		b := hold(t)
		b.now = b.now.Add(holdLimit)
		b.table.Tick(b.now)
		b.assertBounce(b.table.TakeLate(), ccwire.CodeFull)
	})
	t.Run("goes back at once where tasks are long", func(t *testing.T) {
		b := full(t, time.Second)
		b.assertBounce(b.table.Dispatch(b.now, entryA, b.dispatch("j", 0)), ccwire.CodeFull)
	})
	t.Run("is revoked like any task that has not started", func(t *testing.T) {
		b := hold(t)
		_, err := b.table.Revoke(b.now, ccwire.Revoke{Agent: b.table.cfg.Self, Jobs: []ccwire.RevokeJob{
			{ID: "j", Claim: 3, Tasks: []ccwire.RevokeTask{{Index: 0, Attempt: 1}}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		free(b)
		b.assertStarts(b.table.TakeLate())
	})
	t.Run("goes back when the agent leaves", func(t *testing.T) {
		b := hold(t)
		b.table.Leave(b.now)
		b.assertBounce(b.table.TakeLate(), ccwire.CodeClosed)
	})
	t.Run("ends with its session", func(t *testing.T) {
		b := hold(t)
		b.table.Disconnected(b.now, entryA, 1)
		free(b)
		b.assertStarts(b.table.TakeLate())
	})
}

func TestOldEcho(t *testing.T) {
	idle := func(t *testing.T, quiet, confirmed time.Duration) (*bench, ccwire.Dispatch) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.advance(quiet)
		b.table.Confirm(b.now.Add(-confirmed))
		return b, msg
	}
	t.Run("starts while the view is known to be new", func(t *testing.T) {
		b, msg := idle(t, 10*time.Second, confirmLimit)
		b.assertStarts(b.table.Dispatch(b.now, entryA, msg), 0)
	})
	t.Run("goes back when the view may be old", func(t *testing.T) {
		b, msg := idle(t, 10*time.Second, confirmLimit+time.Millisecond)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("goes back when it is too old for any view", func(t *testing.T) {
		b, msg := idle(t, 31*time.Second, 0)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
	t.Run("goes back after a pause", func(t *testing.T) {
		b := newBench(t, Config{})
		msg := b.dispatch("j", 0)
		b.now = b.now.Add(2 * time.Second)
		b.table.Confirm(b.now)
		b.assertBounce(b.table.Dispatch(b.now, entryA, msg), ccwire.CodeStale)
	})
}
