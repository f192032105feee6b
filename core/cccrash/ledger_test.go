package cccrash

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fixture records crashes, each at a worker of its own.
type fixture struct {
	ledger *Ledger
	now    time.Time
	number uint64
}

func newFixture() *fixture { return &fixture{ledger: NewLedger(), now: start} }

func (f *fixture) crash(suspects ...ccwire.CrashSuspect) Findings {
	return f.crashAt("agent", suspects...)
}

func (f *fixture) crashAt(agent ccnode.ID, suspects ...ccwire.CrashSuspect) Findings {
	f.number++
	f.now = f.now.Add(100 * time.Millisecond)
	found, _ := f.ledger.Record(f.now, ccnode.Ref{ID: agent, Incarnation: 1}, ccwire.CrashReport{Number: f.number, Suspects: suspects})
	return found
}

func suspect(job string, ranMS int64) ccwire.CrashSuspect {
	return ccwire.CrashSuspect{Task: ccwire.TaskRef{Job: job}, Class: 7, RanMS: ranMS}
}

func (f *fixture) wantCauses(t *testing.T, found Findings, jobs ...string) {
	t.Helper()
	var got []string
	for _, task := range found.Causes {
		got = append(got, task.Job)
	}
	if !slices.Equal(got, jobs) {
		t.Errorf("causes: got %v, want %v", got, jobs)
	}
}

func TestCause(t *testing.T) {
	t.Run("one crash accuses no task", func(t *testing.T) {
		f := newFixture()
		f.wantCauses(t, f.crash(suspect("a", 12), suspect("b", 300)))
	})
	t.Run("a task that crashes its workers after the same time is the cause, and those beside it are not", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12), suspect("b", 300))
		f.wantCauses(t, f.crash(suspect("a", 13), suspect("b", 20)), "a")
	})
	t.Run("several jobs that were started together twice are not told apart", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12), suspect("b", 13))
		f.wantCauses(t, f.crash(suspect("a", 12), suspect("b", 13)))
	})
	t.Run("a task in three crashes is given up whatever its runs were like", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 100))
		f.crash(suspect("a", 200))
		f.wantCauses(t, f.crash(suspect("a", 400)), "a")
	})
	t.Run("a crash that is reported again does not count twice", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12))
		f.number--
		f.wantCauses(t, f.crash(suspect("a", 12)))
	})
	t.Run("crashes that only another entry knew of count", func(t *testing.T) {
		f := newFixture()
		s := suspect("a", 40)
		s.Crashes = 2
		f.wantCauses(t, f.crash(s), "a")
	})
	// Guards against the failure of jobs that ran beside one that crashes its workers.
	t.Run("crashes of which another job is the cause do not count", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12), suspect("b", 100))
		f.wantCauses(t, f.crash(suspect("a", 12), suspect("b", 200)), "a")
		f.wantCauses(t, f.crash(suspect("b", 400)))
	})
	t.Run("a task in four crashes is given up though they had other causes", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12), suspect("b", 100))
		f.wantCauses(t, f.crash(suspect("a", 12), suspect("b", 200)), "a")
		f.crash(suspect("c", 12), suspect("b", 300))
		f.wantCauses(t, f.crash(suspect("c", 12), suspect("b", 600)), "c", "b")
	})
	t.Run("a count that makes no sense is bounded", func(t *testing.T) {
		f := newFixture()
		s := suspect("a", 40)
		s.Crashes = math.MaxInt
		f.wantCauses(t, f.crash(s), "a")
	})
	t.Run("crashes of long ago do not count", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12))
		f.now = f.now.Add(2 * retention)
		f.wantCauses(t, f.crash(suspect("a", 12)))
	})
}

func TestIsolation(t *testing.T) {
	// causes records jobs that each crash two workers.
	causes := func(f *fixture, jobs ...string) []uint32 {
		var isolated []uint32
		for _, job := range jobs {
			f.crash(suspect(job, 12))
			isolated = append(isolated, f.crash(suspect(job, 12)).Isolated...)
		}
		return isolated
	}
	t.Run("a job isolates its class until no worker has crashed under it for a while", func(t *testing.T) {
		f := newFixture()
		if got := causes(f, "a"); !slices.Equal(got, []uint32{7}) {
			t.Fatalf("isolated: got %v, want class 7", got)
		}
		f.now = f.now.Add(quietTime / 2)
		f.crash(suspect("b", 12))
		f.now = f.now.Add(quietTime - time.Millisecond)
		if len(f.ledger.Isolated(f.now)) != 1 {
			t.Error("the class was released too early")
		}
		f.now = f.now.Add(time.Millisecond)
		if len(f.ledger.Isolated(f.now)) != 0 {
			t.Error("the class was not released")
		}
	})
	t.Run("the time in which its workers are down is not quiet", func(t *testing.T) {
		f := newFixture()
		causes(f, "a")
		f.now = f.now.Add(quietTime / 2)
		f.ledger.Prolong(f.now, 7)
		f.now = f.now.Add(quietTime - time.Millisecond)
		if len(f.ledger.Isolated(f.now)) != 1 {
			t.Error("the class was released too early")
		}
	})
	// Guards against the isolation of the classes beside the one that crashes workers.
	t.Run("jobs that are given up together isolate nothing", func(t *testing.T) {
		f := newFixture()
		for _, ran := range []int64{100, 200, 400} {
			f.crash(suspect("a", ran), suspect("b", 2*ran))
		}
		if got := f.ledger.Isolated(f.now); len(got) != 0 || !f.ledger.IsCause(ccwire.TaskRef{Job: "a"}) {
			t.Errorf("isolated: got %v, want none and the jobs given up", got)
		}
	})
	// Guards against the isolation of a class whose job ran beside the cause of a crash.
	t.Run("a class is released when another job was the cause", func(t *testing.T) {
		f := newFixture()
		beside := suspect("b", 7)
		beside.Class = 8
		f.crash(beside, suspect("a", 12))
		beside.RanMS = 5
		f.crash(beside, suspect("c", 12))
		if got := f.ledger.Isolated(f.now); !slices.Equal(got, []uint32{8}) {
			t.Fatalf("isolated: got %v, want class 8", got)
		}
		f.crash(suspect("a", 12))
		if got := f.ledger.Isolated(f.now); !slices.Equal(got, []uint32{7}) || f.ledger.IsCause(beside.Task) {
			t.Errorf("isolated: got %v, want class 7, and no verdict on the task beside", got)
		}
	})
	t.Run("a crash without a cause isolates nothing", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 12), suspect("b", 500))
		if got := f.ledger.Isolated(f.now); len(got) != 0 {
			t.Errorf("isolated: got %v, want none", got)
		}
	})
}

