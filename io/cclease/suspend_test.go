package cclease

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
)

// fakeSuspension is a suspendDetector that reports one suspension, once it is set.
type fakeSuspension struct{ pending atomic.Bool }

func (f *fakeSuspension) Resumed() bool            { return f.pending.Swap(false) }
func (f *fakeSuspension) ResumedAt(time.Time) bool { return f.pending.Swap(false) }

// Guards against orders from before a suspension that start runs after it: the timer that
// detects the suspension comes later than what the agent has received meanwhile.
func TestSuspensionIsDetectedBeforeTheFirstEvent(t *testing.T) {
	suspension := &fakeSuspension{}
	agent := New(Config{Node: ccnode.Ref{ID: "agent-1", Incarnation: 1}, Domain: "north", Log: logr.Discard()})
	agent.suspend = suspension
	agent.spawn(agent.control)
	defer func() {
		agent.cancel()
		agent.wg.Wait()
	}()
	for range 20 {
		late := make(chan bool, 1)
		agent.do(func(time.Time) {
			suspension.pending.Store(true)
			agent.events <- func(time.Time) { late <- suspension.pending.Load() }
		})
		if <-late {
			t.Fatal("an event was handled before the suspension was known")
		}
	}
}
