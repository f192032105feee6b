package ccevent

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const clockLayout = "15:04:05.000000"

// WriteText writes the time line for people: what is known of each process, then
// one short line an event.
func WriteText(w io.Writer, timeline Timeline) error {
	width := 0
	for i := range timeline.Lanes {
		width = max(width, len(timeline.Lanes[i].Node.ID))
	}
	for i := range timeline.Lanes {
		if _, err := fmt.Fprintf(w, "# %-*s  %s\n", width, timeline.Lanes[i].Node.ID, laneText(&timeline.Lanes[i])); err != nil {
			return err
		}
	}
	for i := range timeline.Steps {
		if err := WriteStep(w, &timeline.Steps[i], width); err != nil {
			return err
		}
	}
	return nil
}

// WriteStep writes the line of one event. Width is that of the column of nodes,
// in characters.
func WriteStep(w io.Writer, step *Step, width int) error {
	if step.Dropped > 0 {
		if _, err := fmt.Fprintf(w, "%-*s  %-*s  (%d earlier events dropped)\n", len(clockLayout), "", width, step.Node.ID, step.Dropped); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s  %-*s  %-10s  %s\n",
		step.When.UTC().Format(clockLayout), width, step.Node.ID, step.Kind, strings.Join(details(step), " "))
	return err
}

// details returns the fields of an event that are set, in a fixed order.
func details(step *Step) []string {
	var parts []string
	add := func(set bool, format string, value any) {
		if set {
			parts = append(parts, fmt.Sprintf(format, value))
		}
	}
	add(step.Job != "", "job=%s", step.Job)
	add(step.Job != "" && step.Index != NoIndex && step.Count <= 1, "task=%d", step.Index)
	add(step.Count > 1, "tasks=%d", step.Count)
	add(step.Peer != "", "peer=%s", step.Peer)
	add(step.Team != "", "team=%s", step.Team)
	add(step.Cause.Node != "", "after=%s", fmt.Sprintf("%s:%d", step.Cause.Node, step.Cause.Seq))
	add(step.Text != "", "%q", step.Text)
	return parts
}

// laneText describes a process in a few words.
func laneText(l *Lane) string {
	if l.Silent {
		return silentText(l)
	}
	parts := []string{fmt.Sprintf("%d events", l.Events)}
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
	if l.Named == nil {
		return "silent"
	}
	return fmt.Sprintf("silent, named in %d events, last by %s (%s) at %s",
		l.Named.Events, l.Named.By, l.Named.Kind, l.Named.Last.UTC().Format(clockLayout))
}
