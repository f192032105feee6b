package cclog

import (
	"errors"
	"expvar"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/go-logr/logr/funcr"
)

// Guards against items of another writer that fill the log or the memory.
func TestMalformed(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	counts := new(expvar.Map).Init()
	count := func(reader string) string {
		if v := counts.Get(reader); v != nil {
			return v.String()
		}
		return "0"
	}
	m := NewMalformed(log, counts)
	cause := errors.New("port 65536")
	for range 3 {
		m.Skip("entries", "entries/live/x", cause)
	}
	if len(lines) != 1 || !strings.Contains(lines[0], "entries/live/x") || !strings.Contains(lines[0], "65536") || count("entries") != "3" {
		t.Fatalf("one item, three times: got count %s and lines %q", count("entries"), lines)
	}
	m.Skip("cells", "entries/live/x", cause)
	if len(lines) != 2 {
		t.Errorf("the same name at another reader: got %d lines, want 2", len(lines))
	}
	for i := range 100_000 {
		m.Skip("entries", fmt.Sprintf("entries/live/%d", i), errors.New(strings.Repeat("\xff", 1<<10)))
	}
	if len(lines) != maxMalformedNames+1 || len(m.named) != maxMalformedNames+1 || count("entries") != "100003" {
		t.Errorf("100,000 items: got %d lines, %d names, count %s", len(lines), len(m.named), count("entries"))
	}
	for _, line := range lines {
		if len(line) > 5*maxMalformedText || !utf8.ValidString(line) {
			t.Errorf("line of %d bytes: %q", len(line), line)
		}
	}
	var none *Malformed
	none.Skip("entries", "x", cause)
	NewMalformed(log, nil).Skip("entries", "x", cause)
}
