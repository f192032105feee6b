package cccli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/cclog"
)

// storyAround is how long before and after a job its processes' other lines are
// shown.
const storyAround = time.Second

func explainLogCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("log")
	file := flags.StringLong("file", "", "the collected logs of all processes")
	around := flags.DurationLong("around", storyAround, "how long before and after the job its processes' other lines are shown")
	return &ff.Command{
		Name:      "log",
		Usage:     "camphorcroft explain log --file FILE JOB",
		ShortHelp: "tell a job's story from collected logs",
		LongHelp: "Shows, in order, each line about the job in the logs of all processes, and what the processes\n" +
			"that had to do with it learned meanwhile.",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || *file == "" {
				return &usageError{text: "explain log takes --file FILE and one job ID"}
			}
			return explainLog(streams, *file, args[0], *around)
		},
	}
}

func explainLog(streams Streams, file, job string, around time.Duration) error {
	logs, err := os.Open(file)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = logs.Close() }()
	lines, err := cclog.ReadLines(logs)
	if err != nil {
		return errors.Trace(err)
	}
	story := cclog.JobLines(lines, job, around)
	if len(story) == 0 {
		return errors.Errorf("no line about job %s in %s: the budget may have left it out, or no entry took it", job, file)
	}
	for _, line := range story {
		if _, err := fmt.Fprintln(streams.Out, line.Text()); err != nil {
			return errors.Annotate(err, "write story")
		}
	}
	return nil
}
