package ccevent

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

func TestRing(t *testing.T) {
	ref := ccnode.Ref{ID: "a", Incarnation: 7}
	t.Run("keeps the newest", func(t *testing.T) {
		ring := NewRing(RingConfig{Node: ref, Domain: "north", Size: 3})
		for i := range 5 {
			ring.Record(start.Add(time.Duration(i)), Event{Kind: KindSent, Index: i})
		}
		assertSeqs(t, ring.After(0), 3, 4, 5)
		assertSeqs(t, ring.After(4), 5)
		assertSeqs(t, ring.After(5))
		if first := ring.After(0)[0]; first.Node != ref || first.Domain != "north" || first.Index != 2 || !first.At.Equal(start.Add(2)) {
			t.Errorf("got %+v", first)
		}
	})
	t.Run("size zero counts events and keeps none", func(t *testing.T) {
		ring := NewRing(RingConfig{Node: ref})
		if seq := ring.Record(start, Event{}); seq != 1 || ring.Newest() != 1 {
			t.Errorf("got number %d", seq)
		}
		assertSeqs(t, ring.After(0))
	})
	t.Run("returns nothing after a future number", func(t *testing.T) {
		ring := NewRing(RingConfig{Node: ref, Size: 3})
		ring.Record(start, Event{})
		assertSeqs(t, ring.After(1<<63))
	})
}

func assertSeqs(t *testing.T, events []Event, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, event := range events {
		got = append(got, event.Seq)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got numbers %v, want %v", got, want)
	}
}

// BenchmarkTask measures the cost of recording one task of a job of 100: its
// start and end at the agent, and its share of the grouped events at the entry.
func BenchmarkTask(b *testing.B) {
	const group = 10
	for name, size := range map[string]int{"off": 0, "on": 65536} {
		b.Run(name, func(b *testing.B) {
			entry := NewRing(RingConfig{Node: ccnode.Ref{ID: "entry-1"}, Domain: "north", Size: size})
			agent := NewRing(RingConfig{Node: ccnode.Ref{ID: "agent-1"}, Domain: "north", Size: size})
			job := ccjob.ID("0190a5c5-0000-7000-8000-000000000000")
			b.ReportAllocs()
			for i := range b.N {
				if i%group == 0 {
					entry.Record(start, Event{Kind: KindSent, Job: job, Index: NoIndex, Count: group, Peer: "agent-1"})
					entry.Record(start, Event{Kind: KindAnswered, Job: job, Index: NoIndex, Count: group, Peer: "agent-1"})
				}
				agent.Record(start, Event{Kind: KindStarted, Job: job, Index: i, Cause: Cause{Node: "entry-1", Seq: 1}})
				agent.Record(start, Event{Kind: KindFinished, Job: job, Index: i})
			}
		})
	}
}
