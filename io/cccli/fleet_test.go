package cccli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	ioevent "camphorcroft/io/ccevent"
	"camphorcroft/io/ccstandin"
	"camphorcroft/io/ccstore"
)

const testJob = "0190a5c5-0000-7000-8000-000000000001"

var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newNode serves a ring and metrics as a process does, and returns its address.
func newNode(t *testing.T, ring *ccevent.Ring, vars string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/events", ioevent.NewHandler(ring))
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(vars)) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newFleet returns the addresses of an entry and an agent that lags behind it.
func newFleet(t *testing.T) string {
	t.Helper()
	entry := ccevent.NewRing(ccevent.RingConfig{Node: ccnode.Ref{ID: "entry-1", Incarnation: 1}, Size: 10})
	agent := ccevent.NewRing(ccevent.RingConfig{Node: ccnode.Ref{ID: "agent-1", Incarnation: 2}, Domain: "north", Size: 10})
	entry.Record(testStart, ccevent.Event{Kind: ccevent.KindAccepted, Job: testJob, Index: ccevent.NoIndex, Count: 1, Team: "sales"})
	sent := entry.Record(testStart.Add(time.Millisecond), ccevent.Event{Kind: ccevent.KindSent, Job: testJob, Index: 0, Peer: "agent-1"})
	agent.Record(testStart.Add(2*time.Millisecond), ccevent.Event{Kind: ccevent.KindStarted, Job: testJob, Index: 0, Cause: ccevent.Cause{Node: "entry-1", Incarnation: 1, Seq: sent}})
	entry.Record(testStart, ccevent.Event{Kind: ccevent.KindAccepted, Job: "another", Index: ccevent.NoIndex, Team: "loans"})
	return newNode(t, entry, `{"process":"entry-1","entry":{"version":7,"versionAgeSeconds":3,"pendingJobs":2,"services":[{"waitingTasks":5}],"agents":[{"node":"agent-1","up":true,"ejected":true}]}}`) +
		"," + newNode(t, agent, `{"process":"agent-1","settingsVersion":6,"tasksRunning":3,"slots":8}`)
}

func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func assertHas(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

func TestTimeline(t *testing.T) {
	nodes := newFleet(t)
	t.Run("text of one job", func(t *testing.T) {
		code, out, _ := run(t, "timeline", "--nodes", nodes, "--job", testJob)
		if code != ExitOK || strings.Contains(out, "loans") {
			t.Errorf("got code %d", code)
		}
		assertHas(t, out, "# job "+testJob, "accepted    count=1 team=sales", "started     task=0 after=entry-1:2")
	})
	t.Run("JSON with filters", func(t *testing.T) {
		_, out, _ := run(t, "timeline", "--nodes", nodes, "--output", "json", "--kind", "accepted", "--team", "loans")
		var timeline ccevent.Timeline
		if err := json.Unmarshal([]byte(out), &timeline); err != nil || len(timeline.Steps) != 1 || timeline.Steps[0].Job != "another" {
			t.Errorf("got %v %s", err, out)
		}
	})
	t.Run("SVG in a file", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "job.svg")
		code, _, _ := run(t, "timeline", "--nodes", nodes, "--output", "svg", "--out", path)
		data, err := os.ReadFile(path)
		if code != ExitOK || err != nil || !strings.HasPrefix(string(data), "<svg") {
			t.Errorf("got code %d, %v", code, err)
		}
	})
	t.Run("silent process", func(t *testing.T) {
		code, _, errs := run(t, "timeline", "--nodes", "127.0.0.1:1")
		if code != ExitOK {
			t.Errorf("got code %d", code)
		}
		assertHas(t, errs, "silent: 127.0.0.1:1")
	})
	t.Run("wrong use", func(t *testing.T) {
		for _, args := range [][]string{{"--store", "x"}, {"--nodes", "x"}, {"--nodes", nodes, "--task", "x"}, {"--nodes", nodes, "--since", "x"}, {"--nodes", nodes, "--follow", "--output", "svg"}} {
			if code, _, _ := run(t, append([]string{"timeline"}, args...)...); code != ExitUsage {
				t.Errorf("%v: got code %d", args, code)
			}
		}
	})
}

func TestFollow(t *testing.T) {
	ring := ccevent.NewRing(ccevent.RingConfig{Node: ccnode.Ref{ID: "entry-1", Incarnation: 1}, Size: 10})
	ring.Record(testStart, ccevent.Event{Kind: ccevent.KindUp, Index: ccevent.NoIndex})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &cancelingWriter{cancel: cancel}
	if code := Main(ctx, []string{"timeline", "--nodes", newNode(t, ring, "{}"), "--follow"}, out, &bytes.Buffer{}); code != ExitOK {
		t.Errorf("got code %d", code)
	}
	assertHas(t, out.String(), "entry-1  up")
}

