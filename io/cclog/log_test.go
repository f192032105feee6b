package cclog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks each write until unblock is closed, as a pipe that nobody reads does.
type blockedWriter struct{ unblock chan struct{} }

func (s *blockedWriter) Write([]byte) (int, error) {
	<-s.unblock
	return 0, nil
}

// lineBuffer collects everything that is written.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lineBuffer) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(l.text.String()), "\n")
}

// Guards against callers that block in a log call because the reader of the output
// has stopped reading.
func TestBlockedOutputDoesNotDelayLogging(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	defer close(s.unblock)
	log := New(Config{Out: s, Budget: 1 << 30})
	done := make(chan struct{})
	go func() {
		for i := range 20_000 {
			log.Logger.Info("Task placed.", "job", fmt.Sprint(i), "agent", strings.Repeat("a", 80))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	if full, _ := log.Dropped(); full == 0 {
		t.Error("no line is counted as dropped")
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	out := &lineBuffer{}
	q := newQueue(out)
	_, _ = q.Write(bytes.Repeat([]byte("x"), queueBytes+1))
	_, _ = q.Write([]byte("{}\n"))
	q.close()
	if got := out.all(); !strings.Contains(got[len(got)-1], `"count":1`) {
		t.Errorf("last line: got %q", got[len(got)-1])
	}
}

// Guards against a budget that is exceeded under load, and against requests of which
// only a part of the lines is kept.
func TestBudgetKeepsWholeRequests(t *testing.T) {
	b := newBudget(1000)
	at := time.Unix(1000, 0)
	kept := 0
	linesByRequest := map[string]int{}
	for second := range 4 {
		kept = 0
		clear(linesByRequest)
		for i := range 10_000 {
			id := fmt.Sprintf("%d-%d", second, i/10)
			if b.keep(at, "m", id) {
				kept++
				linesByRequest[id]++
			}
		}
		at = at.Add(time.Second)
	}
	if kept > 1500 || kept < 300 {
		t.Errorf("kept %d lines of 10,000 with a budget of 1,000", kept)
	}
	for id, n := range linesByRequest {
		if n != 10 {
			t.Errorf("request %s is incomplete: %d of 10 lines kept", id, n)
		}
	}
}

// Guards against lines about requests that use up the budget of other lines.
func TestRequestLinesDoNotDisplaceOthers(t *testing.T) {
	b := newBudget(1)
	at := time.Unix(1000, 0)
	for range 1000 {
		b.keep(at, "m", "j")
	}
	if !b.keep(at.Add(time.Second), "Worker lost.", "") {
		t.Error("a line without a request is omitted because of lines about requests")
	}
}

func TestLine(t *testing.T) {
	out := &lineBuffer{}
	log := New(Config{Out: out})
	log.Logger.WithName("entry").Info("Task placed.", "job", "j1", "index", 2)
	log.Logger.V(1).Info("Debug line at level info.", "job", "j1")
	log.SetLevel("debug")
	log.Logger.V(1).Info("Debug line at level debug.", "job", "j1")
	log.Close()
	got := out.all()
	if len(got) != 2 {
		t.Fatalf("lines: got %q", got)
	}
	var line struct{ Level, Logger, Msg, Job string }
	if err := json.Unmarshal([]byte(got[0]), &line); err != nil || line.Logger != "entry" || line.Msg != "Task placed." || line.Job != "j1" {
		t.Errorf("line: got %s, %v", got[0], err)
	}
}

func BenchmarkLine(b *testing.B) {
	log := New(Config{Out: &lineBuffer{}, Budget: 1 << 30})
	for b.Loop() {
		log.Logger.Info("Task placed.", "job", "5c0e7a21d94b36f8", "index", 2, "agent", "agent-1", "room", 4000)
	}
}

// writeRecorder records each write separately.
type writeRecorder struct {
	mu     sync.Mutex
	writes []string
}

func (p *writeRecorder) Write(piece []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = append(p.writes, string(piece))
	return len(piece), nil
}

// Guards against writes that end within a line or exceed what a pipe accepts
// atomically: lines of processes that share the pipe would be interleaved.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &writeRecorder{}
	log := New(Config{Out: out})
	long := strings.Repeat("x", 2*writeBytes)
	for n := range 300 {
		log.Logger.Info(fmt.Sprintf("Line %d.", n), "job", "5c0e", "index", n)
		if n == 150 {
			log.Logger.Info("A long line.", "job", "5c0e", "reason", long)
		}
	}
	log.Close()
	lines := 0
	for _, piece := range out.writes {
		lines += strings.Count(piece, "\n")
		if !strings.HasSuffix(piece, "\n") {
			t.Errorf("a write ends within a line: %q", piece[max(0, len(piece)-40):])
		}
		if len(piece) > writeBytes && !strings.Contains(piece, long) {
			t.Errorf("a write has %d bytes, want %d at most", len(piece), writeBytes)
		}
	}
	if lines != 301 {
		t.Errorf("lines: got %d, want 301", lines)
	}
}
