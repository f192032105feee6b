package cclog

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const collected = `  12.1 entry-1 {"level":"info","ts":"2026-01-02T03:04:05.2Z","logger":"entry","msg":"Task placed.","node":"entry-1","job":"j1","index":0,"agent":"agent-1","attempt":1,"waitedMs":0,"room":4000}
  12.2 agent-1 {"level":"info","ts":"2026-01-02T03:04:05.6Z","logger":"agent","msg":"Worker rests.","node":"agent-1","job":"","reason":"worker makes no progress","ageMs":500}
no line
  12.0 entry-1 {"level":"info","ts":"2026-01-02T03:04:05.1Z","logger":"entry","msg":"Job taken.","node":"entry-1","job":"j1","reason":"r-1","count":1}
  12.2 agent-2 {"level":"info","ts":"2026-01-02T03:04:05.6Z","logger":"agent","msg":"Worker rests.","node":"agent-2","job":"","reason":"worker makes no progress"}
  12.3 entry-1 {"level":"info","ts":"2026-01-02T03:04:05.7Z","logger":"entry","msg":"Run is moved.","node":"entry-1","job":"j1","index":0,"agent":"agent-1","reason":"too slow","ageMs":250,"count":0}
  12.3 entry-1 {"level":"info","ts":"2026-01-02T03:04:05.8Z","logger":"entry","msg":"Request answered.","node":"entry-1","job":"j2","state":"complete"}
{"ts":"never","msg":"x"}
`

func TestJobLines(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(collected))
	if err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, line := range JobLines(lines, "j1", time.Second) {
		text = append(text, line.Text())
	}
	goldie.New(t).Assert(t, "story", []byte(strings.Join(text, "\n")+"\n"))
	if got := JobLines(lines, "j9", time.Second); got != nil {
		t.Errorf("lines of an unknown job: got %v, want none", got)
	}
}
