package ccevent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphorcroft/core/ccnode"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// fakeNode simulates a process with its own clock and ring buffer.
type fakeNode struct {
	ref   ccnode.Ref
	clock time.Duration // Offset from the true time.
	ring  *Ring
}

func newFakeNode(id ccnode.ID, clock time.Duration, size int) *fakeNode {
	ref := ccnode.Ref{ID: id, Incarnation: ccnode.NewIncarnation(start.Add(clock))}
	return &fakeNode{ref: ref, clock: clock, ring: NewRing(RingConfig{Node: ref, Domain: "d-" + string(id), Size: size})}
}

// at records an event at the given true time in milliseconds after start. Its
// cause is the newest event of the last node in causes.
func (n *fakeNode) at(ms float64, event Event, causes ...*fakeNode) {
	for _, c := range causes {
		event.Cause = Cause{Node: c.ref.ID, Incarnation: c.ref.Incarnation, Seq: c.ring.Newest()}
	}
	n.ring.Record(start.Add(n.clock+time.Duration(ms*float64(time.Millisecond))), event)
}

func collectEvents(nodes ...*fakeNode) []Event {
	var events []Event
	for _, n := range nodes {
		events = append(events, n.ring.After(0)...)
	}
	return events
}

// assertCausal checks that each lane keeps its order, that causes precede their
// effects, and that time never decreases.
func assertCausal(t testing.TB, timeline Timeline, events int) {
	t.Helper()
	if len(timeline.Steps) != events {
		t.Fatalf("got %d steps of %d events", len(timeline.Steps), events)
	}
	seen := make(map[ccnode.Ref]uint64)
	var last time.Time
	for _, step := range timeline.Steps {
		if step.Seq <= seen[step.Node] {
			t.Fatalf("%s: number %d after %d", step.Node, step.Seq, seen[step.Node])
		}
		seen[step.Node] = step.Seq
		cause := ccnode.Ref{ID: step.Cause.Node, Incarnation: step.Cause.Incarnation}
		if cause.ID != "" && seen[cause] < step.Cause.Seq {
			t.Fatalf("%s:%d before its cause %s:%d", step.Node, step.Seq, cause, step.Cause.Seq)
		}
		if step.When.Before(last) {
			t.Fatalf("%s:%d is earlier than the step before it", step.Node, step.Seq)
		}
		last = step.When
	}
}

func laneOf(t testing.TB, timeline Timeline, id ccnode.ID) Lane {
	t.Helper()
	for _, l := range timeline.Lanes {
		if l.Node.ID == id {
			return l
		}
	}
	t.Fatalf("no lane for %s", id)
	return Lane{}
}

func TestMergeKeepsCausalOrderUnderClockSkew(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := make([]*fakeNode, rapid.IntRange(1, 6).Draw(rt, "nodes"))
		for i := range nodes {
			clock := time.Duration(rapid.Int64Range(-3600_000, 3600_000).Draw(rt, "clock")) * time.Millisecond
			nodes[i] = newFakeNode(ccnode.ID(fmt.Sprintf("n-%d", i)), clock, 1000)
		}
		steps := rapid.IntRange(0, 100).Draw(rt, "steps")
		for i := range steps {
			from := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "from")]
			to := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "to")]
			from.at(float64(i), Event{Kind: KindSent, Index: NoIndex})
			if from != to {
				to.at(float64(i)+0.4, Event{Kind: KindStarted, Index: i}, from)
			}
		}
		events := collectEvents(nodes...)
		timeline := Merge(events)
		assertCausal(t, timeline, len(events))
		if timeline.BrokenCauses != 0 {
			rt.Fatalf("%d causes broken", timeline.BrokenCauses)
		}
		shuffled := append(append([]Event(nil), events...), events...)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if fmt.Sprint(Merge(shuffled)) != fmt.Sprint(timeline) {
			rt.Fatal("the order of the input changed the result")
		}
	})
}

