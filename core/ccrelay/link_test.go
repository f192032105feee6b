package ccrelay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccroute"
)

const (
	linkAgents = 10
	linkStep   = 5 * time.Millisecond
	// linkRoutes is how many routes a large configuration adds.
	linkRoutes = 1400
)

// delivery is a message on its way.
type delivery struct {
	at  time.Time
	run func()
}

// link carries messages one after the other at a rate.
type link struct {
	bytesPerSecond float64
	busyUntil      time.Time
	queue          []delivery
}

func (l *link) send(t *testing.T, now time.Time, message any, run func()) {
	t.Helper()
	body, err := cbor.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(len(body)) / l.bytesPerSecond * float64(time.Second)))
	l.queue = append(l.queue, delivery{at: l.busyUntil.Add(time.Millisecond), run: run})
}

func (l *link) deliver(now time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(now) {
		next := l.queue[0]
		l.queue = l.queue[1:]
		next.run()
	}
}

// linkWorld is an entry, whose link is narrow, and its agents.
type linkWorld struct {
	t         *testing.T
	now       time.Time
	entry     ccnode.Ref
	scheduler *ccreplay.Scheduler
	agents    []*cclease.Manager
	sessions  uint64
	open      []bool
	out, in   link
	ended     int // Sessions that were closed.
	whole     bool
}

func newLinkWorld(t *testing.T, megabits float64, whole bool) *linkWorld {
	t.Helper()
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &linkWorld{
		t: t, now: start, whole: whole, entry: ccnode.Ref{ID: "entry", Incarnation: 1}, open: make([]bool, linkAgents),
		out: link{bytesPerSecond: megabits * 1e6 / 8}, in: link{bytesPerSecond: megabits * 1e6 / 8},
	}
	w.scheduler = ccreplay.New(ccreplay.Config{Self: w.entry, Domain: "north"})
	for range linkAgents {
		w.agents = append(w.agents, cclease.NewManager(cclease.Config{Token: 1, StartTime: start}))
	}
	return w
}

func agentID(i int) ccnode.ID { return ccnode.ID(fmt.Sprintf("agent-%d", i)) }

// connect opens the sessions that are closed.
func (w *linkWorld) connect() {
	w.t.Helper()
	for i, m := range w.agents {
		if w.open[i] {
			continue
		}
		w.sessions++
		attach, ok := m.AttachRequest(w.now, ccnode.Ref{ID: agentID(i), Incarnation: 1}, w.entry, w.sessions)
		attach.PlanPieces = attach.PlanPieces && !w.whole
		if !ok || !w.scheduler.Attach(w.now, attach) || !m.SessionOpened(w.now, w.entry, w.sessions) {
			w.t.Fatalf("session %d of %s is refused", w.sessions, agentID(i))
		}
		w.open[i] = true
	}
}

func (w *linkWorld) close(i int) {
	if w.open[i] {
		w.open[i] = false
		w.ended++
		w.agents[i].SessionClosed(w.entry.ID)
		w.scheduler.Detach(w.now, agentID(i))
	}
}

// run plays the world until done returns true or the limit has passed. It returns the time it took.
func (w *linkWorld) run(limit time.Duration, done func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !done() && w.now.Sub(start) < limit {
		w.now = w.now.Add(linkStep)
		w.out.deliver(w.now)
		w.in.deliver(w.now)
		w.scheduler.Tick(w.now)
		for i, m := range w.agents {
			m.Tick(w.now)
			out := m.Take()
			for _, r := range out.Reports {
				session := w.sessions
				w.in.send(w.t, w.now, r.Report, func() {
					if w.open[i] && session <= w.sessions {
						w.scheduler.Report(w.now, agentID(i), r.Report)
					}
				})
			}
			if len(out.CloseSessions) > 0 {
				w.close(i)
			}
		}
		out := w.scheduler.Take(w.now)
		for _, m := range out.Messages {
			for i := range w.agents {
				if agentID(i) == m.To {
					w.out.send(w.t, w.now, m.Orders, func() {
						if w.open[i] {
							w.agents[i].OrdersReceived(w.now, w.entry.ID, m.Orders)
						}
					})
				}
			}
		}
		for _, id := range out.CloseSessions {
			for i := range w.agents {
				if agentID(i) == id {
					w.close(i)
				}
			}
		}
		w.connect()
	}
	return w.now.Sub(start)
}

