package ccevent

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccjob"

	"github.com/sebdah/goldie/v2"
)

const (
	testJob  = ccjob.ID("0190a5c5-0000-7000-8000-000000000001")
	otherJob = ccjob.ID("0190a5c5-0000-7000-8000-000000000002")
)

// historyEvents returns the events of a job during which agent-3 and entry-1
// crash and which entry-2 takes over. The clock of agent-1 is 40 s ahead. The
// events of the two crashed processes are lost.
func historyEvents() []Event {
	entry1, entry2 := newFakeNode("entry-1", 0, 100), newFakeNode("entry-2", 0, 100)
	agent1, agent2 := newFakeNode("agent-1", 40*time.Second, 100), newFakeNode("agent-2", 0, 8)
	agent3 := newFakeNode("agent-3", 0, 100)
	one := func(kind Kind, index int) Event { return Event{Kind: kind, Job: testJob, Index: index} }
	many := func(kind Kind, count int, peer *fakeNode, text string) Event {
		event := Event{Kind: kind, Job: testJob, Index: NoIndex, Count: count, Text: text}
		if peer != nil {
			event.Peer = peer.ref.ID
		}
		return event
	}
	entry1.at(0, Event{Kind: KindAccepted, Job: testJob, Index: NoIndex, Count: 6, Team: "sales"})
	entry2.at(0.3, Event{Kind: KindGranted, Job: testJob, Index: NoIndex, Claim: 9, Peer: "entry-1"}, entry1)
	entry1.at(0.6, Event{Kind: KindClaimed, Job: testJob, Index: NoIndex, Claim: 9, Peer: "entry-2"}, entry2)
	entry1.at(5, many(KindSent, 3, agent1, ""))
	agent1.at(5.4, one(KindStarted, 0), entry1)
	agent1.at(5.5, one(KindStarted, 1), entry1)
	agent1.at(5.6, one(KindBounced, 2), entry1)
	entry1.at(6, many(KindReturned, 1, agent1, "full"), agent1)
	entry1.at(6.1, many(KindSent, 2, agent2, ""))
	entry1.at(6.2, many(KindSent, 2, agent3, ""))
	agent3.at(6.5, one(KindStarted, 4), entry1)
	for i := range 4 {
		agent2.at(6.6+float64(i)/100, Event{Kind: KindStarted, Job: otherJob, Index: i}, entry2)
	}
	agent2.at(6.9, one(KindStarted, 2), entry1)
	agent2.at(7, one(KindStarted, 3), entry1)
	agent1.at(90, one(KindFinished, 0))
	agent1.at(95, one(KindFinished, 1))
	entry1.at(95.5, many(KindAnswered, 2, agent1, ""), agent1)
	agent2.at(120, one(KindFinished, 2))
	agent2.at(130, one(KindFinished, 3))
	entry2.at(140, Event{Kind: KindAgentDown, Index: NoIndex, Peer: "agent-3", Text: "connection closed"}, agent3)
	entry2.at(400, Event{Kind: KindAccepted, Job: testJob, Index: NoIndex, Count: 6, Team: "sales"})
	entry2.at(900, Event{Kind: KindRecovered, Job: testJob, Index: NoIndex, Claim: 10, Peer: "entry-1"})
	agent2.at(900.5, Event{Kind: KindFenced, Job: testJob, Index: NoIndex, Claim: 10, Peer: "entry-2"}, entry2)
	entry2.at(901, many(KindAnswered, 2, agent2, ""), agent2)
	entry2.at(1500, Event{Kind: KindFailed, Job: testJob, Index: NoIndex, Text: "lost: agent-3 can't be asked"})
	return collectEvents(entry2, agent1, agent2)
}

func golden(t *testing.T, name string, write func(io.Writer) error) {
	t.Helper()
	var out bytes.Buffer
	if err := write(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, out.Bytes())
}

func TestGolden(t *testing.T) {
	timeline := Merge(historyEvents())
	job := Filter{Job: testJob, IncludeSurrounding: true}.Apply(timeline)
	golden(t, "timeline.txt", func(w io.Writer) error { return WriteText(w, timeline) })
	golden(t, "job.txt", func(w io.Writer) error { return WriteText(w, job) })
	golden(t, "job.svg", func(w io.Writer) error { return WriteSVG(w, job) })
	golden(t, "folded.txt", func(w io.Writer) error { return WriteText(w, timeline.Fold()) })
	golden(t, "folded.svg", func(w io.Writer) error { return WriteSVG(w, job.Fold()) })
	golden(t, "explain.txt", func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.Join(Explain(timeline, testJob), "\n"))
		return err
	})
	golden(t, "unknown.txt", func(w io.Writer) error {
		_, err := fmt.Fprintln(w, strings.Join(Explain(timeline, "nobody-knows"), "\n"))
		return err
	})
}

func TestJSONReadsBack(t *testing.T) {
	timeline := Merge(historyEvents())
	data, err := json.Marshal(timeline)
	if err != nil {
		t.Fatal(err)
	}
	var back Timeline
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	again, _ := json.Marshal(back)
	if !bytes.Equal(data, again) {
		t.Errorf("got %s\nwant %s", again, data)
	}
}

