package cccli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/io/ccinventory"
)

// statusReport is the fleet as its processes and the store tell of it.
type statusReport struct {
	// Version is the newest accepted version of the settings, or the newest that
	// any process has when the store was not asked.
	Version uint64               `json:"version"`
	Nodes   []ccinventory.Status `json:"nodes"`
	// Lagging and Silent name nodes.
	Lagging []string       `json:"lagging"`
	Silent  []string       `json:"silent"`
	Domains []domainReport `json:"domains"`
}

// domainReport sums up the targets of one failure domain.
type domainReport struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
	Running int    `json:"runningTasks"`
}

func statusCommand(streams Streams) *ff.Command {
	flags := ff.NewFlagSet("status")
	nodes := newNodeFlags(flags)
	output := outputFlag(flags)
	return &ff.Command{
		Name:      "status",
		Usage:     "camphorcroft status [--store IP:PORT | --nodes IP:PORT,...] [FLAGS]",
		ShortHelp: "show the fleet: versions in force, targets, load",
		LongHelp: "Asks each process for its metrics. A node whose settings are older than the newest accepted ones is\n" +
			"named, and so is one that doesn't answer. Exit code 1 says that there is one of either.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args, "status"); err != nil {
				return err
			}
			return showStatus(ctx, streams, nodes, *output)
		},
	}
}

func showStatus(ctx context.Context, streams Streams, nodes nodeFlags, output string) error {
	inventory, err := nodes.inventory(ctx)
	if err != nil {
		return err
	}
	report := newStatusReport(inventory.Version, ccinventory.Ask(ctx, ccinventory.AskConfig{}, inventory.Nodes))
	if output == outputJSON {
		err = writeJSON(streams, report)
	} else {
		_, err = fmt.Fprint(streams.Out, report.text())
	}
	if err != nil {
		return errors.Annotate(err, "write status")
	}
	if len(report.Lagging)+len(report.Silent) > 0 {
		return errors.Errorf("%d nodes lag, %d are silent", len(report.Lagging), len(report.Silent))
	}
	return nil
}

func newStatusReport(accepted uint64, nodes []ccinventory.Status) *statusReport {
	report := &statusReport{Version: accepted, Nodes: nodes, Lagging: []string{}, Silent: []string{}}
	for i := range nodes {
		report.Version = max(report.Version, nodes[i].Version)
	}
	for i := range nodes {
		node := &nodes[i]
		switch {
		case node.Silent != "":
			report.Silent = append(report.Silent, nodeName(node))
		case node.Version < report.Version:
			report.Lagging = append(report.Lagging, nodeName(node))
		}
		if node.Role == ccinventory.RoleAgent {
			report.domain(node.Domain).add(node)
		}
	}
	return report
}

// domain returns the report of a failure domain, in the order of the nodes.
func (r *statusReport) domain(name string) *domainReport {
	for i := range r.Domains {
		if r.Domains[i].Name == name {
			return &r.Domains[i]
		}
	}
	r.Domains = append(r.Domains, domainReport{Name: name})
	return &r.Domains[len(r.Domains)-1]
}

func (d *domainReport) add(node *ccinventory.Status) {
	d.Targets++
	d.Slots += node.Slots
	d.Running += node.Running
}

// nodeName is a node's ID, or its address when it has not said who it is.
func nodeName(node *ccinventory.Status) string {
	if node.Ref.ID == "" {
		return node.HTTP.String()
	}
	return string(node.Ref.ID)
}

func (r *statusReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "settings version %d\n\n", r.Version)
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tROLE\tDOMAIN\tVERSION\tIN FORCE\tSTATE\tLOAD")
	for i := range r.Nodes {
		node := &r.Nodes[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", nodeName(node), orDash(string(node.Role)), orDash(node.Domain),
			node.Version, inForce(node), r.state(node), load(node))
	}
	_ = table.Flush() // A builder takes all.
	for _, domain := range r.Domains {
		fmt.Fprintf(&text, "\ndomain %s: %d targets, %d slots, %d tasks running", orDash(domain.Name), domain.Targets, domain.Slots, domain.Running)
	}
	text.WriteString("\n")
	r.problems(&text)
	return text.String()
}

// problems lists what operators should look at.
func (r *statusReport) problems(text *strings.Builder) {
	for i := range r.Nodes {
		node := &r.Nodes[i]
		if node.Silent != "" {
			fmt.Fprintf(text, "%s is silent: %s\n", nodeName(node), node.Silent)
		} else if node.Version < r.Version {
			fmt.Fprintf(text, "%s lags: version %d is in force there.\n", nodeName(node), node.Version)
		}
		for _, target := range node.Targets {
			if word := targetWord(&target); word != "" {
				fmt.Fprintf(text, "%s sees %s as %s.\n", nodeName(node), target.Node, word)
			}
		}
	}
}

func targetWord(target *ccinventory.Target) string {
	switch {
	case !target.Up:
		return "down"
	case target.Ejected:
		return "ejected"
	case target.Silent:
		return "silent"
	default:
		return ""
	}
}

func (r *statusReport) state(node *ccinventory.Status) string {
	switch {
	case node.Silent != "":
		return "silent"
	case node.Draining, node.Leaving:
		return "leaving"
	case node.Version < r.Version:
		return "lags"
	default:
		return "ok"
	}
}

func inForce(node *ccinventory.Status) string {
	if node.VersionSeconds == 0 {
		return "-"
	}
	return time.Duration(node.VersionSeconds * float64(time.Second)).Round(time.Second / 10).String()
}

func load(node *ccinventory.Status) string {
	if node.Silent != "" {
		return "-"
	}
	if node.Role == ccinventory.RoleAgent {
		return fmt.Sprintf("%d of %d slots", node.Running, node.Slots)
	}
	return fmt.Sprintf("%d jobs, %d tasks waiting, %d targets", node.Jobs, node.Waiting, len(node.Targets))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
