package cccli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	ioevent "camphorcroft/io/ccevent"
)

const (
	outputSVG      = "svg"
	followInterval = time.Second
)

// timelineFlags say which events to show and how.
type timelineFlags struct {
	events eventFlags
	job    *string
	task   *string
	node   *string
	domain *string
	team   *string
	kinds  *string
	since  *string
	follow *bool
	output *string
	out    *string
}

func timelineCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("timeline")
	f := timelineFlags{
		events: newEventFlags(flags),
		job:    flags.StringLong("job", "", "events of this job, and what befell its processes meanwhile"),
		task:   flags.StringLong("task", "", "events of this task of the job, by its index"),
		node:   flags.StringLong("node", "", "events of this node, and of others about it"),
		domain: flags.StringLong("domain", "", "events in this failure domain, and of others about it"),
		team:   flags.StringLong("team", "", "events of this team's jobs"),
		kinds:  flags.StringLong("kind", "", "events of these kinds, as KIND,KIND"),
		since:  flags.StringLong("since", "", "events from this time on, in RFC 3339 or as a duration back, such as 5m"),
		follow: flags.BoolLong("follow", "go on and write new events as text, until interrupted"),
		output: flags.StringEnumLong("output", "form: text, json or svg", outputText, outputJSON, outputSVG),
		out:    flags.StringLong("out", "", "file to write to, in place of the standard output"),
	}
	return &ff.Command{
		Name:      "timeline",
		Usage:     "camphorcroft timeline [--store IP:PORT | --nodes IP:PORT,... | --events FILE] [FLAGS]",
		ShortHelp: "show the events of all processes in one order",
		LongHelp: "Reads the events that each process keeps and puts causes before effects, also when clocks differ.\n" +
			"Processes that don't answer are listed as silent, with what others tell of them.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "timeline"); err != nil {
				return err
			}
			return f.run(ctx, streams)
		},
	}
}

func (f *timelineFlags) run(ctx context.Context, streams Streams) error {
	filter, err := f.filter(time.Now())
	if err != nil {
		return err
	}
	if *f.follow {
		return f.runFollow(ctx, streams, filter)
	}
	timeline, silent, err := f.events.timeline(ctx, filter.Job)
	if err != nil {
		return err
	}
	warnSilent(streams, silent)
	return f.write(streams, filter.Apply(timeline))
}

func (f *timelineFlags) runFollow(ctx context.Context, streams Streams, filter ccevent.Filter) error {
	if *f.output != outputText || *f.out != "" || *f.events.file != "" {
		return &usageError{text: "--follow reads processes and writes text to the standard output"}
	}
	inventory, err := f.events.nodes.inventory(ctx)
	if err != nil {
		return err
	}
	collector := ioevent.NewCollector(ioevent.CollectorConfig{})
	defer collector.Close()
	return followEvents(ctx, streams, ioevent.NewFollower(collector, filter.Job), filter, addrsOf(inventory.Nodes))
}

// filter reads the flags.
func (f *timelineFlags) filter(now time.Time) (ccevent.Filter, error) {
	filter := ccevent.Filter{
		Job: ccjob.ID(*f.job), IncludeSurrounding: true, Node: ccnode.ID(*f.node), Domain: *f.domain, Team: *f.team,
	}
	for _, kind := range splitList(*f.kinds) {
		filter.Kinds = append(filter.Kinds, ccevent.Kind(kind))
	}
	if *f.task != "" {
		index, err := strconv.Atoi(*f.task)
		if err != nil || index < 0 {
			return filter, &usageError{text: "--task takes the index of a task, not " + *f.task}
		}
		filter.Task = &index
	}
	since, err := parseSince(now, *f.since)
	filter.Since = since
	return filter, err
}

// parseSince reads a time or a duration back from now. Empty is no bound.
func parseSince(now time.Time, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if back, err := time.ParseDuration(text); err == nil {
		return now.Add(-back), nil
	}
	since, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return since, &usageError{text: "--since takes a time in RFC 3339 or a duration, not " + text}
	}
	return since, nil
}

func (f *timelineFlags) write(streams Streams, timeline ccevent.Timeline) error {
	out := streams.Out
	if *f.out != "" {
		file, err := os.Create(*f.out)
		if err != nil {
			return errors.Annotate(err, "write time line")
		}
		err = writeTimeline(file, *f.output, timeline)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		return errors.Annotate(err, "write time line")
	}
	return errors.Annotate(writeTimeline(out, *f.output, timeline), "write time line")
}

func writeTimeline(w io.Writer, output string, timeline ccevent.Timeline) error {
	switch output {
	case outputJSON:
		return writeJSON(Streams{Out: w}, timeline)
	case outputSVG:
		return ccevent.WriteSVG(w, timeline.Fold())
	default:
		return ccevent.WriteText(w, timeline.Fold())
	}
}

// followEvents writes new events until the context ends, which is no error.
func followEvents(ctx context.Context, streams Streams, follower *ioevent.Follower, filter ccevent.Filter, addrs []netip.AddrPort) error {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	silent := ""
	for {
		timeline := follower.Read(ctx, addrs)
		if ctx.Err() != nil {
			return nil
		}
		if now := silentText(follower.Silent()); now != silent {
			_, _ = fmt.Fprint(streams.Err, now)
			silent = now
		}
		steps := follower.New(timeline)
		text := ccevent.TextWriter{Out: streams.Out, Width: timeline.NodeWidth()}
		for _, step := range filter.Apply(ccevent.Timeline{Lanes: timeline.Lanes, Steps: steps}).Steps {
			if err := text.Step(&step); err != nil {
				return errors.Annotate(err, "write time line")
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func warnSilent(streams Streams, silent map[netip.AddrPort]error) {
	_, _ = fmt.Fprint(streams.Err, silentText(silent))
}

// silentText has one line for each process that did not answer.
func silentText(silent map[netip.AddrPort]error) string {
	var lines []string
	for addr, err := range silent {
		lines = append(lines, fmt.Sprintf("silent: %s: %v\n", addr, err))
	}
	slices.Sort(lines)
	text := ""
	for _, line := range lines {
		text += line
	}
	return text
}
