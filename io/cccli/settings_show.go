package cccli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"
	"go.yaml.in/yaml/v3"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

// showReport is the version in force.
type showReport struct {
	Effective *ccsettings.Effective `json:"effective"`
	// Sections gives the version in which each section was last replaced.
	Sections  map[string]uint64     `json:"sections"`
	Change    ccsettings.Change     `json:"change"`
	Conflicts []ccsettings.Conflict `json:"conflicts"`
}

// sectionReport is one section as it was written.
type sectionReport struct {
	Section string `json:"section"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func settingsShowCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("show")
	settings := newSettingsFlags(flags)
	section := flags.StringLong("section", "", "show the text of this section alone")
	return &ff.Command{
		Name:      "show",
		Usage:     "camphorcroft settings show [--section NAME] [FLAGS]",
		ShortHelp: "show the settings in force, or one section",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "settings show"); err != nil {
				return err
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				present, err := w.Load(ctx)
				if err != nil {
					return err
				}
				if *section != "" {
					return showSection(streams, settings, present, *section)
				}
				return showSettings(streams, settings, present)
			})
		},
	}
}

func showSection(streams Streams, flags settingsFlags, present *iosettings.Snapshot, name string) error {
	text, ok := present.Texts[name]
	if !ok {
		names := slices.Sorted(maps.Keys(present.Texts))
		return errors.Errorf("there is no section %s, only %s", name, strings.Join(names, ", "))
	}
	report := sectionReport{Section: name, Version: ccsettings.RevisionVersion(present.Head.Sections[name]), Text: text}
	return flags.report(streams, report, text)
}

func showSettings(streams Streams, flags settingsFlags, present *iosettings.Snapshot) error {
	report := showReport{
		Effective: present.Merged.Effective,
		Sections:  map[string]uint64{},
		Change:    present.Head.Change,
		Conflicts: present.Merged.Conflicts,
	}
	for name, revision := range present.Head.Sections {
		report.Sections[name] = ccsettings.RevisionVersion(revision)
	}
	text, err := report.text()
	if err != nil {
		return err
	}
	return flags.report(streams, report, text)
}

func (r *showReport) text() (string, error) {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.Sections)) {
		fmt.Fprintf(&b, "# section %s of version %d\n", name, r.Sections[name])
	}
	for line := range strings.Lines(conflictsText(r.Conflicts)) {
		b.WriteString("# " + line)
	}
	data, err := yaml.Marshal(r.Effective)
	if err != nil {
		return "", errors.Annotate(err, "write settings")
	}
	b.Write(data)
	return b.String(), nil
}
