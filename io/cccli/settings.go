package cccli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
	"camphorcroft/io/ccstore"
)

const (
	defaultStore        = "127.0.0.1:7000"
	defaultSettingsTime = 10 * time.Second
	storeCallTime       = 2 * time.Second
)

// settingsCommand groups the operators' commands on settings.
func settingsCommand(streams Streams) *ff.Command {
	return &ff.Command{
		Name:      "settings",
		Usage:     "camphorcroft settings <COMMAND> [FLAGS]",
		ShortHelp: "check, change and explain the settings",
		Flags:     ff.NewFlagSet("settings"),
		Subcommands: []*ff.Command{
			settingsCheckCommand(streams),
			settingsProposeCommand(streams),
			settingsShowCommand(streams),
			settingsHistoryCommand(streams),
			settingsExplainCommand(streams),
		},
		Exec: func(context.Context, []string) error {
			return &usageError{text: "say what to do with the settings"}
		},
	}
}

// settingsFlags are the flags of every command on settings.
type settingsFlags struct {
	store   *string
	timeout *time.Duration
	output  *string
}

func newSettingsFlags(flags *ff.FlagSet) settingsFlags {
	return settingsFlags{
		store:   flags.StringLong("store", defaultStore, "address of the store, as IP:PORT"),
		timeout: flags.DurationLong("timeout", defaultSettingsTime, "how long to try while the store doesn't answer"),
		output:  outputFlag(flags),
	}
}

func byFlag(flags *ff.FlagSet) *string {
	return flags.StringLong("by", os.Getenv("USER"), "operator to name in the history")
}

// with runs a function with access to the settings, until the timeout.
func (f settingsFlags) with(ctx context.Context, run func(ctx context.Context, w *iosettings.Writer) error) error {
	addr, err := netip.ParseAddrPort(*f.store)
	if err != nil {
		return &usageError{text: "--store takes IP:PORT, not " + *f.store}
	}
	client := ccstore.NewClient(ccstore.ClientConfig{Addr: addr, Timeout: storeCallTime})
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	defer cancel()
	return run(ctx, iosettings.NewWriter(iosettings.WriterConfig{Store: client, Log: logr.Discard()}))
}

// report writes the report as the output flag asks.
func (f settingsFlags) report(streams Streams, report any, text string) error {
	if *f.output == outputJSON {
		return writeJSON(streams, report)
	}
	_, err := io.WriteString(streams.Out, text)
	return errors.Annotate(err, "write report")
}

// oneArg returns the only argument of a command.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", &usageError{text: fmt.Sprintf("give one %s, after the flags", what)}
	}
	return args[0], nil
}

// noArgs refuses arguments of a command that takes none.
func noArgs(args []string, command string) error {
	if len(args) > 0 {
		return &usageError{text: command + " takes no arguments"}
	}
	return nil
}

// readSection reads a file of settings, up to a byte beyond the bound, which the
// parser refuses.
func readSection(name string) (string, error) {
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, ccsettings.MaxSectionBytes+1))
	return string(data), errors.Annotatef(err, "read %s", name)
}

// differencesText lists differences, one a line.
func differencesText(differences []ccsettings.Difference, more int) string {
	var b strings.Builder
	for _, difference := range differences {
		fmt.Fprintf(&b, "  %s\n", difference)
	}
	if more > 0 {
		fmt.Fprintf(&b, "  and %d more\n", more)
	}
	if b.Len() == 0 {
		b.WriteString("  no value in force changes\n")
	}
	return b.String()
}

// conflictsText lists the keys on which teams disagree.
func conflictsText(conflicts []ccsettings.Conflict) string {
	var b strings.Builder
	for _, conflict := range conflicts {
		fmt.Fprintf(&b, "teams disagree on %s: %s\n", conflict.Key, claimsText(conflict.Candidates))
		fmt.Fprintf(&b, "  %s\n", decisionText(conflict.Decision, conflict.Value))
	}
	return b.String()
}

func claimsText(claims []ccsettings.Candidate) string {
	texts := make([]string, len(claims))
	for i, claim := range claims {
		texts[i] = fmt.Sprintf("%s says %s", claim.Section, claim.Value)
	}
	return strings.Join(texts, ", ")
}

func decisionText(decision ccsettings.Decision, value ccsettings.Value) string {
	if value == "" {
		value = "the default"
	}
	switch decision {
	case ccsettings.DecisionAgreed:
		return fmt.Sprintf("%s, as the teams agree", value)
	case ccsettings.DecisionChair:
		return fmt.Sprintf("%s, set by the chair", value)
	case ccsettings.DecisionVote:
		return fmt.Sprintf("%s, by the chair's vote", value)
	case ccsettings.DecisionHeld:
		return fmt.Sprintf("%s stays until the chair votes or the teams agree", value)
	default:
		return fmt.Sprintf("%s, the default", value)
	}
}
