package ccsettings_test

import (
	"testing"

	"camphorcroft/core/ccsettings"
)

func TestFateOf(t *testing.T) {
	wanted := ccsettings.Head{Version: 5, Writer: "mine"}
	mine, other := &ccsettings.Change{Version: 5, Writer: "mine"}, &ccsettings.Change{Version: 5, Writer: "other"}
	tests := []struct {
		name   string
		now    ccsettings.Head
		change *ccsettings.Change
		want   ccsettings.SwapOutcome
	}{
		{"took effect", wanted, nil, ccsettings.SwapAccepted},
		{"not so far", ccsettings.Head{Version: 4, Writer: "before"}, nil, ccsettings.SwapPending},
		{"another took the version", ccsettings.Head{Version: 5, Writer: "other"}, nil, ccsettings.SwapLost},
		{"took effect and was replaced", ccsettings.Head{Version: 9, Writer: "later"}, mine, ccsettings.SwapAccepted},
		{"another did and was replaced", ccsettings.Head{Version: 9, Writer: "later"}, other, ccsettings.SwapLost},
		{"too long ago", ccsettings.Head{Version: 9999, Writer: "later"}, nil, ccsettings.SwapUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := ccsettings.SwapOutcomeOf(wanted, test.now, test.change); got != test.want {
				t.Errorf("fate %q, want %q", got, test.want)
			}
		})
	}
}
