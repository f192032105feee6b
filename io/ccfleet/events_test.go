package ccfleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccnode"
	ioevent "camphorcroft/io/ccevent"
)

func newEventsFleet(t *testing.T) *Fleet {
	t.Helper()
	profile := ccload.Profile{Service: "proof", Domains: []string{"north", "south", "west"}}
	for _, domain := range profile.Domains {
		profile.Targets = append(profile.Targets, ccload.Target{Domain: domain, Speed: 1, Slots: 4})
	}
	fleet := New(Config{Profile: profile, Entries: 2, Log: logr.Discard()})
	if err := fleet.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

// readTimeline collects the events of the given processes over HTTP.
func readTimeline(t *testing.T, addrs []netip.AddrPort, job ccjob.ID) ccevent.Timeline {
	t.Helper()
	collector := ioevent.NewCollector(ioevent.CollectorConfig{})
	defer collector.Close()
	return ioevent.NewFollower(collector, job).Read(context.Background(), addrs)
}

// stepKey names an event.
type stepKey struct {
	node ccnode.Ref
	seq  uint64
}

// assertCauses checks that each cause that is kept stands before its effect.
func assertCauses(t *testing.T, timeline ccevent.Timeline) {
	t.Helper()
	if timeline.BrokenCauses != 0 {
		t.Errorf("%d causes are broken", timeline.BrokenCauses)
	}
	place := make(map[stepKey]int)
	for i, step := range timeline.Steps {
		place[stepKey{step.Node, step.Seq}] = i
	}
	for i, step := range timeline.Steps {
		cause := stepKey{ccnode.Ref{ID: step.Cause.Node, Incarnation: step.Cause.Incarnation}, step.Cause.Seq}
		if before, kept := place[cause]; kept && before > i {
			t.Errorf("%s:%d stands before its cause %s:%d", step.Node, step.Seq, cause.node, cause.seq)
		}
		if step.Kind == ccevent.KindStarted && step.Cause.Node == "" {
			t.Errorf("%s:%d started without a cause", step.Node, step.Seq)
		}
	}
}

func assertSentence(t *testing.T, sentences []string, parts ...string) {
	t.Helper()
	if !slices.ContainsFunc(sentences, func(sentence string) bool {
		return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(sentence, part) })
	}) {
		t.Errorf("no sentence has %q:\n%s", parts, strings.Join(sentences, "\n"))
	}
}

func TestHistoryOfAJob(t *testing.T) {
	fleet := newEventsFleet(t)
	const id, tasks = ccjob.ID("history"), 60
	assertComplete(t, fleet, id, tasks)
	assertComplete(t, fleet, "another", 3)
	agents := fleet.AgentAddrs()
	addrs := append(fleet.EntryAddrs(), agents...)
	t.Run("covers the entry and the agents in causal order", func(t *testing.T) {
		timeline := readTimeline(t, addrs, id)
		assertCauses(t, timeline)
		job := ccevent.Filter{Job: id}.Apply(timeline)
		nodes, started := make(map[ccnode.ID]bool), 0
		for _, step := range job.Steps {
			nodes[step.Node.ID] = true
			if step.Kind == ccevent.KindStarted {
				started++
			}
		}
		if len(nodes) < 4 || started != tasks {
			t.Errorf("%d starts at %v", started, nodes)
		}
		if first, last := job.Steps[0].Kind, job.Steps[len(job.Steps)-1].Kind; first != ccevent.KindAccepted || last != ccevent.KindCompleted {
			t.Errorf("it goes from %s to %s", first, last)
		}
		sentences := ccevent.Explain(timeline, id)
		assertSentence(t, sentences, "accepted it at", "with 60 tasks of team t")
		for _, domain := range []string{"north", "south", "west"} {
			assertSentence(t, sentences, "("+domain+") ran")
		}
		assertSentence(t, sentences, "answered it whole")
	})
	t.Run("shows resubmissions at the driver and elsewhere", func(t *testing.T) {
		for _, entry := range fleet.EntryAddrs() {
			assertCompleteAt(t, []netip.AddrPort{entry}, id, tasks)
		}
		timeline := readTimeline(t, addrs, id)
		assertCauses(t, timeline)
		count := make(map[ccevent.Kind]int)
		for _, step := range (ccevent.Filter{Job: id}).Apply(timeline).Steps {
			count[step.Kind]++
			if step.Kind == ccevent.KindGranted && (step.Peer != step.Cause.Node || step.Cause.Seq == 0) {
				t.Errorf("the grant to %s has the cause %+v", step.Peer, step.Cause)
			}
		}
		if count[ccevent.KindClaimed] != 1 || count[ccevent.KindAttached] != 2 || count[ccevent.KindStarted] != tasks {
			t.Errorf("got %v", count)
		}
		sentences := ccevent.Explain(timeline, id)
		assertSentence(t, sentences, "got it again at")
		assertSentence(t, sentences, "got it too at", "and waited for entry-")
	})
	t.Run("tells of a dead agent from its peers' side", func(t *testing.T) {
		apply(t, fleet, ccfault.Fault{Kind: ccfault.KindKillAgent})
		timeline := readTimeline(t, addrs, id)
		for _, lane := range timeline.Lanes {
			if lane.Node.ID == "agent-1" && (!lane.Silent || lane.Mentions == nil || lane.Mentions.Newest == 0) {
				t.Errorf("got %+v", lane)
			}
		}
		sentences := ccevent.Explain(timeline, id)
		assertSentence(t, sentences, "agent-1 ran", "as the answers show")
		assertSentence(t, sentences, "agent-1 is silent", "named it last")
	})
}

// TestMetricsPage holds that the page names each metric that a process serves.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	fleet := newEventsFleet(t)
	assertComplete(t, fleet, "j", 3)
	for _, addr := range []netip.AddrPort{fleet.EntryAddrs()[0], fleet.AgentAddrs()[0]} {
		body, err := get(t.Context(), addr, "/debug/vars")
		if err != nil {
			t.Fatal(err)
		}
		var vars map[string]any
		if err := json.Unmarshal(body, &vars); err != nil {
			t.Fatal(err)
		}
		assertNamed(t, string(page), vars)
	}
}

// byKind are the maps whose keys are kinds or codes.
var byKind = []string{"refusals", "outcomes", "tasksBounced", "tasksFinished", "storeCallsByKind"}

func assertNamed(t *testing.T, page string, value any) {
	t.Helper()
	switch value := value.(type) {
	case map[string]any:
		for name, below := range value {
			if !regexp.MustCompile("[`.]" + name + "(`|\\[)").MatchString(page) {
				t.Errorf("the page does not name %s", name)
			}
			if !slices.Contains(byKind, name) {
				assertNamed(t, page, below)
			}
		}
	case []any:
		for _, below := range value {
			assertNamed(t, page, below)
		}
	}
}
