// Package cccli is the command line: one file a command, put together here.
//
// # Usage
//
//	os.Exit(cccli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package cccli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes of every command.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Streams are where a command writes.
type Streams struct {
	Out io.Writer // Reports.
	Err io.Writer // Logs and errors.
}

// usageError is a wrong use of the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, out, err io.Writer) int {
	streams := Streams{Out: out, Err: err}
	root := &ff.Command{
		Name:      "camphorcroft",
		Usage:     "camphorcroft <COMMAND> [FLAGS]",
		ShortHelp: "dispatch sub-second tasks",
		Flags:     ff.NewFlagSet("camphorcroft"),
		Exec: func(context.Context, []string) error {
			return &usageError{text: "a command is missing"}
		},
	}
	root.Subcommands = commands(streams)
	return exitCode(root, parseAndRun(ctx, root, args), streams)
}

// parseAndRun tells a command line that can't be read from a command that failed.
func parseAndRun(ctx context.Context, root *ff.Command, args []string) error {
	err := root.Parse(args)
	switch {
	case err == nil:
		return root.Run(ctx)
	case errors.Is(err, ff.ErrHelp):
		return err
	default:
		return &usageError{text: err.Error()}
	}
}

// commands lists every command, in the order of the help text.
func commands(streams Streams) []*ff.Command {
	return []*ff.Command{
		demoCommand(streams),
		entryCommand(streams),
		agentCommand(streams),
		standinCommand(streams),
		settingsCommand(streams),
		domainCommand(streams),
		submitCommand(streams),
		loadCommand(streams),
		scaleCommand(streams),
		statusCommand(streams),
		timelineCommand(streams),
		explainCommand(streams),
	}
}

func exitCode(root *ff.Command, err error, streams Streams) int {
	var usage *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp):
		_, _ = fmt.Fprintln(streams.Out, ffhelp.Command(root))
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, ff.ErrNoExec), root.GetSelected() == nil:
		_, _ = fmt.Fprintf(streams.Err, "%s\nerror: %v\n", ffhelp.Command(root), err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintf(streams.Err, "error: %v\n", err)
		return ExitFailed
	}
}
