package cccli

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

// refusalReport is a change that was not accepted, or of which that isn't known.
type refusalReport struct {
	Accepted bool            `json:"accepted"`
	Kind     iosettings.Kind `json:"kind"`
	Reason   string          `json:"reason"`
	// Issues are the faults of a change that the checks refused.
	Issues ccsettings.Issues `json:"issues,omitempty"`
	// Meanwhile are the changes that were accepted first.
	Meanwhile []ccsettings.Change `json:"meanwhile,omitempty"`
}

func settingsProposeCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("propose")
	settings := newSettingsFlags(flags)
	section := flags.StringLong("section", "", "section to replace: a team's name, or chair")
	base := flags.UintLong("base", 0, "refuse if the section was changed after this version")
	by := byFlag(flags)
	return &ff.Command{
		Name:      "propose",
		Usage:     "camphorcroft settings propose --section NAME [FLAGS] FILE",
		ShortHelp: "replace a section, if the outcome passes the checks",
		LongHelp: "The whole section is replaced by the file. When another change is accepted first,\n" +
			"nothing of this one is applied, and the command says what changed meanwhile.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArg(args, "file")
			if err != nil {
				return err
			}
			if *section == "" {
				return &usageError{text: "--section is missing"}
			}
			text, err := readSection(file)
			if err != nil {
				return err
			}
			request := iosettings.Request{Section: *section, File: file, Text: text, By: *by, Base: uint64(*base)}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				result, err := w.Propose(ctx, request)
				return reportResult(streams, settings, result, err)
			})
		},
	}
}

// reportResult reports a change, accepted or not.
func reportResult(streams Streams, flags settingsFlags, result *iosettings.Result, err error) error {
	if err != nil {
		return reportRefusal(streams, flags, err)
	}
	change := result.Change
	if result.Unchanged {
		return flags.report(streams, result, fmt.Sprintf("nothing to change. Version %d stays in force.\n", change.Version))
	}
	text := fmt.Sprintf("version %d accepted: section %s\n", change.Version, change.Section) +
		differencesText(change.Differences, change.Omitted) + conflictsText(result.Conflicts)
	return flags.report(streams, result, text)
}

func reportRefusal(streams Streams, flags settingsFlags, err error) error {
	report := refusalReport{Kind: iosettings.KindOf(err), Reason: err.Error(), Issues: ccsettings.IssuesOf(err)}
	if len(report.Issues) > 0 {
		err = faultsError(report.Issues)
	}
	if race := iosettings.RaceOf(err); race != nil {
		report.Meanwhile = race.Changes
		err = errors.New(race.Text())
	}
	if *flags.output == outputJSON {
		if failed := writeJSON(streams, report); failed != nil {
			return failed
		}
	}
	return err
}

// faultsError lists the faults of refused settings, one a line.
func faultsError(issues ccsettings.Issues) error {
	return errors.Errorf("refused, faults: %d\n%v", len(issues), issues.Text())
}
