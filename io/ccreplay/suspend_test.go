package ccreplay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroute"
)

// fakeSuspension is a suspendDetector that reports one suspension, once it is set.
type fakeSuspension struct{ pending atomic.Bool }

func (f *fakeSuspension) Resumed() bool            { return f.pending.Swap(false) }
func (f *fakeSuspension) ResumedAt(time.Time) bool { return f.pending.Swap(false) }

// Guards against tasks that are placed after a suspension for callers that left during it: the
// timer that detects the suspension comes later than what the entry has received meanwhile.
func TestSuspensionIsDetectedBeforeTheFirstEvent(t *testing.T) {
	suspension := &fakeSuspension{}
	entry := New(Config{Node: ccnode.Ref{ID: "entry-1", Incarnation: 1}, Domain: "north", Log: logr.Discard()})
	entry.suspend = suspension
	entry.spawn(entry.control)
	defer func() {
		entry.cancel()
		entry.wg.Wait()
	}()
	for range 20 {
		late := make(chan bool, 1)
		entry.do(func(time.Time) {
			suspension.pending.Store(true)
			entry.events <- func(time.Time) { late <- suspension.pending.Load() }
		})
		if <-late {
			t.Fatal("an event was handled before the suspension was known")
		}
	}
	for revision := range uint64(5) {
		applied := make(chan struct{})
		entry.do(func(time.Time) {
			suspension.pending.Store(true)
			entry.applyPlan(&ccroute.Plan{Revision: revision + 1})
			close(applied)
		})
		<-applied
		if suspension.pending.Load() {
			t.Fatal("a plan was applied before the suspension was known")
		}
	}
}
