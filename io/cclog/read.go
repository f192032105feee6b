package cclog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest line of collected logs that ReadLines accepts.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Node    string
	Logger  string
	Message string
	Job     string
	// Agent is the agent or the entry that the line is about, from the fields "agent"
	// and "entry".
	Agent  string
	fields map[string]any
}

// Text formats the line for display: time, node, message, and the other fields
// sorted by key. Empty strings are left out.
func (l Line) Text() string {
	keys := make([]string, 0, len(l.fields))
	for key, value := range l.fields {
		if value != "" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %-18s %s", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Message)
	for _, key := range keys {
		_, _ = fmt.Fprintf(&text, " %s=%v", key, l.fields[key])
	}
	return text.String()
}

// ReadLines parses the collected logs of several processes and sorts the lines by
// time. It skips prefixes that collectors add before the JSON object, and lines
// without a valid object, time or message.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := readLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("log: read: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

func readLine(data []byte) (Line, bool) {
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Line{}, false
	}
	text := func(key string) string {
		s, _ := fields[key].(string)
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, text("ts"))
	if err != nil || text("msg") == "" {
		return Line{}, false
	}
	line := Line{Time: at, Node: text("node"), Logger: text("logger"), Message: text("msg"), Job: text(requestKey), Agent: text("agent") + text("entry")}
	for _, key := range []string{"ts", "msg", "level", "logger", "node"} {
		delete(fields, key)
	}
	line.fields = fields
	return line, true
}

// JobLines returns the lines about a job, together with the lines that the processes
// involved in it logged about no job. The latter are limited to the time from around
// before the job's first line to around after its last. JobLines returns nil if no
// line is about the job.
func JobLines(lines []Line, job string, around time.Duration) []Line {
	index := slices.IndexFunc(lines, func(l Line) bool { return l.Job == job })
	if index < 0 {
		return nil
	}
	involved := map[string]bool{}
	first, last := lines[index].Time, lines[index].Time
	for _, l := range lines {
		if l.Job == job {
			involved[l.Node], involved[l.Agent] = true, true
			last = l.Time
		}
	}
	delete(involved, "")
	var selected []Line
	for _, l := range lines {
		inWindow := !l.Time.Before(first.Add(-around)) && !l.Time.After(last.Add(around))
		if l.Job == job || inWindow && l.Job == "" && involved[l.Node] {
			selected = append(selected, l)
		}
	}
	return selected
}
