package ccstandin

import (
	"fmt"

	"camphorcroft/core/ccsettings"
)

// StoreFaults are the store's fault switches. The zero value has no faults.
type StoreFaults struct {
	// Outage refuses every call, and ends the watches that wait.
	Outage bool `json:"outage"`
	// Delay holds each call before it takes effect.
	Delay ccsettings.Duration `json:"delay"`
	// FailShare is the share of calls that fail with no effect, from 0 to 1.
	FailShare float64 `json:"failShare"`
	// LoseShare is the share of writes whose answer is lost after the write has
	// taken effect, from 0 to 1.
	LoseShare float64 `json:"loseShare"`
	// ReadsPerSecond and WritesPerSecond cap the calls that are taken. Those
	// beyond the cap are refused. Zero is no cap.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

func (f StoreFaults) check() error {
	switch {
	case f.Delay < 0:
		return fmt.Errorf("delay is %s, below zero", f.Delay)
	case !isShare(f.FailShare):
		return fmt.Errorf("failShare is %v, not from 0 to 1", f.FailShare)
	case !isShare(f.LoseShare):
		return fmt.Errorf("loseShare is %v, not from 0 to 1", f.LoseShare)
	case f.ReadsPerSecond < 0 || f.WritesPerSecond < 0:
		return fmt.Errorf("a rate cap is below zero")
	default:
		return nil
	}
}

func isShare(share float64) bool { return share >= 0 && share <= 1 }
