package ccsettings_test

import (
	"testing"

	"camphorcroft/core/ccsettings"
)

func TestSwapOutcomeOf(t *testing.T) {
	wanted := ccsettings.Head{Version: 5, Writer: "mine"}
	mine, other := &ccsettings.Change{Version: 5, Writer: "mine"}, &ccsettings.Change{Version: 5, Writer: "other"}
	tests := []struct {
		name    string
		current ccsettings.Head
		change  *ccsettings.Change
		want    ccsettings.SwapOutcome
	}{
		{"accepted", wanted, nil, ccsettings.SwapAccepted},
		{"not written yet", ccsettings.Head{Version: 4, Writer: "before"}, nil, ccsettings.SwapPending},
		{"version taken by another writer", ccsettings.Head{Version: 5, Writer: "other"}, nil, ccsettings.SwapLost},
		{"accepted and replaced since", ccsettings.Head{Version: 9, Writer: "later"}, mine, ccsettings.SwapAccepted},
		{"version taken by another writer and replaced since", ccsettings.Head{Version: 9, Writer: "later"}, other, ccsettings.SwapLost},
		{"no longer in the history", ccsettings.Head{Version: 9999, Writer: "later"}, nil, ccsettings.SwapUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := ccsettings.SwapOutcomeOf(wanted, test.current, test.change); got != test.want {
				t.Errorf("got outcome %q, want %q", got, test.want)
			}
		})
	}
}
