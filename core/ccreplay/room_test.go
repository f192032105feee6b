package ccreplay

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"camphorcroft/core/cclimit"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

const (
	roomTasks = 20_000
	largeJob  = 1500
)

// newRoomFixture returns a fixture whose scheduler limits its tasks, with an agent without
// free capacity.
func newRoomFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.s = New(Config{Self: ccnode.Ref{ID: "entry"}, Domain: "north", MaxTasks: roomTasks})
	f.s.SetPlan(f.now, &ccroute.Plan{Revision: 1, Routes: []ccroute.Route{route}})
	f.session++
	f.s.Attach(f.now, ccwire.Attach{
		Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Session: f.session,
		Report: ccwire.RunReport{PriorRunsEnded: true, Worker: &ccwire.WorkerInfo{Domain: "north", Service: "proof", Capacity: ccresource.Amount{CPU: 4000}}},
	})
	f.s.Take(f.now)
	return f
}

// submitMany submits large jobs, of different IDs, and returns how many are refused.
func (f *fixture) submitMany(prefix string, jobs int, modify ...func(*Request)) int {
	for i := range jobs {
		f.submit(fmt.Sprint(prefix, i), largeJob, modify...)
	}
	refused := 0
	for _, a := range f.take().Answers {
		if a.State != StateRefused || a.RetryAfter < time.Second {
			f.t.Errorf("answer %+v", a)
		}
		refused++
	}
	return refused
}

// Guards against jobs of legal size that take all memory of an entry while they wait.
func TestTasksAreBounded(t *testing.T) {
	f := newRoomFixture(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	refused := f.submitMany("large-", 1000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if f.s.tasks > roomTasks || refused == 0 {
		t.Errorf("%d tasks are held, %d jobs refused", f.s.tasks, refused)
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > roomTasks*cclimit.TaskMemory {
		t.Errorf("the tasks take %d bytes, and at most %d are reckoned with", grown, roomTasks*cclimit.TaskMemory)
	}
	if size := unsafe.Sizeof(task{}); size > cclimit.TaskMemory {
		t.Errorf("a task takes %d bytes", size)
	}
	runtime.KeepAlive(f)
}

// Guards against callers of a few tasks who are refused since others ask for large jobs again
// and again.
func TestSmallJobsFindRoom(t *testing.T) {
	f := newRoomFixture(t)
	f.submitMany("large-", 1000)
	for i := range 100 {
		f.submit(fmt.Sprint("small-", i), 3)
	}
	for _, a := range f.take().Answers {
		t.Errorf("answer %+v", a)
	}
}

// Guards against tasks that count as held after their job has ended.
func TestRoomIsReleased(t *testing.T) {
	f := newRoomFixture(t)
	f.submitMany("large-", 1000)
	f.advance(2100 * time.Millisecond)
	f.take()
	if f.s.tasks != 0 {
		t.Errorf("%d tasks are held without a job", f.s.tasks)
	}
	if token := f.submit("next", largeJob); token > 0 {
		for _, a := range f.take().Answers {
			t.Errorf("answer %+v", a)
		}
	}
}
