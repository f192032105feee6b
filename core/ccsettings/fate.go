package ccsettings

// Fate is what became of a swap of the head.
type Fate string

const (
	// FateAccepted is a swap that took effect, now or earlier.
	FateAccepted Fate = "accepted"
	// FatePending is a swap that has not taken effect so far. It may be made again
	// with the same expected revision, since at most one of the two takes effect.
	FatePending Fate = "pending"
	// FateLost is a swap that can no longer take effect.
	FateLost Fate = "lost"
	// FateUnknown is a swap so long ago that the history doesn't tell.
	FateUnknown Fate = "unknown"
)

// FateOf tells what became of the swap to the wanted head from what the store
// holds now. The change is the history's record of the wanted version, nil if
// there is none. A head is only ever replaced after the history has its change.
func FateOf(wanted, now Head, change *Change) Fate {
	switch {
	case now.Writer == wanted.Writer:
		return FateAccepted
	case now.Version < wanted.Version:
		return FatePending
	case now.Version == wanted.Version:
		return FateLost
	case change == nil:
		return FateUnknown
	case change.Writer == wanted.Writer:
		return FateAccepted
	default:
		return FateLost
	}
}