func TestMergeEstimatesClocks(t *testing.T) {
	a, b, c := newFakeNode("a", 0, 100), newFakeNode("b", 90*time.Second, 100), newFakeNode("c", time.Millisecond/5, 100)
	for i := range 10 {
		ms := float64(100 * i)
		a.at(ms, Event{Kind: KindSent})
		b.at(ms+0.5, Event{Kind: KindStarted}, a)
		b.at(ms+20, Event{Kind: KindFinished})
		a.at(ms+20.5, Event{Kind: KindAnswered}, b)
		a.at(ms+21, Event{Kind: KindSent})
		c.at(ms+21.5, Event{Kind: KindStarted}, a)
		c.at(ms+50, Event{Kind: KindFinished})
		a.at(ms+50.5, Event{Kind: KindAnswered}, c)
	}
	timeline := Merge(collectEvents(a, b, c))
	assertCausal(t, timeline, 80)
	t.Run("corrects a wrong clock", func(t *testing.T) {
		if off := laneOf(t, timeline, "b").Offset + 90*time.Second; off.Abs() > time.Millisecond {
			t.Errorf("off by %s", off)
		}
	})
	t.Run("keeps a clock that may be correct", func(t *testing.T) {
		if off := laneOf(t, timeline, "c").Offset; off != 0 {
			t.Errorf("got offset %s", off)
		}
	})
	t.Run("orders unrelated events by true time", func(t *testing.T) {
		order := ""
		for _, step := range timeline.Steps[:8] {
			order += string(step.Node.ID)
		}
		if order != "abbaacca" {
			t.Errorf("got %s", order)
		}
	})
}

func TestMergeCountsDroppedEvents(t *testing.T) {
	a, b := newFakeNode("a", 0, 4), newFakeNode("b", 0, 100)
	for i := range 10 {
		a.at(float64(i), Event{Kind: KindSent})
		b.at(float64(i)+0.5, Event{Kind: KindStarted}, a)
	}
	timeline := Merge(collectEvents(a, b))
	if got := laneOf(t, timeline, "a").Dropped; got != 6 {
		t.Errorf("got %d dropped, want 6", got)
	}
	for _, step := range timeline.Steps {
		if step.Node.ID == "a" && step.Seq == 7 && step.Dropped != 6 {
			t.Errorf("the first kept event reports %d dropped, want 6", step.Dropped)
		}
	}
}

func TestMergeReportsSilentProcesses(t *testing.T) {
	a, dead := newFakeNode("a", 0, 100), newFakeNode("dead", 0, 100)
	restarted := newFakeNode("dead", time.Minute, 100)
	dead.at(1, Event{Kind: KindStarted})
	a.at(2, Event{Kind: KindAnswered, Peer: "dead"}, dead)
	a.at(3, Event{Kind: KindAgentDown, Peer: "dead"})
	t.Run("crashed process", func(t *testing.T) {
		l := laneOf(t, Merge(collectEvents(a)), "dead")
		if !l.Silent || l.Mentions.Events != 2 || l.Mentions.Kind != KindAgentDown || l.Mentions.Newest != 1 {
			t.Errorf("got %+v %+v", l, l.Mentions)
		}
	})
	t.Run("earlier incarnation", func(t *testing.T) {
		restarted.at(-50_000, Event{Kind: KindUp})
		timeline := Merge(collectEvents(a, restarted))
		silent := 0
		for _, l := range timeline.Lanes {
			if l.Silent && l.Node == dead.ref {
				silent++
			}
		}
		if silent != 1 {
			t.Errorf("got lanes %+v", timeline.Lanes)
		}
	})
}

func TestMergeBreaksCycles(t *testing.T) {
	a, b := newFakeNode("a", 0, 100), newFakeNode("b", 0, 100)
	events := []Event{
		{Node: a.ref, Seq: 1, At: start, Cause: Cause{Node: "b", Seq: 1}},
		{Node: b.ref, Seq: 1, At: start, Cause: Cause{Node: "a", Seq: 1}},
	}
	timeline := Merge(events)
	if len(timeline.Steps) != 2 || timeline.BrokenCauses != 1 {
		t.Errorf("got %d steps and %d broken", len(timeline.Steps), timeline.BrokenCauses)
	}
}

func TestMergeBoundsItsInput(t *testing.T) {
	a := newFakeNode("a", 0, 100)
	for i := range 10 {
		a.at(float64(i), Event{Kind: KindSent})
	}
	lanes := splitLanes(collectEvents(a), 3)
	if len(lanes[0].events) != 3 || lanes[0].events[0].Seq != 8 || lanes[0].missing() != 7 {
		t.Errorf("got %d events from number %d on", len(lanes[0].events), lanes[0].events[0].Seq)
	}
}

// BenchmarkMerge merges 100,000 events of 14 processes, half of which have a
// cause in another process.
func BenchmarkMerge(b *testing.B) {
	var nodes []*fakeNode
	for i := range 14 {
		nodes = append(nodes, newFakeNode(ccnode.ID(fmt.Sprintf("n-%d", i)), time.Duration(i)*time.Second, 100_000))
	}
	for i := range 50_000 {
		from, to := nodes[i%3], nodes[3+i%11]
		from.at(float64(i), Event{Kind: KindSent, Index: i})
		to.at(float64(i)+0.4, Event{Kind: KindStarted, Index: i}, from)
	}
	events := collectEvents(nodes...)
	b.ReportAllocs()
	for b.Loop() {
		Merge(events)
	}
}
