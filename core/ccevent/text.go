package ccevent

import (
	"fmt"
	"io"
	"strings"
	"time"

	"camphorcroft/core/ccjob"
)

const clockLayout = "15:04:05.000000"

// WriteText writes the timeline in readable form: a summary of each process, then
// one line per event. A job common to all events is written only once.
func WriteText(w io.Writer, timeline Timeline) error {
	text := TextWriter{Out: w, Job: onlyJob(timeline.Steps), Width: timeline.NodeWidth()}
	for i := range timeline.Lanes {
		if err := text.Lane(&timeline.Lanes[i]); err != nil {
			return err
		}
	}
	if text.Job != "" {
		if _, err := fmt.Fprintf(w, "# job %s\n", text.Job); err != nil {
			return err
		}
	}
	for i := range timeline.Steps {
		if err := text.Step(&timeline.Steps[i]); err != nil {
			return err
		}
	}
	return nil
}

// NodeWidth returns the length of the longest node ID.
func (t Timeline) NodeWidth() int {
	width := 0
	for i := range t.Lanes {
		width = max(width, len(t.Lanes[i].Node.ID))
	}
	return width
}

// onlyJob returns the job shared by all steps that have one, or "" if they differ
// or none has a job.
func onlyJob(steps []Step) ccjob.ID {
	var only ccjob.ID
	for i := range steps {
		job := steps[i].Job
		if job == "" || job == only {
			continue
		}
		if only != "" {
			return ""
		}
		only = job
	}
	return only
}

// TextWriter writes a timeline piece by piece.
type TextWriter struct {
	Out   io.Writer
	Width int      // Width of the node column, in characters.
	Job   ccjob.ID // Job that is omitted from event lines.
}

// Lane writes the summary of a process.
func (t TextWriter) Lane(l *Lane) error {
	_, err := fmt.Fprintf(t.Out, "# %-*s  %s\n", t.Width, l.Node.ID, laneText(l))
	return err
}

// Step writes the line of one event, preceded by a line with the number of events
// dropped before it, if any.
func (t TextWriter) Step(step *Step) error {
	if step.Dropped > 0 {
		if _, err := fmt.Fprintf(t.Out, "%-*s  %-*s  (%s dropped)\n", len(clockLayout), "", t.Width, step.Node.ID, eventCount(step.Dropped)); err != nil {
			return err
		}
	}
	line := fmt.Sprintf("%s  %-*s  %-10s  %s",
		step.When.UTC().Format(clockLayout), t.Width, step.Node.ID, step.Kind, strings.Join(t.details(step), " "))
	_, err := fmt.Fprintln(t.Out, strings.TrimRight(line, " "))
	return err
}

// details returns the fields of an event that are set, in a fixed order.
func (t TextWriter) details(step *Step) []string {
	var parts []string
	add := func(set bool, format string, values ...any) {
		if set {
			parts = append(parts, fmt.Sprintf(format, values...))
		}
	}
	add(step.Job != "" && step.Job != t.Job, "job=%s", step.Job)
	add(step.Job != "" && step.Index != NoIndex && step.Count <= 1, "task=%d", step.Index)
	add(len(step.Tasks) > 0, "tasks=%s", strings.ReplaceAll(ranges(step.Tasks), " ", ""))
	add(len(step.Tasks) == 0 && (step.Count > 1 || step.Count == 1 && step.Index == NoIndex), countName(step)+"=%d", step.Count)
	add(step.Claim != 0, "claim=%d", step.Claim)
	add(step.Peer != "", "peer=%s", step.Peer)
	add(step.Team != "", "team=%s", step.Team)
	add(step.Cause.Node != "", "after=%s:%d", step.Cause.Node, step.Cause.Seq)
	add(step.Text != "", "%q", step.Text)
	return parts
}

// countName returns the label of an event's count.
func countName(step *Step) string {
	switch step.Kind {
	case KindVersion:
		return "version"
	case KindRoster, KindCell:
		return "members"
	default:
		return "count"
	}
}

// laneText returns a short summary of a process.
func laneText(l *Lane) string {
	if l.Silent {
		return silentText(l)
	}
	parts := []string{eventCount(uint64(l.Events))}
	if l.Domain != "" {
		parts = append(parts, "domain "+l.Domain)
	}
	if l.Dropped > 0 {
		parts = append(parts, fmt.Sprintf("%d dropped", l.Dropped))
	}
	if l.Offset != 0 {
		parts = append(parts, fmt.Sprintf("clock %+.3fms", float64(l.Offset)/float64(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

func silentText(l *Lane) string {
	if l.Mentions == nil {
		return "silent"
	}
	return fmt.Sprintf("silent, named in %s, last by %s (%s) at %s",
		eventCount(uint64(l.Mentions.Events)), l.Mentions.By, l.Mentions.Kind, l.Mentions.Last.UTC().Format(clockLayout))
}

func eventCount(n uint64) string {
	if n == 1 {
		return "1 event"
	}
	return fmt.Sprintf("%d events", n)
}
