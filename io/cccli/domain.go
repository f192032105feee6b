package cccli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccsettings"
	iosettings "camphorcroft/io/ccsettings"
)

// domainCommand groups the operators' commands on failure domains.
func domainCommand(streams Streams) *ff.Command {
	return &ff.Command{
		Name:      "domain",
		Usage:     "camphorcroft domain <COMMAND> [FLAGS]",
		ShortHelp: "take failure domains out and bring them back",
		Flags:     ff.NewFlagSet("domain"),
		Subcommands: []*ff.Command{
			domainSetCommand(streams, "out", "take a failure domain out: no task starts there", true),
			domainSetCommand(streams, "in", "bring a failure domain back", false),
			domainListCommand(streams),
		},
		Exec: func(context.Context, []string) error {
			return &usageError{text: "say what to do with which failure domain"}
		},
	}
}

func domainSetCommand(streams Streams, name, help string, out bool) *ff.Command {
	flags := ff.NewFlagSet(name)
	settings := newSettingsFlags(flags)
	by := byFlag(flags)
	return &ff.Command{
		Name:      name,
		Usage:     fmt.Sprintf("camphorcroft domain %s [FLAGS] NAME", name),
		ShortHelp: help,
		LongHelp:  "Sets domains.NAME.out in the chair's section, which goes before every team's.",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			domain, err := oneArg(args, "failure domain")
			if err != nil {
				return err
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				if err := checkDomain(ctx, w, domain); err != nil {
					return err
				}
				result, err := setDomain(ctx, w, domain, *by, out)
				return reportResult(streams, settings, result, err)
			})
		},
	}
}

// checkDomain refuses names that no section knows, which would make a new failure
// domain of a slip.
func checkDomain(ctx context.Context, w *iosettings.Writer, domain string) error {
	present, err := w.Load(ctx)
	if err != nil {
		return err
	}
	domains := present.Merged.Effective.Domains
	if _, ok := domains[domain]; !ok {
		names := slices.Sorted(maps.Keys(domains))
		return errors.Errorf("there is no failure domain %s, only %s", domain, orDash(strings.Join(names, ", ")))
	}
	return nil
}

func setDomain(ctx context.Context, w *iosettings.Writer, domain, by string, out bool) (*iosettings.Result, error) {
	key := ccsettings.Key("domains." + domain + ".out")
	return w.Edit(ctx, ccsettings.Chair, by, func(text string) (string, error) {
		return ccsettings.SetText(text, key, fmt.Sprint(out))
	})
}

// domainsReport lists the failure domains.
type domainsReport struct {
	Version uint64          `json:"version"`
	Domains []domainSetting `json:"domains"`
}

// domainSetting is a failure domain with its settings.
type domainSetting struct {
	Name string `json:"name"`
	ccsettings.Domain
	// Since is the version in which it was last taken out or brought back. It is
	// zero when the history has no such change.
	Since uint64 `json:"since"`
}

func domainListCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("list")
	settings := newSettingsFlags(flags)
	return &ff.Command{
		Name:      "list",
		Usage:     "camphorcroft domain list [FLAGS]",
		ShortHelp: "list the failure domains",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "domain list"); err != nil {
				return err
			}
			return settings.with(ctx, func(ctx context.Context, w *iosettings.Writer) error {
				report, err := newDomainsReport(ctx, w)
				if err != nil {
					return err
				}
				return settings.report(streams, report, report.text())
			})
		},
	}
}

func newDomainsReport(ctx context.Context, w *iosettings.Writer) (*domainsReport, error) {
	present, err := w.Load(ctx)
	if err != nil {
		return nil, err
	}
	history, err := w.History(ctx)
	if err != nil {
		return nil, err
	}
	domains := present.Merged.Effective.Domains
	report := &domainsReport{Version: present.Head.Version, Domains: []domainSetting{}}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		setting := domainSetting{Name: name, Domain: domains[name]}
		key := ccsettings.Key("domains." + name + ".out")
		if e, ok := ccsettings.Explain(key, present.Sections, present.Merged, history); ok && e.Since != nil {
			setting.Since = e.Since.Version
		}
		report.Domains = append(report.Domains, setting)
	}
	return report, nil
}

func (r *domainsReport) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings version %d\n\n", r.Version)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "DOMAIN\tREGION\tSTATE\tSINCE VERSION\tRAMP-UP")
	for _, domain := range r.Domains {
		state, since := "in", "-"
		if domain.Out {
			state = "out"
		}
		if domain.Since > 0 {
			since = fmt.Sprint(domain.Since)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", domain.Name, orDash(domain.Region), state, since, domain.RampUp)
	}
	_ = table.Flush() // A builder takes all.
	return b.String()
}
