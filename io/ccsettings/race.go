package ccsettings

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"camphorcroft/core/ccsettings"
)

// maxRaceChanges bounds the changes that a RaceError lists, newest first kept.
const maxRaceChanges = 20

// RaceError says what was accepted since the version that a change was based on.
type RaceError struct {
	Base    uint64
	Changes []ccsettings.Change // In the order of versions.
	More    uint64              // How many older ones are left out.
}

// Error lists the changes, one a line.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "nothing was applied, since version %d was replaced meanwhile:", e.Base)
	if e.More > 0 {
		fmt.Fprintf(&b, "\n  %d older changes", e.More)
	}
	for _, change := range e.Changes {
		fmt.Fprintf(&b, "\n  version %d: section %s", change.Version, change.Section)
		if change.By != "" {
			fmt.Fprintf(&b, " by %s", change.By)
		}
		for _, d := range change.Differences {
			fmt.Fprintf(&b, "\n    %s", d)
		}
	}
	return b.String()
}

// raced returns the error of a change that lost. The changes come from the
// history as far as it can be read.
func (w *Writer) raced(ctx context.Context, base uint64, now ccsettings.Head) error {
	race := &RaceError{Base: base}
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
	return &Error{Op: "propose", Kind: KindRaced, Err: race}
}

// KindOf returns the kind of an error of this package, or an empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
