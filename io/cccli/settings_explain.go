package cccli

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

func settingsExplainCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("explain")
	settings := newSettingsFlags(flags)
	return &ff.Command{
		Name:      "explain",
		Usage:     "camphorcroft settings explain [FLAGS] KEY",
		ShortHelp: "say who set a key, how it was decided, and since when",
		LongHelp:  "A key is a path such as services.notices.slots, domains.north.out or fleet.cells.",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			key, err := oneArg(args, "key")
			if err != nil {
				return err
			}
			if !ccsettings.Key(key).Known() {
				return &usageError{text: "there is no key " + key}
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				return explainKey(ctx, streams, settings, w, ccsettings.Key(key))
			})
		},
	}
}

func explainKey(ctx context.Context, streams Streams, flags settingsFlags, w *iosettings.Writer, key ccsettings.Key) error {
	present, err := w.Load(ctx)
	if err != nil {
		return err
	}
	history, err := w.History(ctx)
	if err != nil {
		return err
	}
	explanation, ok := ccsettings.Explain(key, present.Sections, present.Merged, history)
	if !ok {
		return errors.Errorf("there is no key %s", key)
	}
	return flags.report(streams, explanation, explanationText(explanation))
}

func explanationText(e ccsettings.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s in version %d: %s\n", e.Key, e.Version, decisionText(e.Decision, e.Value))
	for _, claim := range e.Candidates {
		fmt.Fprintf(&b, "  %s says %s in line %d\n", claim.Section, claim.Value, claim.Line)
	}
	if e.Vote != nil && e.Vote.Team != "" {
		fmt.Fprintf(&b, "  the chair votes for %s\n", e.Vote.Team)
	} else if e.Vote != nil {
		fmt.Fprintf(&b, "  the chair votes for the value %s\n", e.Vote.Value)
	}
	switch {
	case e.Since != nil:
		fmt.Fprintf(&b, "  since version %d: %s\n", e.Since.Version, changeText(*e.Since))
	case e.Decision == ccsettings.DecisionDefault:
		b.WriteString("  nobody sets it\n")
	default:
		fmt.Fprintf(&b, "  since before version %d, the oldest in the history\n", e.OldestVersion)
	}
	if e.Unsure {
		b.WriteString("  or since a later version that changed too many values to list them all\n")
	}
	return b.String()
}
