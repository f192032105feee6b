package ccsettings

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"camphorcroft/core/ccsettings"
)

// maxRaceChanges bounds the changes that a race lists, newest first kept.
const maxRaceChanges = 20

// Race says what was accepted since the version that a change was based on.
type Race struct {
	Base    uint64
	Changes []ccsettings.Change // In the order of versions.
	More    uint64              // How many older ones are left out.
}

// Text lists the changes, one a line.
func (r *Race) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "nothing was applied, since version %d was replaced meanwhile:", r.Base)
	if r.More > 0 {
		fmt.Fprintf(&b, "\n  %d older changes", r.More)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(&b, "\n  version %d: section %s", change.Version, change.Section)
		if change.Operator != "" {
			fmt.Fprintf(&b, " by %s", change.Operator)
		}
		for _, d := range change.Differences {
			fmt.Fprintf(&b, "\n    %s", d)
		}
		if change.Omitted > 0 {
			fmt.Fprintf(&b, "\n    and %d more", change.Omitted)
		}
	}
	return b.String()
}

// raced returns the error of a change that lost. The changes come from the
// history as far as it can be read.
func (w *Writer) raced(ctx context.Context, base uint64, now ccsettings.Head) error {
	race := &Race{Base: base}
	first := base + 1
	if now.Version > base+maxRaceChanges {
		first = now.Version - maxRaceChanges + 1
		race.More = first - base - 1
	}
	for version := first; version < now.Version; version++ {
		if change, err := w.change(ctx, version); err == nil && change != nil {
			race.Changes = append(race.Changes, *change)
		}
	}
	race.Changes = append(race.Changes, now.Change)
	return &Error{Op: "propose", Kind: KindRaced, Err: errors.New(race.Text()), Race: race}
}
