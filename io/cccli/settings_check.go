package cccli

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

// checkReport is the outcome of a check.
type checkReport struct {
	Valid bool `json:"valid"`
	// Version is the version in force that the files were merged with.
	Version     uint64                  `json:"version"`
	Issues      ccsettings.Issues       `json:"issues"`
	Differences []ccsettings.Difference `json:"differences"`
	Conflicts   []ccsettings.Conflict   `json:"conflicts"`
}

func settingsCheckCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("check")
	settings := newSettingsFlags(flags)
	offline := flags.BoolLong("offline", "merge only the files, and don't ask the store")
	return &ff.Command{
		Name:      "check",
		Usage:     "camphorcroft settings check [FLAGS] FILE...",
		ShortHelp: "check section files without proposing them",
		LongHelp: "Each file is the section of its name without the extension: chair.yaml is the\n" +
			"chair's. The files take the place of these sections in the version in force, and\n" +
			"the outcome is checked and compared with it.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{text: "give at least one file, after the flags"}
			}
			if *offline {
				return checkFiles(streams, settings, &iosettings.Snapshot{Merged: &ccsettings.Merged{}}, args)
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				present, err := w.Load(ctx)
				if err != nil {
					return errors.Annotate(err, "check without the store by --offline")
				}
				return checkFiles(streams, settings, present, args)
			})
		},
	}
}

func checkFiles(streams Streams, flags settingsFlags, present *iosettings.Snapshot, files []string) error {
	sections := map[string]*ccsettings.Section{}
	for name, section := range present.Sections {
		sections[name] = section
	}
	var issues ccsettings.Issues
	for _, file := range files {
		section, err := parseFile(file)
		found := ccsettings.IssuesOf(err)
		switch {
		case len(found) > 0:
			issues = append(issues, found...)
		case err != nil:
			return err
		default:
			sections[section.Name] = section
		}
	}
	if len(issues) > 0 {
		return reportCheck(streams, flags, &checkReport{Version: present.Head.Version, Issues: issues})
	}
	merged, err := ccsettings.Merge(ccsettings.Head{Version: present.Head.Version + 1}, sections, present.Merged.Values)
	if issues = ccsettings.IssuesOf(err); len(issues) > 0 {
		return reportCheck(streams, flags, &checkReport{Version: present.Head.Version, Issues: issues})
	}
	if err != nil {
		return err
	}
	return reportCheck(streams, flags, &checkReport{
		Valid: true, Version: present.Head.Version, Conflicts: merged.Conflicts,
		Differences: ccsettings.Diff(present.Merged.Values, merged.Values),
	})
}

func parseFile(file string) (*ccsettings.Section, error) {
	text, err := readSection(file)
	if err != nil {
		return nil, err
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return ccsettings.ParseSection(name, file, []byte(text))
}

func reportCheck(streams Streams, flags settingsFlags, report *checkReport) error {
	if report.Issues == nil {
		report.Issues = ccsettings.Issues{}
	}
	if !report.Valid {
		report.Differences, report.Conflicts = []ccsettings.Difference{}, []ccsettings.Conflict{}
		if *flags.output == outputJSON {
			if err := writeJSON(streams, report); err != nil {
				return err
			}
		}
		return faultsError(report.Issues)
	}
	text := fmt.Sprintf("valid. Changes from version %d:\n", report.Version) +
		differencesText(report.Differences, 0) + conflictsText(report.Conflicts)
	return flags.report(streams, report, text)
}