// Guards against a ledger that grows without bound while workers crash.
func TestLedgerIsBounded(t *testing.T) {
	f := newFixture()
	for i := range 3 * maxTasks {
		f.crash(suspect(fmt.Sprint(i), int64(i)))
	}
	if got := len(f.ledger.tasks); got > maxTasks+1 {
		t.Errorf("records: got %d, want %d at most", got, maxTasks+1)
	}
	if got, want := len(f.ledger.order), len(f.ledger.tasks); got != want {
		t.Errorf("order: got %d records, want %d", got, want)
	}
}

// Guards against an isolated class that takes more workers from the others than those that
// it has crashed.
func TestIsolationAgents(t *testing.T) {
	f := newFixture()
	for _, id := range []ccnode.ID{"b", "a", "b"} {
		f.crashAt(id, suspect("culprit", 12))
	}
	if got, want := f.ledger.IsolationAgents(f.now, 7), []ccnode.ID{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("agents: got %v, want %v", got, want)
	}
	f.now = f.now.Add(quietTime)
	if got := f.ledger.IsolationAgents(f.now, 7); len(got) != 0 {
		t.Errorf("agents of a class that was released: got %v, want none", got)
	}
}

// Guards against further crashes of a class while the verdict on its first one is due, and
// against a class that is stopped because workers crash by themselves.
func TestHeld(t *testing.T) {
	wantHeld := func(t *testing.T, f *fixture, class uint32, job string, want bool) {
		t.Helper()
		if got := f.ledger.Held(f.now, class, ccwire.TaskRef{Job: job}); got != want {
			t.Errorf("class %d, job %s, held: got %t, want %t", class, job, got, want)
		}
	}
	t.Run("a class is held after two crashes with runs alike, but for the first suspect", func(t *testing.T) {
		f := newFixture()
		f.crash(suspect("a", 40))
		wantHeld(t, f, 7, "new", false)
		f.now = f.now.Add(-90 * time.Millisecond)
		f.crash(suspect("b", 41))
		wantHeld(t, f, 7, "a", false)
		wantHeld(t, f, 7, "b", true)
		wantHeld(t, f, 7, "new", true)
		wantHeld(t, f, 8, "new", false)
		f.now = f.now.Add(62 * time.Millisecond)
		wantHeld(t, f, 7, "new", false)
	})
	t.Run("a class is held once a second at most", func(t *testing.T) {
		f := newFixture()
		f.now = f.now.Add(-90 * time.Millisecond)
		for i, job := range []string{"a", "b", "c", "d", "e"} {
			f.now = f.now.Add(-60 * time.Millisecond)
			f.crash(suspect(job, int64(30+i/2)))
		}
		wantHeld(t, f, 7, "new", false)
	})
	t.Run("runs that differ, are long or lie apart hold nothing", func(t *testing.T) {
		for _, second := range []struct {
			ranMS int64
			after time.Duration
		}{{35, 0}, {30, holdWindow}} {
			f := newFixture()
			f.crash(suspect("a", 30))
			f.now = f.now.Add(second.after)
			f.crash(suspect("b", second.ranMS))
			wantHeld(t, f, 7, "new", false)
		}
		f := newFixture()
		f.crash(suspect("a", 200))
		f.crash(suspect("b", 200))
		wantHeld(t, f, 7, "new", false)
	})
	t.Run("a verdict releases the classes of its crashes", func(t *testing.T) {
		f := newFixture()
		beside := func(job string) ccwire.CrashSuspect {
			s := suspect(job, 40)
			s.Class = 8
			return s
		}
		f.crash(suspect("a", 20), beside("x"))
		f.now = f.now.Add(-90 * time.Millisecond)
		f.crash(suspect("b", 30), beside("y"))
		wantHeld(t, f, 8, "new", true)
		f.now = f.now.Add(-90 * time.Millisecond)
		f.crash(suspect("a", 20))
		wantHeld(t, f, 8, "new", false)
	})
}
