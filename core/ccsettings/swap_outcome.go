package ccsettings

// SwapOutcome is the outcome of a compare-and-swap of the head record in the store.
type SwapOutcome string

const (
	// SwapAccepted is a swap that took effect, even if the head was replaced since.
	SwapAccepted SwapOutcome = "accepted"
	// SwapPending is a swap that has not taken effect yet. It may be retried with
	// the same expected revision, since at most one of the two takes effect.
	SwapPending SwapOutcome = "pending"
	// SwapLost is a swap that can no longer take effect.
	SwapLost SwapOutcome = "lost"
	// SwapUnknown is a swap whose version is no longer in the history.
	SwapUnknown SwapOutcome = "unknown"
)

// SwapOutcomeOf determines the outcome of a swap to the wanted head from the current
// head in the store. The change is the history's record of the wanted version, nil
// if there is none. A head is replaced only after its change is in the history.
func SwapOutcomeOf(wanted, current Head, change *Change) SwapOutcome {
	switch {
	case current.Writer == wanted.Writer:
		return SwapAccepted
	case current.Version < wanted.Version:
		return SwapPending
	case current.Version == wanted.Version:
		return SwapLost
	case change == nil:
		return SwapUnknown
	case change.Writer == wanted.Writer:
		return SwapAccepted
	default:
		return SwapLost
	}
}
