package cclease

import (
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

// ordersAt delivers a start order that echoes a report sent at the given time.
func (f *fixture) ordersAt(echo time.Time, job string) Actions {
	f.seq++
	f.order++
	f.manager.OrdersReceived(f.now, entryA.ID, ccwire.Orders{
		Sequence: f.seq, EchoMS: echo.Sub(epoch).Milliseconds(),
		Starts: []ccwire.StartOrder{{Task: ccwire.TaskRef{Job: job}, Order: f.order, Payload: "p"}},
	})
	return f.take()
}

// Guards against a task that runs twice because an agent carries out orders from before a
// suspension of its host: its clock shows no gap, and the entry has placed the task elsewhere.
func TestOrdersFromBeforeASuspensionAreDropped(t *testing.T) {
	f := newFixture(t)
	f.keepAlive(entryA, entryB)
	f.now = f.now.Add(20 * time.Millisecond)
	echo := f.now
	f.now = f.now.Add(30 * time.Millisecond)
	f.manager.Resumed(f.now)
	if out := f.ordersAt(echo, "j1"); len(out.Starts) != 0 || !slices.Contains(out.CloseSessions, entryA.ID) {
		t.Errorf("starts by an order from before the suspension: got %d, want none and a closed session", len(out.Starts))
	}
	f.openSession(entryA)
	if out := f.ordersAt(f.now, "j2"); len(out.Starts) != 1 {
		t.Errorf("starts by an order in a session from after the suspension: got %d, want 1", len(out.Starts))
	}
}

// Guards against the same through a session that was requested before the suspension.
func TestSessionRequestedBeforeASuspension(t *testing.T) {
	f := newFixture(t)
	attach := f.attachRequest(entryA)
	requested := f.now
	f.now = f.now.Add(30 * time.Millisecond)
	f.manager.Resumed(f.now)
	if f.manager.SessionOpened(f.now, entryA, attach.Session) {
		t.Error("the session is opened")
	}
	if out := f.ordersAt(requested, "j1"); len(out.Starts) != 0 {
		t.Error("an order from before the suspension is carried out")
	}
}