// cancelingWriter ends the command at its first output.
type cancelingWriter struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (w *cancelingWriter) Write(data []byte) (int, error) {
	w.cancel()
	return w.Buffer.Write(data)
}

func TestExplainJob(t *testing.T) {
	nodes := newFleet(t)
	code, out, _ := run(t, "explain", "job", "--nodes", nodes, testJob)
	if code != ExitOK {
		t.Errorf("got code %d", code)
	}
	assertHas(t, out, "entry-1 accepted it at 12:00:00.000 with 1 task of team sales.", "agent-1 (north) ran 1 task: 0; no end is recorded there.")
	if code, _, _ := run(t, "explain", "job", "--nodes", nodes); code != ExitUsage {
		t.Errorf("without a job: got code %d", code)
	}
}

func TestStatus(t *testing.T) {
	nodes := newFleet(t)
	t.Run("text", func(t *testing.T) {
		code, out, errs := run(t, "status", "--nodes", nodes+",127.0.0.1:1")
		if code != ExitFailed {
			t.Errorf("got code %d", code)
		}
		assertHas(t, out, "settings version 7", "agent-1 lags: version 6", "127.0.0.1:1 is silent", "3 of 8 slots", "2 jobs, 5 tasks waiting, 1 targets", "entry-1 sees agent-1 as ejected.")
		assertHas(t, errs, "1 nodes lag, 1 are silent")
	})
	t.Run("JSON", func(t *testing.T) {
		_, out, _ := run(t, "status", "--nodes", nodes, "--output", "json")
		var report statusReport
		if err := json.Unmarshal([]byte(out), &report); err != nil || len(report.Nodes) != 2 || strings.Join(report.Lagging, " ") != "agent-1" {
			t.Errorf("got %v %s", err, out)
		}
	})
}

func TestEventsInAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.json")
	ring := ccevent.NewRing(ccevent.RingConfig{Node: ccnode.Ref{ID: "entry-1", Incarnation: 1}, Size: 10})
	ring.Record(testStart, ccevent.Event{Kind: ccevent.KindAccepted, Job: testJob, Index: ccevent.NoIndex, Count: 2})
	if err := writeEvents(path, [][]ccevent.Event{ring.After(0), nil}); err != nil {
		t.Fatal(err)
	}
	_, out, _ := run(t, "timeline", "--events", path)
	assertHas(t, out, "entry-1  accepted    count=2")
	_, out, _ = run(t, "explain", "job", "--events", path, testJob)
	assertHas(t, out, "entry-1 accepted it at 12:00:00.000 with 2 tasks.")
	if code, _, _ := run(t, "timeline", "--events", path+".missing"); code != ExitFailed {
		t.Errorf("a missing file: got code %d", code)
	}
	if code, _, _ := run(t, "load", "--events", path, "--compare", "lateBinding,roundRobin"); code != ExitUsage {
		t.Errorf("two policies: got code %d", code)
	}
}

func TestNodesAreFoundThroughTheStore(t *testing.T) {
	nodes := strings.Split(newFleet(t), ",")
	store := ccstandin.NewStore(ccstandin.StoreConfig{Seed: 1})
	if err := store.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	addr := store.Addr().String()
	if code, _, errs := run(t, "status", "--store", addr); code != ExitFailed || !strings.Contains(errs, "the store knows no process") {
		t.Errorf("empty store: got code %d and %s", code, errs)
	}
	for key, value := range map[string]string{
		"settings/head":  `{"version":8}`,
		"entries/roster": `{"epoch":1,"entries":[{"ref":{"id":"entry-1","incarnation":1},"http":"` + nodes[0] + `"}]}`,
		"cells/0":        `{"members":[{"node":{"id":"agent-1","incarnation":2},"http":"` + nodes[1] + `","domain":"north","slots":8}]}`,
	} {
		if _, err := store.Swap(context.Background(), key, 0, []byte(value), ccstore.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	_, out, errs := run(t, "status", "--store", addr)
	assertHas(t, out, "settings version 8", "domain north: 1 targets, 8 slots, 3 tasks running")
	assertHas(t, errs, "2 nodes lag, 0 are silent")
	_, out, _ = run(t, "explain", "job", "--store", addr, testJob)
	assertHas(t, out, "agent-1 (north) ran 1 task: 0")
	if code, _, _ := run(t, "timeline", "--store", "x"); code != ExitUsage {
		t.Errorf("wrong address: got code %d", code)
	}
}