// holders returns how many agents have a plan.
func (w *linkWorld) holders(revision uint64) int {
	n := 0
	for _, m := range w.agents {
		if m.Plan() != nil && m.Plan().Revision == revision {
			n++
		}
	}
	return n
}

// largePlan returns a plan with many routes, whose names are alike or random.
func largePlan(revision uint64, routes, nameBytes int) *ccroute.Plan {
	rng := rand.New(rand.NewPCG(revision, 1))
	plan := &ccroute.Plan{Revision: revision, Version: revision}
	for i := range routes {
		name := make([]byte, nameBytes)
		for j := range name {
			name[j] = byte(' ' + rng.IntN(90))
		}
		plan.Routes = append(plan.Routes, ccroute.Route{
			Name: fmt.Sprintf("added-%d", i), Host: "host.example", Prefix: fmt.Sprintf("/added-%d%s/", i, name), Service: "proof", MaxAttempts: 3, Stretch: 1.6,
			Allowance: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		})
	}
	return plan
}

// Guards against a plan that closes the sessions of its way, since it takes longer on a narrow link
// than any of them may be silent.
func TestLargePlanClosesNoSession(t *testing.T) {
	const relays = 8
	for _, c := range []struct {
		name              string
		megabits          float64
		routes, nameBytes int
		limit             time.Duration
	}{
		{"1,400 routes at 2 Mbit/s", 2, linkRoutes, 0, 4 * time.Second},
		{"1,400 routes at 1 Mbit/s", 1, linkRoutes, 0, 4 * time.Second},
		{"a value of 1 MiB that can't be compressed at 2 Mbit/s", 2, linkRoutes, 650, 90 * time.Second},
		{"a value of 1 MiB that can't be compressed at 1 Mbit/s", 1, linkRoutes, 650, 180 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newLinkWorld(t, c.megabits, false)
			w.connect()
			w.run(2*time.Second, func() bool { return false })
			w.scheduler.SetPlan(w.now, largePlan(7, c.routes, c.nameBytes))
			took := w.run(c.limit, func() bool { return w.holders(7) == relays })
			if w.ended > 0 || w.holders(7) != relays {
				t.Errorf("got %d sessions closed, and the plan at %d agents of %d after %v", w.ended, w.holders(7), relays, took)
			}
			t.Logf("at %d agents after %v", w.holders(7), took)
		})
	}
	t.Run("a second plan while the first is on its way", func(t *testing.T) {
		w := newLinkWorld(t, 2, false)
		w.connect()
		w.scheduler.SetPlan(w.now, largePlan(7, linkRoutes, 650))
		w.run(700*time.Millisecond, func() bool { return false })
		w.scheduler.SetPlan(w.now, largePlan(8, linkRoutes, 0))
		w.run(4*time.Second, func() bool { return w.holders(8) == relays })
		if w.ended > 0 || w.holders(8) != relays {
			t.Errorf("got %d sessions closed, and the second plan at %d agents", w.ended, w.holders(8))
		}
	})
	t.Run("plans that are sent whole are found", func(t *testing.T) {
		w := newLinkWorld(t, 2, true)
		w.connect()
		w.scheduler.SetPlan(w.now, largePlan(7, linkRoutes, 0))
		w.run(10*time.Second, func() bool { return false })
		if w.ended == 0 {
			t.Error("no session was closed")
		}
		t.Logf("%d sessions closed", w.ended)
	})
}

// Guards against an entry without the store that never gets a large plan from its agents.
func TestLargePlanFromAnAgent(t *testing.T) {
	w := newLinkWorld(t, 2, false)
	w.connect()
	w.scheduler.SetPlan(w.now, largePlan(7, linkRoutes, 0))
	w.run(4*time.Second, func() bool { return w.holders(7) == 8 })
	w.entry.Incarnation++
	w.scheduler = ccreplay.New(ccreplay.Config{Self: w.entry, Domain: "north"})
	clear(w.open)
	w.out.queue, w.in.queue, w.ended = nil, nil, 0
	took := w.run(4*time.Second, func() bool { return w.scheduler.Plan() != nil && w.scheduler.Plan().Revision == 7 })
	if w.scheduler.Plan() == nil || w.ended > 0 {
		t.Errorf("got %d sessions closed and the plan %v after %v", w.ended, w.scheduler.Plan() != nil, took)
	}
	t.Logf("after %v", took)
}
