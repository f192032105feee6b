package cccli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccjob"
	"camphorcroft/io/ccclient"
)

const (
	defaultPayload  = `{"runMS":100,"echo":"done"}`
	defaultDeadline = 10 * time.Second
)

// submitFlags are what a client says on the command line.
type submitFlags struct {
	entries  *[]string
	service  *string
	team     *string
	job      *string
	tasks    *int
	payload  *string
	file     *string
	deadline *time.Duration
	safe     *bool
	output   *string
}

func submitCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("submit")
	f := submitFlags{
		entries:  flags.StringListLong("entry", "IP:PORT of an entry; repeat it for entries to go on with when one is lost"),
		service:  flags.StringLong("service", "", "service that runs the tasks"),
		team:     flags.StringLong("team", "", "team that the job belongs to"),
		job:      flags.StringLong("job", "", "job ID; a new UUID of version 7 if it is left out"),
		tasks:    flags.IntLong("tasks", 1, "number of tasks"),
		payload:  flags.StringLong("payload", defaultPayload, "payload of each task"),
		file:     flags.StringLong("file", "", "file with one payload a line, in place of --tasks and --payload"),
		deadline: flags.DurationLong("deadline", defaultDeadline, "time by which the answer is needed"),
		safe:     flags.BoolLong("idempotent", "say that the tasks may run more than once without harm"),
		output:   outputFlag(flags),
	}
	return &ff.Command{
		Name:      "submit",
		Usage:     "camphorcroft submit --entry IP:PORT --service NAME --team NAME [FLAGS]",
		ShortHelp: "submit a job and print its answer",
		LongHelp: "Submits one job and waits for its whole answer. If an entry is lost, the same job goes to the next one.\n" +
			"Exit code 0 says that the job is complete, 1 that it failed or was refused.",
		Flags: flags,
		Exec:  func(ctx context.Context, _ []string) error { return f.run(ctx, streams) },
	}
}

func (f *submitFlags) run(ctx context.Context, streams Streams) error {
	entries, err := parseAddrs("entry", *f.entries)
	if err != nil {
		return err
	}
	if len(entries) == 0 || *f.service == "" || *f.team == "" {
		return &usageError{text: "--entry, --service and --team are needed"}
	}
	spec, err := f.spec()
	if err != nil {
		return err
	}
	client := ccclient.New(ccclient.Config{Entries: entries})
	defer client.Close()
	outcome, err := client.Submit(ctx, spec)
	if err != nil {
		return errors.Annotatef(err, "job %s has no outcome", spec.ID)
	}
	if *f.output == outputJSON {
		err = writeJSON(streams, outcome)
	} else {
		err = writeOutcome(streams, &outcome)
	}
	if err != nil {
		return err
	}
	if outcome.State != ccjob.StateComplete {
		return errors.Errorf("job %s is %s: %s", spec.ID, outcome.State, outcome.Reason)
	}
	return nil
}

func (f *submitFlags) spec() (*ccjob.Spec, error) {
	id, err := f.jobID()
	if err != nil {
		return nil, err
	}
	payloads, err := f.payloads()
	if err != nil {
		return nil, err
	}
	return &ccjob.Spec{
		ID: id, Service: *f.service, Team: *f.team, Deadline: *f.deadline, Idempotent: *f.safe, Payloads: payloads,
	}, nil
}

func (f *submitFlags) jobID() (ccjob.ID, error) {
	if *f.job == "" {
		drawn, err := uuid.NewV7()
		return ccjob.ID(drawn.String()), errors.Annotate(err, "draw a job ID")
	}
	id, err := ccjob.ParseID(*f.job)
	if err != nil {
		return "", &usageError{text: "--job: " + err.Error()}
	}
	return id, nil
}

func (f *submitFlags) payloads() ([]string, error) {
	if *f.file == "" {
		if *f.tasks < 1 || *f.tasks > ccjob.MaxTasks {
			return nil, &usageError{text: fmt.Sprintf("--tasks is from 1 to %d", ccjob.MaxTasks)}
		}
		payloads := make([]string, *f.tasks)
		for index := range payloads {
			payloads[index] = *f.payload
		}
		return payloads, nil
	}
	data, err := os.ReadFile(*f.file)
	if err != nil {
		return nil, errors.Annotate(err, "read payloads")
	}
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n"), nil
}

func writeOutcome(streams Streams, outcome *ccjob.Outcome) error {
	var text strings.Builder
	fmt.Fprintf(&text, "job %s is %s\n", outcome.JobID, outcome.State)
	if outcome.State != ccjob.StateComplete {
		fmt.Fprintf(&text, "notRun: %t, kind: %s, reason: %s\n", outcome.NotRun, outcome.Kind, outcome.Reason)
	}
	for _, answer := range outcome.Answers {
		fmt.Fprintf(&text, "%d\t%s\n", answer.Index, answer.Payload)
	}
	_, err := fmt.Fprint(streams.Out, text.String())
	return errors.Annotate(err, "write answer")
}