func TestSVGIsWellFormedAtAnySize(t *testing.T) {
	var nodes []*fakeNode
	for i := range 20 {
		nodes = append(nodes, newFakeNode("a-node-with-a-rather-long-name<&>", time.Duration(i)*time.Second, 1000))
	}
	for i := range MaxDrawn + 500 {
		event := Event{Kind: KindSent, Job: testJob, Text: strings.Repeat(`"<x>&`, 60)}
		nodes[i%20].at(float64(i), event, nodes[(i+1)%20])
	}
	for name, timeline := range map[string]Timeline{"none": {}, "history": Merge(historyEvents()), "large": Merge(collectEvents(nodes...))} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := WriteSVG(&out, timeline); err != nil {
				t.Fatal(err)
			}
			decoder := xml.NewDecoder(&out)
			for {
				if _, err := decoder.Token(); errors.Is(err, io.EOF) {
					return
				} else if err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

func TestFilter(t *testing.T) {
	timeline := Merge(historyEvents())
	task := 2
	cases := map[string]struct {
		filter Filter
		want   func(*Step) bool
	}{
		"job":    {Filter{Job: testJob}, func(s *Step) bool { return s.Job == testJob }},
		"task":   {Filter{Job: testJob, Task: &task}, func(s *Step) bool { return s.Job == testJob && (s.Index == 2 || s.Index == NoIndex) }},
		"node":   {Filter{Node: "agent-1"}, func(s *Step) bool { return s.Node.ID == "agent-1" || s.Peer == "agent-1" }},
		"domain": {Filter{Domain: "d-agent-2"}, func(s *Step) bool { return s.Node.ID == "agent-2" }},
		"team":   {Filter{Team: "sales"}, func(s *Step) bool { return s.Team == "sales" }},
		"kinds":  {Filter{Kinds: []Kind{KindFailed, KindFenced}}, func(s *Step) bool { return s.Kind == KindFailed || s.Kind == KindFenced }},
		"time": {Filter{Since: start.Add(90 * time.Millisecond), Until: start.Add(time.Second)}, func(s *Step) bool {
			return !s.When.Before(start.Add(90*time.Millisecond)) && !s.When.After(start.Add(time.Second))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			kept := c.filter.Apply(timeline).Steps
			want := 0
			for i := range timeline.Steps {
				if c.want(&timeline.Steps[i]) {
					want++
				}
			}
			if len(kept) != want || want == 0 || want == len(timeline.Steps) {
				t.Fatalf("got %d steps, want %d", len(kept), want)
			}
			for i := range kept {
				if !c.want(&kept[i]) {
					t.Errorf("kept %+v", kept[i])
				}
			}
		})
	}
}

func TestRanges(t *testing.T) {
	got := ranges([]int{5, 1, 2, 3, 9, 9})
	if got != "1-3, 5, 9" {
		t.Errorf("got %q", got)
	}
	if long := ranges([]int{0, 2, 4, 6, 8, 10, 12, 14, 16}); !strings.HasSuffix(long, "14, …") {
		t.Errorf("got %q", long)
	}
}

func TestExplainNamesDuplicateStarts(t *testing.T) {
	a, b := newFakeNode("a", 0, 10), newFakeNode("b", 0, 10)
	a.at(1, Event{Kind: KindStarted, Job: testJob, Index: 4})
	b.at(2, Event{Kind: KindStarted, Job: testJob, Index: 4})
	text := strings.Join(Explain(Merge(collectEvents(a, b)), testJob), "\n")
	if !strings.Contains(text, "Task 4 started more than once: at a and b.") {
		t.Errorf("got %s", text)
	}
}

func TestExplainNamesPreviousDriver(t *testing.T) {
	one, two, agent := newFakeNode("one", 0, 10), newFakeNode("two", 0, 10), newFakeNode("agent", 0, 10)
	agent.at(1, Event{Kind: KindStarted, Job: testJob, Index: 0, Peer: "gone"})
	two.at(2, Event{Kind: KindAccepted, Job: testJob, Index: NoIndex})
	one.at(3, Event{Kind: KindGranted, Job: testJob, Index: NoIndex, Peer: "two", Text: "recover"}, two)
	one.at(4, Event{Kind: KindGranted, Job: testJob, Index: NoIndex, Peer: "two", Text: "recover"}, two)
	for _, node := range []*fakeNode{one, two, agent} {
		node.at(5, Event{Kind: KindVersion, Index: NoIndex, Count: 7})
	}
	two.at(6, Event{Kind: KindRecovered, Job: testJob, Index: NoIndex}, agent)
	text := strings.Join(Explain(Merge(collectEvents(one, two, agent)), testJob), "\n")
	for _, want := range []string{
		"one let two take it over.\ntwo took it over from gone at 12:00:00.006, having asked the agents for 2ms.",
		"Meanwhile settings version 7 came into force at 3 processes.",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

func TestMarksDiffer(t *testing.T) {
	kinds := make(map[mark]Kind)
	for kind, m := range marks {
		if other, known := kinds[m]; known {
			t.Errorf("%s and %s look the same", kind, other)
		}
		kinds[m] = kind
	}
}
