package ccsettings

// SwapOutcome is what became of a swap of the head.
type SwapOutcome string

const (
	// SwapAccepted is a swap that took effect, now or earlier.
	SwapAccepted SwapOutcome = "accepted"
	// SwapPending is a swap that has not taken effect so far. It may be made again
	// with the same expected revision, since at most one of the two takes effect.
	SwapPending SwapOutcome = "pending"
	// SwapLost is a swap that can no longer take effect.
	SwapLost SwapOutcome = "lost"
	// SwapUnknown is a swap so long ago that the history doesn't tell.
	SwapUnknown SwapOutcome = "unknown"
)

// SwapOutcomeOf tells what became of the swap to the wanted head from what the store
// holds now. The change is the history's record of the wanted version, nil if
// there is none. A head is only ever replaced after the history has its change.
func SwapOutcomeOf(wanted, now Head, change *Change) SwapOutcome {
	switch {
	case now.Writer == wanted.Writer:
		return SwapAccepted
	case now.Version < wanted.Version:
		return SwapPending
	case now.Version == wanted.Version:
		return SwapLost
	case change == nil:
		return SwapUnknown
	case change.Writer == wanted.Writer:
		return SwapAccepted
	default:
		return SwapLost
	}
}
