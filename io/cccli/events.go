package cccli

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"slices"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	ioevent "camphorcroft/io/ccevent"
)

// eventFlags say where a command reads events from.
type eventFlags struct {
	nodes nodeFlags
	file  *string
}

func newEventFlags(flags *ff.FlagSet) eventFlags {
	return eventFlags{
		nodes: newNodeFlags(flags),
		file:  flags.StringLong("events", "", "file with events, as load --events writes it, in place of processes"),
	}
}

// timeline reads all events that bear on a job, or all there are, and the
// processes that did not answer.
func (f eventFlags) timeline(ctx context.Context, job ccjob.ID) (ccevent.Timeline, map[netip.AddrPort]error, error) {
	if *f.file != "" {
		events, err := readEvents(*f.file)
		return ccevent.Merge(events), nil, err
	}
	inventory, err := f.nodes.inventory(ctx)
	if err != nil {
		return ccevent.Timeline{}, nil, err
	}
	collector := ioevent.NewCollector(ioevent.CollectorConfig{})
	defer collector.Close()
	follower := ioevent.NewFollower(collector, job)
	timeline := follower.Read(ctx, addrsOf(inventory.Nodes))
	return timeline, follower.Silent(), nil
}

func readEvents(path string) ([]ccevent.Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read events")
	}
	var events []ccevent.Event
	if err := json.Unmarshal(data, &events); err != nil {
		return nil, errors.Annotatef(err, "read events in %s", path)
	}
	return events, nil
}

// writeEvents writes the events of many processes as one JSON list.
func writeEvents(path string, byProcess [][]ccevent.Event) error {
	data, err := json.Marshal(slices.Concat(byProcess...))
	if err != nil {
		return errors.Annotate(err, "write events")
	}
	return errors.Annotate(os.WriteFile(path, data, eventsFileMode), "write events")
}

// eventsFileMode lets the owner alone read the file.
const eventsFileMode = 0o600
