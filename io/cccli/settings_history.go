package cccli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

const defaultHistory = 20

// historyReport is the newest accepted changes, in the order of versions.
type historyReport struct {
	Changes []ccsettings.Change `json:"changes"`
}

func settingsHistoryCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("history")
	settings := newSettingsFlags(flags)
	limit := flags.UintLong("limit", defaultHistory, "newest changes to show; 0 shows all that are kept")
	return &ff.Command{
		Name:      "history",
		Usage:     "camphorcroft settings history [--limit N] [FLAGS]",
		ShortHelp: "show who changed what",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "settings history"); err != nil {
				return err
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				changes, err := w.History(ctx)
				if err != nil {
					return err
				}
				if *limit > 0 && len(changes) > int(*limit) {
					changes = changes[len(changes)-int(*limit):]
				}
				return settings.report(streams, historyReport{Changes: changes}, historyText(changes))
			})
		},
	}
}

func historyText(changes []ccsettings.Change) string {
	var b strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&b, "version %d: %s\n", change.Version, changeText(change))
		b.WriteString(differencesText(change.Differences, change.Omitted))
		for _, key := range change.Unresolved {
			fmt.Fprintf(&b, "  teams disagree on %s\n", key)
		}
	}
	if b.Len() == 0 {
		return "nobody has changed the settings yet\n"
	}
	return b.String()
}

// changeText says who changed which section when.
func changeText(change ccsettings.Change) string {
	return fmt.Sprintf("section %s by %s at %s", change.Section, orDash(change.Operator), change.At.Format(time.RFC3339))
}
